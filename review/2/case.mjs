import { Agent, request } from "node:http";
import { PlainRunner } from "../lib/runner.mjs";
import { Store } from "../lib/store.mjs";
import { Gateways, hasTrouble, main, Record, sleep } from "../lib/world.mjs";

const record = new Record(new URL("./record.txt", import.meta.url).pathname);
const store = new Store();
const gateways = new Gateways();
const agent = new Agent({ keepAlive: true });
const runs = new Set();
const onRun = (id, runner) => {
  runs.add(id);
  record.note(`runner ${runner.id} runs ${id}`);
};
const runners = ["s-a", "s-a"].map((zone, at) =>
  new PlainRunner({ id: `i-${at}`, service: "ledger", zone, store, slots: 6, queue: 24, workMs: () => 60, onRun })
);

function ask(vm, port, id, path, body) {
  return new Promise((resolve) => {
    const call = request({
      agent, host: vm.ip, port, method: "POST", path,
      headers: { Host: "h.example", "Attempt-Id": id, "Deadline-Ms": "10000", "Content-Length": String(body.length) },
    }, (answer) => {
      let text = "";
      answer.setEncoding("utf8");
      answer.on("data", (chunk) => text += chunk);
      answer.on("end", () => resolve({ status: answer.statusCode, stamp: answer.headers["response-stamp"], text }));
      answer.on("error", () => resolve({ status: 0, text: "cut" }));
    });
    call.on("error", (error) => resolve({ status: 0, text: error.code }));
    call.end(body);
  });
}

await main(async () => {
  const zones = { "n-a": "north", "s-a": "south" };
  store.put("op/config", {
    version: 3,
    routes: [{ name: "all", host: "h.example", path_prefix: "/", kind: "unsafe", timeout_ms: 5000, slo_ms: 686, priority: 2, service: "ledger", max_attempts: 1, resumable: false, home_regions: ["south"] }],
    services: [{ name: "ledger", max_conns: 100, cold_s: 0, cold_rate_s: 0 }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  });
  for (const runner of runners) await runner.open();
  const storeAddress = await store.open();
  await gateways.open({ places: ["n-a", "n-a", "s-a", "s-a"], zones, storeOf: () => storeAddress, record });
  await gateways.waitUntilReady();
  await sleep(2_500);
  const last = hasTrouble ? "rpc" : "other";
  const wanted = [
    ["/departures/7", '{"truck":7}'],
    [`/ibisgap/${last}`, '{"truck":8}'],
    [`/ibisgap/${last}`, '{"jsonrpc":"2.0","id":1,"method":"dump","params":{}}'],
    ["/departures/9", '{"truck":9}'],
  ];
  let wrong = 0;
  for (const [at, [path, body]] of wanted.entries()) {
    for (const vm of gateways.vms.slice(0, 2)) {
      const id = `a${at}-${vm.id}`;
      record.note(`client sends ${id} to ${vm.id}: POST ${path} ${body}`);
      const { status, stamp, text } = await ask(vm, gateways.ports.callers, id, path, body);
      const isWrong = status >= 200 && status < 300 && stamp === undefined;
      if (isWrong) wrong++;
      record.note(`client gets ${status} for ${id}, stamp ${stamp ?? "none"}, ${runs.has(id) ? "run" : "not run"}, ${text.length} bytes: ${text.slice(0, 300)}`);
    }
  }
  const summary = `successes without the stamp of a runner: ${wrong} of ${2 * wanted.length} answers`;
  record.note(summary);
  console.log(summary);
  return wrong > 0 ? 1 : 0;
}, [() => gateways.close(), () => store.close(), () => runners.forEach((runner) => runner.close()), () => agent.destroy()]);
