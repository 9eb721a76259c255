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

/** Opens two regions of three daemons each, with table version 1 in force. */
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

/** Polls a VM's table version. Returns a function that stops this and returns the versions in order. */
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

describe("table of real daemons", () => {
  // A VM is killed and another frozen while an operator edits. The edits must come into force at all other VMs. The
  // frozen VM resumes with its old version for a moment, then has the new one, and must never go back.
  it("brings edits into force despite a killed and a frozen VM", async (t) => {
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

  // During a store outage a VM is killed and a new one starts. The new VM must have the table, so that callers notice
  // nothing, and an operator's edit is refused as not made. After the outage an edit must come into force at every VM,
  // the new one included.
  it("stays in force during a store outage in which VMs are replaced", async (t) => {
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

  // The store is restored from an old backup while a VM with the newest version in force is frozen. No VM may go back
  // to an older version, and edits are refused with the code for a regressed store. After the operator republishes the
  // table in force, edits are accepted again.
  it("keeps its version when the store is restored from an old backup", async (t) => {
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
