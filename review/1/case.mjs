import { Agent, request } from "node:http";
import { Gateways, hasTrouble, main, Record, sleep } from "../lib/world.mjs";
import { PlainRunner } from "../lib/runner.mjs";
import { Store } from "../lib/store.mjs";

const record = new Record(new URL("./record.txt", import.meta.url).pathname);
const store = new Store();
const gateways = new Gateways();
const runners = [];
const runs = new Map();
const answers = new Map();
const agent = new Agent({ keepAlive: true });

/** The dose of `garble` in `fleetbench kinds`: share (.5) of the runners spoil x (.02) of their answers, for_s (5). */
const SPOILED_SHARE = 0.02;
const SPOILED_MS = 5_000;
/** When the disruption begins, after the first request. */
const SPOILED_FROM_MS = 1_000;
let spoiledFromMs = Infinity;
const isGarbling = () => performance.now() >= spoiledFromMs && performance.now() < spoiledFromMs + SPOILED_MS;
const CLIENTS = 40;
const REQUESTS = 2_000;

const onRun = (id, runner) => {
  const where = runs.get(id) ?? [];
  runs.set(id, [...where, runner.id]);
  record.note(`runner ${runner.id} runs ${id}${where.length > 0 ? ` AGAIN, after ${where}` : ""}`);
};
/** Wrong bytes in the place of the status: no response of HTTP has such a one. */
const spoil = (socket, id, runner) => {
  record.note(`runner ${runner.id} spoils its answer to ${id}`);
  const body = `done ${id}`;
  socket.write(
    `HTTP/1.1 000 OK\r\nAttempt-Id: ${id}\r\nResponse-Stamp: ${runner.id}.${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
};

function ask(vm, port, id) {
  return new Promise((resolve) => {
    const call = request({
      agent, host: vm.ip, port, method: "POST", path: `/once/${id}`,
      headers: { Host: "h.example", "Attempt-Id": id, "Deadline-Ms": "10000", "Content-Length": "2" },
    }, (answer) => {
      answer.resume();
      answer.on("end", () => resolve(String(answer.statusCode)));
      answer.on("error", () => resolve("cut"));
    });
    call.on("error", (error) => resolve(error.code));
    call.end("hi");
  });
}

await main(async () => {
  const zones = { "n-a": "north", "s-a": "south", "e-a": "east" };
  store.put("op/config", {
    version: 3,
    routes: [{ name: "once", host: "h.example", path_prefix: "/once/", kind: "unsafe", timeout_ms: 5000, slo_ms: 686, priority: 2, service: "ledger", max_attempts: 1, resumable: false, home_regions: [] }],
    services: [{ name: "ledger", max_conns: 100, cold_s: 0, cold_rate_s: 0 }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  });
  const workMs = () => 60 + Math.random() * 50;
  for (const [at, zone] of ["n-a", "s-a", "s-a", "e-a", "e-a"].entries()) {
    let answers = 0;
    const spoils = () => {
      if (!hasTrouble || (at !== 1 && at !== 3) || !isGarbling()) return false;
      return ++answers % (1 / SPOILED_SHARE) === 0;
    };
    const runner = new PlainRunner({ id: `i-${zone}-${at}`, service: "ledger", zone, store, slots: 6, queue: 24, workMs, onRun, spoils, spoil });
    runners.push(runner);
    await runner.open();
  }
  const storeAddress = await store.open();
  await gateways.open({ places: ["n-a", "n-a", "s-a", "s-a", "e-a", "e-a"], zones, storeOf: () => storeAddress, record });
  await gateways.waitUntilReady();
  await sleep(2_500);
  spoiledFromMs = performance.now() + SPOILED_FROM_MS;
  let sent = 0;
  const client = async (vm) => {
    while (sent < REQUESTS) {
      const id = `a${++sent}`;
      record.note(`client sends ${id} to ${vm.id}`);
      const result = await ask(vm, gateways.ports.callers, id);
      record.note(`client gets ${result} for ${id}`);
      answers.set(id, result);
      await sleep(50);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, (_, at) => client(gateways.vms[at % 2])));
  await sleep(1_000);
  const twice = [...runs].filter(([, where]) => where.length > 1);
  const counts = {};
  for (const result of answers.values()) counts[result] = (counts[result] ?? 0) + 1;
  record.note(`answers: ${JSON.stringify(counts)}; run: ${runs.size}; run more than once: ${twice.length}`);
  console.log(counts, "run", runs.size, "run more than once", twice.length, twice.slice(0, 5));
  const bad = gateways.vms.flatMap((vm) => vm.output.split("\n").filter((l) => /internal error/.test(l)));
  console.log(bad.slice(0, 2).join("\n").slice(0, 900));
  return twice.length > 0 ? 1 : 0;
}, [() => gateways.close(), () => store.close(), () => runners.forEach((r) => r.close()), () => agent.destroy()]);
