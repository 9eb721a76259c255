import { createServer } from "node:http";
import { connect } from "node:net";
import { Gateways, hasTrouble, main, now, Record, sleep } from "../lib/world.mjs";
import { Store } from "../lib/store.mjs";

const record = new Record(new URL("./record.txt", import.meta.url).pathname);
const store = new Store();
const gateways = new Gateways();
const ANSWER = Buffer.alloc(10_500_000, "a");
const RATE = 1_000_000; // bytes a second
const runs = new Map();

const runner = createServer((request, response) => {
  const id = request.headers["attempt-id"];
  request.resume();
  request.on("end", () => {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    record.note(`runner runs ${id}`);
    response.writeHead(200, { "Attempt-Id": id, "Response-Stamp": "s", "Content-Length": ANSWER.length });
    response.end(ANSWER, () => record.note(`runner has handed out all of ${id}`));
  });
});

function ask(vm, ports, id, cut) {
  return new Promise((resolve) => {
    const socket = connect(ports.callers, vm.ip);
    let bytes = 0, head = "", total, isDone = false;
    const sentAt = now();
    const end = (what) => {
      if (isDone) return;
      isDone = true;
      record.note(`client ${id}: ${what}, ${bytes} of ${ANSWER.length} bytes of the body`);
      resolve({ id, whole: bytes === ANSWER.length, what, status: head.slice(9, 12), sentAt, endAt: now() });
      socket.destroy();
    };
    socket.on("connect", () => {
      record.note(`client sends ${id} to ${vm.id}`);
      socket.write(`POST /once/${id} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 12000\r\nContent-Length: 2\r\n\r\nhi`);
    });
    socket.on("data", (chunk) => {
      if (total === undefined) {
        head += chunk.toString("latin1");
        const at = head.indexOf("\r\n\r\n");
        if (at < 0) return;
        total = 0;
        bytes = head.length - at - 4;
      } else bytes += chunk.length;
      if (bytes === ANSWER.length) return end("has the whole answer");
      // Reads slowly: so many bytes a second.
      socket.pause();
      setTimeout(() => socket.resume(), chunk.length / RATE * 1000);
    });
    socket.on("error", (error) => end(`connection error ${error.code}`));
    socket.on("close", () => end("connection closed"));
  });
}

await main(async () => {
  const zones = { "z-a": "north" };
  await new Promise((r) => runner.listen(0, "127.0.0.1", r));
  const address = `127.0.0.1:${runner.address().port}`;
  store.put("op/config", {
    version: 3,
    routes: [{ name: "once", host: "h.example", path_prefix: "/once/", kind: "unsafe", timeout_ms: 12000, slo_ms: 1000, priority: 1, service: "s", max_attempts: 1, resumable: false, home_regions: [] }],
    services: [{ name: "s", max_conns: 100, cold_s: 0, cold_rate_s: 0 }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  });
  let seq = 0;
  const beat = () => store.put("servers/i-1", { service: "s", address, zone: "z-a", version: "v1", slots: 64, state: "ready", cold_left_ms: 0, seq: ++seq });
  beat();
  const timer = setInterval(beat, 1200);
  const storeAddress = await store.open();
  await gateways.open({ places: ["z-a", "z-a"], zones, storeOf: () => storeAddress, record });
  await gateways.waitUntilReady();
  await sleep(1500);
  const [vm] = gateways.vms;
  const asked = [];
  for (let i = 0; i < 8; i++) {
    asked.push(ask(vm, gateways.ports, `a${i}`));
    await sleep(250);
  }
  if (hasTrouble) { record.note("SIGTERM"); vm.child.kill("SIGTERM"); }
  const results = await Promise.all(asked);
  clearInterval(timer);
  const lost = results.filter(({ whole }) => !whole);
  console.log(lost.length, results);
  console.log(vm.output.split("\n").slice(-14).join("\n"));
  return lost.length > 0 ? 1 : 0;
}, [() => gateways.close(), () => store.close(), () => { runner.close(); runner.closeAllConnections(); }]);
