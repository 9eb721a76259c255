import { randomUUID } from "node:crypto";
import type { ExecutionContext } from "ava";
import got from "got";
import { describe, itAlone as it } from "../src/base/describe.ts";
import {
  callAdmin,
  Cluster,
  readError,
  sleep,
  standardRows,
  type Vm,
  type VmStatus,
} from "./cluster.ts";

const REGIONS = ["agadir", "marrakech"];

/** Two regions of three daemons, with version 1 in force. */
async function openCluster(t: ExecutionContext): Promise<Cluster> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  await cluster.seedTable(standardRows(REGIONS, []));
  await cluster.startRegions(REGIONS, 3);
  for (const vm of cluster.vms.values()) await waitForVersion(cluster, vm, 1);
  return cluster;
}

function waitForVersion(
  cluster: Cluster,
  vm: Vm,
  version: number,
): Promise<VmStatus> {
  return cluster.waitFor(vm, (it) => (it.tableVersion ?? 0) >= version);
}

function submitEdit(vm: Vm, weight: number, waitMs = 5000) {
  const row = { kind: "region", id: "agadir", weight };
  const changes = [{ type: "put", row }];
  const id = randomUUID();
  const body = { id, author: "operator", waitMs, changes };
  return callAdmin(vm, "POST", "/admin/table/edits", body);
}

async function submitAcceptedEdit(
  t: ExecutionContext,
  vm: Vm,
  weight: number,
): Promise<number> {
  const answer = await submitEdit(vm, weight);
  t.is(answer.statusCode, 200, answer.body);
  return (JSON.parse(answer.body) as { version: number }).version;
}

async function readWeight(vm: Vm): Promise<number> {
  const answer = await callAdmin(
    vm,
    "GET",
    "/admin/table?key=region/agadir",
  );
  return (JSON.parse(answer.body) as { rows: { row: { weight: number } }[] })
    .rows[0].row.weight;
}

/** Looks at a VM's version until stopped; the list is what an observer saw, in order. */
function observeVersions(vm: Vm) {
  const versions: number[] = [];
  let isObserving = true;
  const done = (async () => {
    while (isObserving) {
      const answer = await callAdmin(vm, "GET", "/admin/status");
      const status = JSON.parse(answer.body) as VmStatus;
      versions.push(status.tableVersion ?? 0);
      await sleep(20);
    }
  })();
  return async () => {
    isObserving = false;
    await done;
    return versions;
  };
}

const listVms = (cluster: Cluster) => {
  const vm = (id: string) => cluster.vms.get(id)!;
  return { vm, all: [...cluster.vms.values()] };
};

describe("table, each part a process", () => {
  // A VM is killed and another frozen while an operator edits. The edit is in force on all the others; the frozen one,
  // when it goes on, serves at most a moment on its old version and then on the new one, never the other way round.
  it("has edits in force past a killed and a frozen VM", async (t) => {
    const cluster = await openCluster(t);
    const { vm, all } = listVms(cluster);
    const [killed, frozen] = [vm("agadir-2"), vm("marrakech-2")];
    killed.proc.signal("SIGKILL");
    frozen.proc.signal("SIGSTOP");
    let version = 1;
    for (const weight of [2, 3, 4]) {
      version = await submitAcceptedEdit(t, vm("agadir-1"), weight);
    }
    t.is(version, 4);
    const live = all.filter((it) => it !== killed && it !== frozen);
    for (const it of live) await waitForVersion(cluster, it, version);
    frozen.proc.signal("SIGCONT");
    const stopObserving = observeVersions(frozen);
    await waitForVersion(cluster, frozen, version);
    const versions = await stopObserving();
    t.deepEqual(versions, [...versions].sort((a, b) => a - b));
    t.is(await readWeight(frozen), 4);
  });

  // The store goes away, and in the outage a VM is killed and one starts. Callers see no change. The operator is told
  // that nothing was changed. After the return an edit is in force everywhere, on the new VM too.
  it("serves through an outage in which VMs are replaced", async (t) => {
    const cluster = await openCluster(t);
    const { vm } = listVms(cluster);
    await cluster.setPlatformFaults([{ outage: "refuse" }]);
    vm("agadir-2").proc.signal("SIGKILL");
    const newVm = await cluster.startVm("agadir-9", "agadir", [
      vm("agadir-1").peerAddress,
    ]);
    await waitForVersion(cluster, newVm, 1);
    const refused = await submitEdit(newVm, 2, 300);
    t.is(refused.statusCode, 503);
    t.like(readError(refused as never), { code: 5003, ran: "no" });
    await cluster.setPlatformFaults([]);
    const version = await submitAcceptedEdit(t, newVm, 3);
    const { all } = listVms(cluster);
    for (const it of all) {
      if (it.id === "agadir-2") continue;
      await waitForVersion(cluster, it, version);
      t.is(await readWeight(it), 3);
    }
  });

  // The store is restored from an old copy while a VM is frozen that has the newest version in force. No VM goes back;
  // edits are refused with the alarm's code; after the operator publishes the table in force, edits go on.
  it("does not go back with a store restored from an old copy", async (t) => {
    const cluster = await openCluster(t);
    const { vm, all } = listVms(cluster);
    await got.post(`${cluster.storeUrl}/save/old`);
    const version = await submitAcceptedEdit(t, vm("marrakech-1"), 5);
    for (const it of all) await waitForVersion(cluster, it, version);
    const stopFunctions = all.slice(1).map(observeVersions);
    vm("agadir-1").proc.signal("SIGSTOP");
    await got.post(`${cluster.storeUrl}/restore/old`);
    const refused = await submitEdit(vm("marrakech-2"), 6);
    t.is(readError(refused as never).code, 5004, refused.body);
    vm("agadir-1").proc.signal("SIGCONT");
    t.is(await readWeight(vm("agadir-1")), 5);
    const republished = await callAdmin(
      vm("marrakech-3"),
      "POST",
      "/admin/table/republish",
      {},
    );
    t.is(republished.statusCode, 200, republished.body);
    const nextVersion = await submitAcceptedEdit(t, vm("agadir-1"), 7);
    t.is(nextVersion, version + 1);
    for (const it of all) await waitForVersion(cluster, it, nextVersion);
    for (const stopObserving of stopFunctions) {
      const versions = await stopObserving();
      t.deepEqual(versions, [...versions].sort((a, b) => a - b));
    }
  });
});
