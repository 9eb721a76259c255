import { randomUUID } from "node:crypto";
import type { ExecutionContext } from "ava";
import got from "got";
import { describe, itAlone as it } from "../src/base/describe.ts";
import {
  Cluster,
  operator,
  refusal,
  sleep,
  standardRows,
  type Status,
  type Vm,
} from "./cluster.ts";

const REGIONS = ["agadir", "marrakech"];

/** Two regions of three daemons, with version 1 in force. */
async function open(t: ExecutionContext): Promise<Cluster> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  await cluster.seed(standardRows(REGIONS, []));
  await cluster.startRegions(REGIONS, 3);
  for (const vm of cluster.vms.values()) await inForce(cluster, vm, 1);
  return cluster;
}

function inForce(cluster: Cluster, vm: Vm, version: number): Promise<Status> {
  return cluster.until(vm, (it) => (it.tableVersion ?? 0) >= version);
}

function edit(vm: Vm, weight: number, waitMs = 5000) {
  const row = { kind: "region", id: "agadir", weight };
  const changes = [{ type: "put", row }];
  const id = randomUUID();
  const body = { id, author: "operator", waitMs, changes };
  return operator(vm, "POST", "/admin/table/edits", body);
}

async function accept(
  t: ExecutionContext,
  vm: Vm,
  weight: number,
): Promise<number> {
  const answer = await edit(vm, weight);
  t.is(answer.statusCode, 200, answer.body);
  return (JSON.parse(answer.body) as { version: number }).version;
}

async function weightAt(vm: Vm): Promise<number> {
  const answer = await operator(
    vm,
    "GET",
    "/admin/table?key=region/agadir",
  );
  return (JSON.parse(answer.body) as { rows: { row: { weight: number } }[] })
    .rows[0].row.weight;
}

/** Looks at a VM's version until stopped; the list is what an observer saw, in order. */
function observe(vm: Vm) {
  const seen: number[] = [];
  let open = true;
  const done = (async () => {
    while (open) {
      const answer = await operator(vm, "GET", "/admin/status");
      const status = JSON.parse(answer.body) as Status;
      seen.push(status.tableVersion ?? 0);
      await sleep(20);
    }
  })();
  return async () => {
    open = false;
    await done;
    return seen;
  };
}

const vmsOf = (cluster: Cluster) => {
  const vm = (id: string) => cluster.vms.get(id)!;
  return { vm, all: [...cluster.vms.values()] };
};

describe("table, each part a process", () => {
  // A VM is killed and another frozen while an operator edits. The edit is in force on all the others; the frozen one,
  // when it goes on, serves at most a moment on its old version and then on the new one, never the other way round.
  it("has edits in force past a killed and a frozen VM", async (t) => {
    const cluster = await open(t);
    const { vm, all } = vmsOf(cluster);
    const [killed, frozen] = [vm("agadir-2"), vm("marrakech-2")];
    killed.proc.signal("SIGKILL");
    frozen.proc.signal("SIGSTOP");
    let version = 1;
    for (const weight of [2, 3, 4]) {
      version = await accept(t, vm("agadir-1"), weight);
    }
    t.is(version, 4);
    const live = all.filter((it) => it !== killed && it !== frozen);
    for (const it of live) await inForce(cluster, it, version);
    frozen.proc.signal("SIGCONT");
    const stop = observe(frozen);
    await inForce(cluster, frozen, version);
    const seen = await stop();
    t.deepEqual(seen, [...seen].sort((a, b) => a - b));
    t.is(await weightAt(frozen), 4);
  });

  // The store goes away, and in the outage a VM is killed and one starts. Callers see no change. The operator is told
  // that nothing was changed. After the return an edit is in force everywhere, on the new VM too.
  it("serves through an outage in which VMs are replaced", async (t) => {
    const cluster = await open(t);
    const { vm } = vmsOf(cluster);
    await cluster.setPlatformFaults([{ outage: "refuse" }]);
    vm("agadir-2").proc.signal("SIGKILL");
    const late = await cluster.startVm("agadir-9", "agadir", [
      vm("agadir-1").peerAddress,
    ]);
    await inForce(cluster, late, 1);
    const refused = await edit(late, 2, 300);
    t.is(refused.statusCode, 503);
    t.like(refusal(refused as never), { code: 5003, ran: "no" });
    await cluster.setPlatformFaults([]);
    const version = await accept(t, late, 3);
    const { all } = vmsOf(cluster);
    for (const it of all) {
      if (it.id === "agadir-2") continue;
      await inForce(cluster, it, version);
      t.is(await weightAt(it), 3);
    }
  });

  // The store is restored from an old copy while a VM is frozen that has the newest version in force. No VM goes back;
  // edits are refused with the alarm's code; after the operator publishes the table in force, edits go on.
  it("does not go back with a store restored from an old copy", async (t) => {
    const cluster = await open(t);
    const { vm, all } = vmsOf(cluster);
    await got.post(`${cluster.storeUrl}/save/old`);
    const version = await accept(t, vm("marrakech-1"), 5);
    for (const it of all) await inForce(cluster, it, version);
    const stops = all.slice(1).map(observe);
    vm("agadir-1").proc.signal("SIGSTOP");
    await got.post(`${cluster.storeUrl}/restore/old`);
    const refused = await edit(vm("marrakech-2"), 6);
    t.is(refusal(refused as never).code, 5004, refused.body);
    vm("agadir-1").proc.signal("SIGCONT");
    t.is(await weightAt(vm("agadir-1")), 5);
    const mended = await operator(
      vm("marrakech-3"),
      "POST",
      "/admin/table/republish",
      {},
    );
    t.is(mended.statusCode, 200, mended.body);
    const next = await accept(t, vm("agadir-1"), 7);
    t.is(next, version + 1);
    for (const it of all) await inForce(cluster, it, next);
    for (const stop of stops) {
      const seen = await stop();
      t.deepEqual(seen, [...seen].sort((a, b) => a - b));
    }
  });
});
