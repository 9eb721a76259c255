import type { ExecutionContext } from "ava";
import { openPlatform, type Platform } from "../standins/mod.ts";
import { describe, it } from "../base/describe.ts";
import {
  openTableVms,
  regionRowOf,
  rowOf,
  TableVm,
} from "../../test/table_vms.ts";
import { until } from "../../test/vms.ts";

const regions = ["agadir", "marrakech"];

/** Two regions of three VMs each, which know each other and have version 1 in force. */
async function openFleet(
  t: ExecutionContext,
): Promise<{ platform: Platform; vms: TableVm[] }> {
  const platform = await openPlatform();
  t.teardown(() => platform.close());
  const vms = await openTableVms(platform.url, regions, 3);
  t.teardown(() => Promise.all(vms.map((vm) => vm.crash())));
  await until("all know their region", async () => {
    for (const vm of vms) {
      if ((await vm.table.fleet.regionVms()).length < 3) return false;
    }
    return true;
  });
  const first = await vms[0].put(...regions.map((id) => regionRowOf(id)));
  t.is(first._unsafeUnwrap().version, 1);
  await untilInForce(vms, 1);
  await until(
    "the watchers watch",
    () => platform.store.watchCount === 2 * regions.length,
  );
  return { platform, vms };
}

function untilInForce(vms: readonly TableVm[], version: number): Promise<void> {
  return until(
    `version ${version} is in force`,
    () => vms.every((vm) => vm.version >= version),
  );
}

const weightOf = (vm: TableVm, region: string) =>
  vm.table.table?.region(region)?.weight;

describe("table", () => {
  it("has an edit in force on every VM, with two watches a region", async (t) => {
    const { platform, vms } = await openFleet(t);
    const edit = await vms[4].put(regionRowOf("agadir", 7));
    await untilInForce(vms, edit._unsafeUnwrap().version);
    for (const vm of vms) t.is(weightOf(vm, "agadir"), 7);
    t.is(platform.store.watchCount, 2 * regions.length);
  });

  // Six operators edit at once at six VMs: five change rows of their own, two of them change the same row on the same
  // version. Those of different rows all succeed; of the two, one is told the row as it now stands.
  it("lets racing operators win unless they change the same row", async (t) => {
    const { vms } = await openFleet(t);
    const put = (vm: TableVm, id: string, weight: number, ifVersion: number) =>
      vm.edit([{
        type: "put",
        row: rowOf(regionRowOf(id, weight)),
        ifVersion,
      }]);
    const results = await Promise.all([
      put(vms[0], "agadir", 10, 1),
      put(vms[1], "agadir", 11, 1),
      put(vms[2], "marrakech", 12, 1),
      put(vms[3], "muscat", 13, 0),
      put(vms[4], "sohar", 14, 0),
      put(vms[5], "salalah", 15, 0),
    ]);
    t.deepEqual(results.slice(2).map((it) => it.isOk()), Array(4).fill(true));
    const lost = results.slice(0, 2).filter((it) => it.isErr());
    t.is(lost.length, 1);
    const refused = lost[0]._unsafeUnwrapErr();
    t.is(refused.failure.code, "editConflict");
    const won = results[0].isOk() ? 10 : 11;
    const stands = refused.conflicts?.[0].current;
    t.deepEqual(stands?.row, rowOf(regionRowOf("agadir", won)));
    await untilInForce(vms, 6);
    for (const vm of vms) t.is(weightOf(vm, "agadir"), won);
  });

  // Sixty edits race from six VMs. Each re-bases on the newest head until it is accepted; none may be refused because
  // a head or heartbeat read a moment ago disagrees with one read now, and no such moment may raise the alarm.
  it("accepts every edit of a race for different rows, with no false alarm", async (t) => {
    const { vms } = await openFleet(t);
    const results = await Promise.all(vms.flatMap((vm, i) =>
      Array.from(
        { length: 10 },
        (_, n) => vm.put(regionRowOf(`row-${i}`, n + 2)),
      )
    ));
    const versions = results.map((it) => it._unsafeUnwrap().version);
    t.deepEqual(
      versions.sort((a, b) => a - b),
      versions.map((_, i) => i + 2),
    );
    await untilInForce(vms, 61);
    for (const vm of vms) t.is(vm.dump().regressions, 0);
  });

  // The operator's edit takes effect, the store's answer is lost. The operator is told "accepted" once its own record
  // is read back; a second write of it finds the first and changes nothing.
  it("settles a write whose answer was lost", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ keyPrefix: "table/head", loseAnswers: 1 }]);
    const edit = await vms[2].put(regionRowOf("agadir", 3));
    t.is(edit._unsafeUnwrap().version, 2);
    const next = await vms[3].put(regionRowOf("agadir", 4));
    t.is(next._unsafeUnwrap().version, 3);
    await untilInForce(vms, 3);
    const history = await vms[0].editor.history(undefined, 10);
    t.deepEqual(history._unsafeUnwrap().map((it) => it.version), [3, 2, 1]);
  });

  // The store holds a write back for longer than the VM waits. The VM reads back, finds nothing, and writes the same
  // record again, which is accepted. The first write arrives after that and must not take effect a second time.
  it("makes one edit of a write that arrives after its repeat", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ vm: `^${vms[0].id}$`, slowMs: 1500 }]);
    const edit = vms[0].put(regionRowOf("agadir", 3));
    await until("the write is under way", () => platform.counts.writes >= 2);
    platform.faults.clear();
    t.is((await edit)._unsafeUnwrap().version, 2);
    const next = await vms[1].put(regionRowOf("agadir", 4));
    t.is(next._unsafeUnwrap().version, 3);
    const { rev } = platform.store;
    await new Promise((resolve) => setTimeout(resolve, 1000));
    t.is(platform.store.rev, rev);
    await untilInForce(vms, 3);
    for (const vm of vms) t.is(weightOf(vm, "agadir"), 4);
  });

  // The store goes away, an operator edits, a VM crashes, another starts. Callers see no change: every VM serves on
  // version 1, the new one takes it from a peer. The operator is told that nothing was changed. The store returns, and
  // edits go on.
  it("serves through an outage of the store, also on a VM that starts in it", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ outage: "refuse" }]);
    const refused = (await vms[0].edit([
      { type: "put", row: rowOf(regionRowOf("agadir", 9)) },
    ], 300))._unsafeUnwrapErr();
    t.is(refused.failure.code, "storeUnavailable");
    t.is(refused.failure.ran, "no");
    await vms[1].crash();
    const late = await TableVm.open({
      id: "agadir-9",
      region: "agadir",
      platformUrl: platform.url,
      seeds: [vms[0].transport.address],
    });
    t.teardown(() => late.crash());
    await untilInForce([late], 1);
    t.is(weightOf(late, "agadir"), 1);
    platform.faults.clear();
    const live = [...vms.filter((vm) => vm !== vms[1]), late];
    const edit = await vms[0].put(regionRowOf("agadir", 5));
    await untilInForce(live, edit._unsafeUnwrap().version);
    for (const vm of live) t.is(weightOf(vm, "agadir"), 5);
  });

  // A VM starts alone while the store is away: it has no table and must say so, not serve on an empty one. When the
  // store returns, it takes the table from there.
  it("has no table on a VM that starts alone without the store", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ vm: "^alone$", outage: "cut" }]);
    const alone = await TableVm.open({
      id: "alone",
      region: "agadir",
      platformUrl: platform.url,
      seeds: [],
    });
    t.teardown(() => alone.crash());
    t.is(await alone.table.ask("current", undefined), undefined);
    platform.faults.clear();
    await untilInForce([alone], vms[0].version);
    t.is(weightOf(alone, "agadir"), 1);
  });

  // The store comes back from an old copy: its head is below what is in force. No VM goes back, the operator's next
  // edit is refused with storeRegressed, the alarm is in the dump. The operator publishes the table in force again,
  // and edits go on from there, with no version given out twice.
  it("takes an old copy of the store for an alarm, and mends it on request", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.save("old");
    for (const weight of [2, 3, 4]) {
      t.true((await vms[0].put(regionRowOf("agadir", weight))).isOk());
    }
    await untilInForce(vms, 4);
    platform.restore("old");
    await until(
      "a watcher raises the alarm",
      () => vms.some((vm) => vm.dump().regression !== undefined),
    );
    const edit = await vms[5].put(regionRowOf("agadir", 9));
    t.is(edit._unsafeUnwrapErr().failure.code, "storeRegressed");
    for (const vm of vms) t.is(weightOf(vm, "agadir"), 4);
    const mended = await vms[2].editor.republish();
    t.deepEqual(mended._unsafeUnwrap(), { version: 4, changed: true });
    const next = await vms[5].put(regionRowOf("agadir", 9));
    t.is(next._unsafeUnwrap().version, 5);
    await untilInForce(vms, 5);
    await until(
      "the alarm ends",
      () => vms.every((vm) => vm.dump().regression === undefined),
    );
  });

  // Two faults together: the store comes back from an old copy and a VM is replaced. The new VM reads the old table
  // from the store and must not serve on it, as its peers have a newer one in force.
  it("does not let a new VM serve on an old copy of the store", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.save("old");
    t.true((await vms[0].put(regionRowOf("agadir", 2))).isOk());
    await untilInForce(vms, 2);
    platform.restore("old");
    await vms[2].crash();
    const late = await TableVm.open({
      id: "agadir-9",
      region: "agadir",
      platformUrl: platform.url,
      seeds: [vms[0].transport.address],
    });
    t.teardown(() => late.crash());
    const served = new Set<number | undefined>();
    await until("the new VM has a table", () => {
      served.add(late.table.table && weightOf(late, "agadir"));
      return late.version > 0;
    });
    t.false(served.has(1));
    t.is(weightOf(late, "agadir"), 2);
  });

  // One region is cut off from the store but not from the other region. An edit made there must be in force here too:
  // the region's watchers see that the other region is ahead, and pull.
  it("takes edits from another region when the store is out of reach", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ vm: "^marrakech", outage: "cut" }]);
    const connected = vms.filter((vm) => vm.region === "agadir");
    const edit = await connected[0].put(regionRowOf("marrakech", 8));
    await untilInForce(vms, edit._unsafeUnwrap().version);
    for (const vm of vms) t.is(weightOf(vm, "marrakech"), 8);
  });

  // The two watchers of a region crash while an edit is made. The others of the region elect new ones, which read what
  // was missed and watch on; the bound on watches holds.
  it("replaces watchers that crash", async (t) => {
    const { platform, vms } = await openFleet(t);
    const watchers = vms.filter((vm) =>
      vm.region === "agadir" && vm.dump().watching
    );
    t.is(watchers.length, 2);
    await Promise.all(watchers.map((vm) => vm.crash()));
    const live = vms.filter((vm) => !watchers.includes(vm));
    const edit = await live[0].put(regionRowOf("agadir", 6));
    await untilInForce(live, edit._unsafeUnwrap().version);
    await until(
      "the last VM of the region watches",
      () =>
        live.every((vm) =>
          vm.region !== "agadir" || vm.dump().watching === true
        ),
    );
    t.true(platform.store.watchCount <= 2 * regions.length);
  });

  // The links from the watchers to one VM are cut, so that pushes to it are lost. It learns of the new version from the
  // third VM's heartbeats and pulls it from there.
  it("repairs a lost push through the heartbeats", async (t) => {
    const { vms } = await openFleet(t);
    const regionVms = vms.filter((vm) => vm.region === "agadir");
    const unreached = regionVms.find((vm) => !vm.dump().watching)!;
    unreached.transport.faults.set("deaf", {
      peer: { vmId: regionVms.find((vm) => vm !== unreached)!.id },
      direction: "in",
      cut: true,
    });
    for (const weight of [2, 3, 4, 5]) {
      await regionVms.find((vm) => vm !== unreached)!.put(
        regionRowOf("agadir", weight),
      );
    }
    await untilInForce(vms, 5);
    t.is(weightOf(unreached, "agadir"), 5);
  });

  it("refuses an edit that breaks a reference, and says how", async (t) => {
    const { vms } = await openFleet(t);
    const edit = await vms[0].put({
      kind: "workspace",
      id: "clerks",
      home: "atlantis",
    });
    const { failure, faults } = edit._unsafeUnwrapErr();
    t.is(failure.code, "invalidEdit");
    t.deepEqual(faults?.[0], {
      key: "workspace/clerks",
      field: "home",
      value: "atlantis",
      allowed: "must be the id of a region row",
    });
    t.is(vms[0].version, 1);
  });

  it("applies a file with a dry run first, and finds nothing to do after it", async (t) => {
    const { vms } = await openFleet(t);
    const rows = [
      regionRowOf("agadir", 2),
      { kind: "service", id: "plan", type: "model" },
      { kind: "traffic", service: "plan", region: "agadir" },
    ].map(rowOf);
    const deadlineMs = Date.now() + 5000;
    const request = { rows, author: "git", deadlineMs };
    const dry = await vms[0].editor.apply({ ...request, dryRun: true });
    t.is(dry._unsafeUnwrap().version, undefined);
    t.is(dry._unsafeUnwrap().changes.length, 4);
    t.is(vms[0].version, 1);
    const done = await vms[0].editor.apply({ ...request, dryRun: false });
    t.is(done._unsafeUnwrap().version, 2);
    await untilInForce(vms, 2);
    t.deepEqual((await vms[3].editor.diff(rows))._unsafeUnwrap(), []);
    t.is(vms[3].table.table?.region("marrakech"), undefined);
  });
});
