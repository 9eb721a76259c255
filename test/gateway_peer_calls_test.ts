import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { RPC_PATH } from "../src/replication/mod.ts";
import {
  decodeRelayTarget,
  encodeRelayTarget,
} from "../src/gateway/relay_target.ts";
import { decodeConfig } from "../src/platform/mod.ts";
import { makeConfig, makeRoute, ROUTE_HOST } from "../src/standins/mod.ts";
import {
  type CallerRequest,
  GatewayLab,
  type LabVm,
  waitUntil,
} from "./gateway_lab.ts";
import { runIbisgap } from "./run_ibisgap.ts";

const DUMP = JSON.stringify({
  jsonrpc: "2.0",
  id: 1,
  method: "dump",
  params: {},
});
const ANY_PATH = makeRoute({
  path_prefix: "/",
  kind: "unsafe",
  home_regions: ["south"],
});

/** Opens a VM for callers, and a VM and an upstream in the region that all requests are bound to. */
async function openRelays(
  t: ExecutionContext,
): Promise<{ readonly lab: GatewayLab; readonly vm: LabVm }> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure([ANY_PATH]);
  await lab.addRunner("south");
  const vm = await lab.addVm("north");
  await lab.waitUntilReady(vm);
  await lab.waitUntilReady(await lab.addVm("south"));
  await waitUntil(async () =>
    (await lab.call(vm, { path: "/any", method: "POST" })).status === 200
  );
  return { lab, vm };
}

/** Sends a request as VMs of earlier versions relay it; returns the stamp of its answer. */
async function relayAsEarlierVersion(
  peers: string,
): Promise<string | string[] | undefined> {
  const [host, port] = peers.split(":");
  const call = request({
    host,
    port,
    path: RPC_PATH,
    method: "POST",
    headers: {
      host: ROUTE_HOST,
      "attempt-id": "a1",
      "ibisgap-wait-ms": "1500",
    },
  });
  call.end(DUMP);
  const [answer] = await once(call, "response") as [IncomingMessage];
  answer.resume();
  return answer.headers["response-stamp"];
}

/** Guards against callers' requests that another VM takes for its own calls, which show or change its state. */
describe("gateway, a relayed request", () => {
  const REQUESTS: Readonly<Record<string, CallerRequest>> = {
    "names the path of the calls between VMs": { path: RPC_PATH, body: "{}" },
    "is a call between VMs by path and body": { path: RPC_PATH, body: DUMP },
    "is such a call, and has headers as VMs set them": {
      path: RPC_PATH,
      body: DUMP,
      headers: {
        "content-type": "application/json",
        "ibisgap-config": "1",
        "ibisgap-code": "queueFull",
      },
    },
    "is such a call, and takes headers of VMs away": {
      path: RPC_PATH,
      body: DUMP,
      headers: { connection: "ibisgap-wait-ms, ibisgap-config" },
    },
    "is such a call with a query": { path: `${RPC_PATH}?a=1`, body: DUMP },
  };
  for (const [name, sent] of Object.entries(REQUESTS)) {
    it(`that ${name} is run by an upstream as it was sent`, async (t) => {
      const { lab, vm } = await openRelays(t);
      const [runner] = lab.runners;
      const answer = await lab.call(vm, { ...sent, method: "POST" });
      t.is(answer.status, 200);
      t.truthy(answer.headers["response-stamp"]);
      t.is(answer.body, `served by ${runner.id}`);
      const arrival = runner.arrivals.at(-1)!;
      t.is(arrival.target, sent.path);
      t.is(arrival.body, sent.body ?? "");
    });
  }

  it("from a VM of an earlier version, which sends the path as it is, is run by an upstream", async (t) => {
    const { lab } = await openRelays(t);
    const { peers } = lab.vms[1].settings.listen;
    const stamp = await relayAsEarlierVersion(peers);
    t.truthy(stamp);
    const arrival = lab.runners[0].arrivals.at(-1)!;
    t.is(arrival.target, RPC_PATH);
    t.is(arrival.body, DUMP);
  });

  it("to a VM of an earlier version names a target that is below no route there", (t) => {
    const sent = encodeRelayTarget(RPC_PATH);
    t.is(decodeRelayTarget(sent), RPC_PATH);
    const config = decodeConfig(JSON.stringify(makeConfig(3, [ANY_PATH])));
    t.truthy(config.match(ROUTE_HOST, RPC_PATH));
    t.is(config.match(ROUTE_HOST, sent), undefined);
  });

  it("leaves the operators' commands at the same address", async (t) => {
    const { lab } = await openRelays(t);
    const dump = await runIbisgap("vm-dump", lab.vms[1].settings.listen.peers);
    t.is(dump.code, 0);
    t.true(dump.out.includes("beliefs"));
  });
});
