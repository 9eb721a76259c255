import type { ExecutionContext } from "ava";
import { openPlatform, type Platform } from "../standins/mod.ts";
import { describe, it } from "../base/describe.ts";
import {
  makeRegionRow,
  openTableVms,
  parseRow,
  TableVm,
} from "../../test/table_vms.ts";
import { waitUntil } from "../../test/vms.ts";

const regions = ["agadir", "marrakech"];

/** Opens two regions of three VMs each, which know each other and have version 1 in force. */
async function openFleet(
  t: ExecutionContext,
): Promise<{ platform: Platform; vms: TableVm[] }> {
  const platform = await openPlatform();
  t.teardown(() => platform.close());
  const vms = await openTableVms(platform.url, regions, 3);
  t.teardown(() => Promise.all(vms.map((vm) => vm.crash())));
  await waitUntil("all know their region", async () => {
    for (const vm of vms) {
      if ((await vm.table.fleet.regionVms()).length < 3) return false;
    }
    return true;
  });
  const first = await vms[0].put(...regions.map((id) => makeRegionRow(id)));
  t.is(first._unsafeUnwrap().version, 1);
  await untilInForce(vms, 1);
  await waitUntil(
    "the watchers watch",
    () => platform.store.watchCount === 2 * regions.length,
  );
  return { platform, vms };
}

function untilInForce(vms: readonly TableVm[], version: number): Promise<void> {
  return waitUntil(
    `version ${version} is in force`,
    () => vms.every((vm) => vm.version >= version),
  );
}

const weightOf = (vm: TableVm, region: string) =>
  vm.table.table?.region(region)?.weight;

describe("table", () => {
  it("puts an edit in force on every VM, with two watches per region", async (t) => {
    const { platform, vms } = await openFleet(t);
    const edit = await vms[4].put(makeRegionRow("agadir", 7));
    await untilInForce(vms, edit._unsafeUnwrap().version);
    for (const vm of vms) t.is(weightOf(vm, "agadir"), 7);
    t.is(platform.store.watchCount, 2 * regions.length);
  });

  // Six operators edit at the same time at six VMs; two of them change the same version of the same row. The edits of
  // different rows all succeed. One of the two that conflict is refused, and its operator is told the current row.
  it("accepts racing edits unless they change the same row", async (t) => {
    const { vms } = await openFleet(t);
    const put = (vm: TableVm, id: string, weight: number, ifVersion: number) =>
      vm.edit([{
        type: "put",
        row: parseRow(makeRegionRow(id, weight)),
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
    const currentRow = refused.conflicts?.[0].current;
    t.deepEqual(currentRow?.row, parseRow(makeRegionRow("agadir", won)));
    await untilInForce(vms, 6);
    for (const vm of vms) t.is(weightOf(vm, "agadir"), won);
  });

  // Sixty edits race from six VMs. Each is retried on the newest head until it is accepted. A head or heartbeat read a
  // moment before may differ from one read now; that must neither refuse an edit nor report a regression.
  it("accepts all racing edits of different rows and reports no regression", async (t) => {
    const { vms } = await openFleet(t);
    const results = await Promise.all(vms.flatMap((vm, i) =>
      Array.from(
        { length: 10 },
        (_, n) => vm.put(makeRegionRow(`row-${i}`, n + 2)),
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

  // The operator's edit takes effect, but the store's answer is lost. The edit is reported as accepted once its record
  // is read back. A second write of it finds the first and changes nothing.
  it("settles a write whose answer was lost", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ keyPrefix: "table/head", loseAnswers: 1 }]);
    const edit = await vms[2].put(makeRegionRow("agadir", 3));
    t.is(edit._unsafeUnwrap().version, 2);
    const next = await vms[3].put(makeRegionRow("agadir", 4));
    t.is(next._unsafeUnwrap().version, 3);
    await untilInForce(vms, 3);
    const history = await vms[0].editor.history(undefined, 10);
    t.deepEqual(history._unsafeUnwrap().map((it) => it.version), [3, 2, 1]);
  });

  // The store delays a write for longer than the VM's timeout. The VM reads back, finds nothing, and writes the same
  // record again, which is accepted. The first write arrives after that and must not take effect a second time.
  it("makes one edit of a write that arrives after its retry", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ vm: `^${vms[0].id}$`, slowMs: 1500 }]);
    const edit = vms[0].put(makeRegionRow("agadir", 3));
    await waitUntil(
      "the write is under way",
      () => platform.counts.writes >= 2,
    );
    platform.faults.clear();
    t.is((await edit)._unsafeUnwrap().version, 2);
    const next = await vms[1].put(makeRegionRow("agadir", 4));
    t.is(next._unsafeUnwrap().version, 3);
    const { rev } = platform.store;
    await new Promise((resolve) => setTimeout(resolve, 1000));
    t.is(platform.store.rev, rev);
    await untilInForce(vms, 3);
    for (const vm of vms) t.is(weightOf(vm, "agadir"), 4);
  });

  // During a store outage an operator edits, a VM crashes and another VM starts. Callers notice nothing: all VMs serve
  // with version 1, which the new VM pulls from a peer. The operator is told that nothing was changed. When the store
  // returns, edits are accepted again.
  it("serves through a store outage, also on a VM that starts during it", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ outage: "refuse" }]);
    const refused = (await vms[0].edit([
      { type: "put", row: parseRow(makeRegionRow("agadir", 9)) },
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
    const edit = await vms[0].put(makeRegionRow("agadir", 5));
    await untilInForce(live, edit._unsafeUnwrap().version);
    for (const vm of live) t.is(weightOf(vm, "agadir"), 5);
  });

  // A VM starts alone during a store outage. It has no table and must say so, rather than serve with an empty one. When
  // the store returns, the VM reads the table from it.
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

  // The store is restored from an old backup, so its head is older than the version in force. No VM goes back to that
  // version, the operator's next edit is refused with storeRegressed, and the dump shows the regression. The operator
  // republishes the table in force, and later edits continue from there without reusing a version.
  it("reports a store restored from an old backup, and repairs it on request", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.saveCopy("old");
    for (const weight of [2, 3, 4]) {
      t.true((await vms[0].put(makeRegionRow("agadir", weight))).isOk());
    }
    await untilInForce(vms, 4);
    platform.restoreCopy("old");
    await waitUntil(
      "a watcher reports the regression",
      () => vms.some((vm) => vm.dump().regression !== undefined),
    );
    const edit = await vms[5].put(makeRegionRow("agadir", 9));
    t.is(edit._unsafeUnwrapErr().failure.code, "storeRegressed");
    for (const vm of vms) t.is(weightOf(vm, "agadir"), 4);
    const republished = await vms[2].editor.republish();
    t.deepEqual(republished._unsafeUnwrap(), { version: 4, changed: true });
    const next = await vms[5].put(makeRegionRow("agadir", 9));
    t.is(next._unsafeUnwrap().version, 5);
    await untilInForce(vms, 5);
    await waitUntil(
      "the regression ends",
      () => vms.every((vm) => vm.dump().regression === undefined),
    );
  });

  // Two faults together: the store is restored from an old backup and a VM is replaced. The new VM reads the old table
  // from the store and must not serve with it, because its peers have a newer one in force.
  it("does not let a new VM serve with the table of an old backup", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.saveCopy("old");
    t.true((await vms[0].put(makeRegionRow("agadir", 2))).isOk());
    await untilInForce(vms, 2);
    platform.restoreCopy("old");
    await vms[2].crash();
    const late = await TableVm.open({
      id: "agadir-9",
      region: "agadir",
      platformUrl: platform.url,
      seeds: [vms[0].transport.address],
    });
    t.teardown(() => late.crash());
    const served = new Set<number | undefined>();
    await waitUntil("the new VM has a table", () => {
      served.add(late.table.table && weightOf(late, "agadir"));
      return late.version > 0;
    });
    t.false(served.has(1));
    t.is(weightOf(late, "agadir"), 2);
  });

  // One region cannot reach the store but can reach the other region. An edit made in the other region must come into
  // force here too: the watchers see that the other region is ahead, and pull.
  it("pulls edits from a remote region while the store is unreachable", async (t) => {
    const { platform, vms } = await openFleet(t);
    platform.faults.set([{ vm: "^marrakech", outage: "cut" }]);
    const connected = vms.filter((vm) => vm.region === "agadir");
    const edit = await connected[0].put(makeRegionRow("marrakech", 8));
    await untilInForce(vms, edit._unsafeUnwrap().version);
    for (const vm of vms) t.is(weightOf(vm, "marrakech"), 8);
  });

  // The two watchers of a region crash while an edit is made. Other VMs of the region become watchers, read the missing
  // edits and keep watching. The limit on the number of watches holds.
  it("replaces watchers that crash", async (t) => {
    const { platform, vms } = await openFleet(t);
    const watchers = vms.filter((vm) =>
      vm.region === "agadir" && vm.dump().watching
    );
    t.is(watchers.length, 2);
    await Promise.all(watchers.map((vm) => vm.crash()));
    const live = vms.filter((vm) => !watchers.includes(vm));
    const edit = await live[0].put(makeRegionRow("agadir", 6));
    await untilInForce(live, edit._unsafeUnwrap().version);
    await waitUntil(
      "the last VM of the region watches",
      () =>
        live.every((vm) =>
          vm.region !== "agadir" || vm.dump().watching === true
        ),
    );
    t.true(platform.store.watchCount <= 2 * regions.length);
  });

  // A VM's inbound link from another VM is cut, so that pushes over it are lost. The VM learns of the new version from
  // the third VM's heartbeats and pulls it from there.
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
        makeRegionRow("agadir", weight),
      );
    }
    await untilInForce(vms, 5);
    t.is(weightOf(unreached, "agadir"), 5);
  });

  it("refuses an edit with a dangling reference, and names it", async (t) => {
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

  it("applies a file after a dry run, and then finds nothing to change", async (t) => {
    const { vms } = await openFleet(t);
    const rows = [
      makeRegionRow("agadir", 2),
      { kind: "service", id: "plan", type: "model" },
      { kind: "traffic", service: "plan", region: "agadir" },
    ].map(parseRow);
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
