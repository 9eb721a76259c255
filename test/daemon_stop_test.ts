import type { ExecutionContext } from "ava";
import got from "got";
import { describe, itAlone as it } from "../src/base/describe.ts";
import {
  callAdmin,
  callVm,
  Cluster,
  keyOf,
  OPERATOR_TOKEN,
  readError,
  sleep,
  standardRows,
  type StandIn,
  upstreamRow,
  type Vm,
} from "./cluster.ts";
import { runIbisgap } from "./run_ibisgap.ts";

const KEY = keyOf("agadir");
const DRAIN_MS = 400;
/** A fault by which an upstream stays silent. */
const SILENT = { type: "delay", delayMs: 60_000 };

interface Pair {
  readonly cluster: Cluster;
  readonly engine: StandIn;
  readonly ledger: StandIn;
  readonly stopped: Vm;
  readonly other: Vm;
}

/** Opens two VMs over an engine with one slot and an at-most-once service. */
async function openPair(
  t: ExecutionContext,
  drainMs = DRAIN_MS,
): Promise<Pair> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  const [engine, ledger] = await cluster.startUpstreams(1, 1);
  await cluster.seedTable(standardRows(["agadir"], [
    upstreamRow("e1", "plan", "agadir", engine.url, { slots: 1 }),
    upstreamRow("l1", "ledger", "agadir", ledger.url),
  ]));
  await cluster.startRegions(["agadir"], 2, { limits: { drainMs } });
  const stopped = cluster.vms.get("agadir-1")!;
  const other = cluster.vms.get("agadir-2")!;
  for (const vm of [stopped, other]) {
    await cluster.waitFor(
      vm,
      ({ tableVersion, region }) =>
        tableVersion === 1 &&
        region.filter(({ state }) => state === "live").length === 2,
    );
  }
  return { cluster, engine, ledger, stopped, other };
}

function callLedger(vm: Vm, key: string) {
  const headers = { "idempotency-key": key };
  return callVm(vm, KEY, "/services/ledger/a", { body: { a: 1 }, headers });
}

function chat(vm: Vm, content: string) {
  const messages = [{ role: "user", content }];
  const body = { model: "plan", max_tokens: 3, messages };
  return callVm(vm, KEY, "/v1/chat/completions", { body });
}

function setFaults({ controlUrl }: StandIn, faults: readonly object[]) {
  return got.post(`${controlUrl}/faults`, { json: { set: faults } });
}

/** Waits until an upstream has got as many requests. */
async function waitForRequests(
  { controlUrl }: StandIn,
  count: number,
): Promise<void> {
  const read = () => got(`${controlUrl}/records`).json<unknown[]>();
  while ((await read()).length < count) await sleep(10);
}

/** Whether a VM leads the pool of the engine. */
async function leads(vm: Vm): Promise<boolean> {
  const dump = JSON.parse((await callAdmin(vm, "GET", "/admin/dump")).body);
  return Object.keys(dump.slots.leads.pools).some((key) =>
    key.startsWith("plan")
  );
}

/** Guards against requests that end without an answer, or without a record, when a daemon stops as planned. */
describe("a planned stop of a real daemon", () => {
  for (const way of ["SIGTERM", "SIGINT", "ibisgap drain"] as const) {
    it(`answers a call at a silent upstream, and tells its other VMs that it may have run: ${way}`, async (t) => {
      const { ledger, stopped, other } = await openPair(t);
      await setFaults(ledger, [SILENT]);
      const answering = callLedger(stopped, "k1");
      await waitForRequests(ledger, 1);
      if (way === "ibisgap drain") {
        const target = ["--target", stopped.url, "--token", OPERATOR_TOKEN];
        t.is((await runIbisgap("drain", ...target)).code, 0);
      } else {
        stopped.proc.signal(way);
        await sleep(20);
        stopped.proc.signal("SIGTERM");
      }
      const answer = await answering;
      t.is(answer.statusCode, 502);
      t.like(readError(answer), {
        code: 4008,
        ran: "unknown",
        goTo: [other.url],
      });
      t.is(await stopped.proc.exited, 0);
      t.like(readError(await callLedger(other, "k1")), { code: 4006 });
      t.regex(stopped.proc.output, /request cut by the stop/);
    });
  }

  for (const role of ["lead", "other VM"] as const) {
    it(`answers a request in a lead's queue, and loses none of the other VM's: the ${role} stops`, async (t) => {
      const pair = await openPair(t);
      const { engine } = pair;
      await chat(pair.stopped, "a pool has no lead before its first request");
      const isRight = await leads(pair.stopped) === (role === "lead");
      const stopped = isRight ? pair.stopped : pair.other;
      const other = isRight ? pair.other : pair.stopped;
      t.is(await leads(stopped), role === "lead");
      t.is(await leads(other), role !== "lead");
      await setFaults(engine, [{ type: "delay", delayMs: 3_000, times: 1 }]);
      const first = chat(other, "first");
      await waitForRequests(engine, 2);
      const waiting = [chat(stopped, "second"), chat(other, "third")];
      await sleep(200);
      stopped.proc.signal("SIGTERM");
      const [here, there] = await Promise.all(waiting);
      t.like(readError(here), { code: 3006, ran: "no" });
      t.is((await first).statusCode, 200);
      t.is(there.statusCode, 200, there.body);
      t.is(await stopped.proc.exited, 0);
    });
  }

  it("answers an operator whose edit waits for the store", async (t) => {
    const { cluster, stopped } = await openPair(t);
    await cluster.setPlatformFaults([{ outage: "refuse" }]);
    const row = { kind: "region", id: "agadir", weight: 2 };
    const editing = callAdmin(stopped, "POST", "/admin/table/edits", {
      id: "edit-at-a-stop",
      author: "operator",
      waitMs: 60_000,
      changes: [{ type: "put", row }],
    });
    await sleep(200);
    stopped.proc.signal("SIGTERM");
    t.like(readError(await editing as never), { code: 4008, ran: "unknown" });
    t.is(await stopped.proc.exited, 0);
  });
});
