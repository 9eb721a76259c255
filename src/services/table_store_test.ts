import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { Random, systemClock as clock } from "../base/mod.ts";
import { Kernel, openLog } from "../kernel/mod.ts";
import {
  LOG_PREFIX,
  type RowChange,
  SNAPSHOT_PREFIX,
  TableLog,
  tableRow,
} from "../agreement/mod.ts";
import { MemoryKeyValue } from "../standins/mod.ts";
import { TableEditor } from "./table_editor.ts";
import { TableService } from "./table_service.ts";
import { RETAINED_EDITS, TableStore } from "./table_store.ts";

const put = (id: string, weight: number): RowChange => ({
  type: "put",
  row: tableRow.parse({ kind: "region", id, weight }),
});

/** Starts a single VM with a store in memory, and returns a function to edit its table. */
async function openVm(t: ExecutionContext) {
  const store = new MemoryKeyValue();
  const kernel = new Kernel(clock, openLog("silent"));
  const random = new Random(1);
  const vm = { id: "a", region: "agadir" };
  const service = new TableService({ vm, store, random });
  await kernel.start(service);
  t.teardown(() => kernel.close(clock.nowMs()));
  const editor = new TableEditor({ service, vmId: "a", clock, random });
  let next = 0;
  const edit = async (changes: readonly RowChange[]) => {
    const proposal = { id: `edit-${next++}`, author: "me", changes };
    return await editor.submit(proposal, clock.nowMs() + 5000);
  };
  return { service, editor, edit, store };
}

/** Reads the table from the store as a starting VM does. */
async function coldStart(store: MemoryKeyValue) {
  const log = new TableLog();
  const own = new MemoryKeyValue({ store: store.store });
  const reader = new TableStore(own);
  const seen = (await reader.head(0))._unsafeUnwrap();
  const result = await reader.catchUp(log, seen);
  return { log, result, calls: own.counts().table };
}

const keys = async (store: MemoryKeyValue, prefix: string) =>
  (await store.list(prefix, {}, "other"))._unsafeUnwrap().entries
    .map((entry) => entry.key);

describe("table snapshots", () => {
  it("limit the length of the log and the reads of a cold start", async (t) => {
    const { edit, service, store } = await openVm(t);
    for (let i = 1; i <= 1300; i++) {
      t.true((await edit([put(`r${i % 40}`, i)])).isOk());
    }
    await clock.sleep(0);
    const log = await keys(store, LOG_PREFIX);
    t.true(log.length < 512 + RETAINED_EDITS + 20, String(log.length));
    t.is((await keys(store, SNAPSHOT_PREFIX)).length, 1);
    const cold = await coldStart(store);
    t.is(cold.log.table.version, 1300);
    t.is(cold.log.lastId, service.log.lastId);
    const weights = (from: TableLog) =>
      [...from.table.rows()].map((it) => JSON.stringify(it)).sort();
    t.deepEqual(weights(cold.log), weights(service.log));
    t.true(cold.calls < 20, String(cold.calls));
  });

  // A writer dies after it has written its pages and before the head refers to them. Readers keep using the old
  // snapshot, and the next writer deletes the orphaned pages.
  it("stay in place if the writer of the next one dies", async (t) => {
    const { edit, service, store } = await openVm(t);
    for (let i = 1; i <= 10; i++) await edit([put(`r${i}`, i)]);
    const writer = new TableStore(store);
    t.true((await writer.writeSnapshot(service.log.image(), "a")).isOk());
    await edit([put("r1", 99)]);
    store.faults.set([{ keyPrefix: "table/head", outage: "cut" }]);
    t.true((await writer.writeSnapshot(service.log.image(), "b")).isErr());
    store.faults.clear();
    t.is((await keys(store, SNAPSHOT_PREFIX)).length, 2);
    t.is((await coldStart(store)).log.table.version, 11);
    await edit([put("r2", 99)]);
    t.true((await writer.writeSnapshot(service.log.image(), "c")).isOk());
    const [left, ...more] = await keys(store, SNAPSHOT_PREFIX);
    t.regex(left, /-c\//);
    t.deepEqual(more, []);
  });

  // A snapshot is replaced after a reader has read the head and before it has read the pages. The whole read fails, and
  // the next attempt finds the new snapshot. A table with only a part of the rows never comes into force.
  it("that are replaced during a read are never loaded in part", async (t) => {
    const { edit, service, store } = await openVm(t);
    for (let i = 1; i <= RETAINED_EDITS + 50; i++) await edit([put("r1", i)]);
    const writer = new TableStore(store);
    t.true((await writer.writeSnapshot(service.log.image(), "a")).isOk());
    const late = (await writer.head(0))._unsafeUnwrap();
    await edit([put("r1", 9999)]);
    t.true((await writer.writeSnapshot(service.log.image(), "b")).isOk());
    const log = new TableLog();
    t.true((await writer.catchUp(log, late)).isErr());
    t.is(log.table.version, 0);
    const cold = await coldStart(store);
    t.is(cold.log.table.region("r1")?.weight, 9999);
  });
});

describe("table edits", () => {
  it("that change nothing make no new version", async (t) => {
    const { edit, service } = await openVm(t);
    await edit([put("r1", 1)]);
    const again = (await edit([put("r1", 1)]))._unsafeUnwrap();
    t.deepEqual(again, { version: 1, changed: false });
    t.is(service.log.table.version, 1);
  });

  it("larger than a record are refused, but an apply splits them", async (t) => {
    const { edit, editor, service } = await openVm(t);
    const rows = Array.from(
      { length: 4000 },
      (_, i) => tableRow.parse({ kind: "region", id: `r${i}` }),
    );
    const changes = rows.map((row): RowChange => ({ type: "put", row }));
    const refused = (await edit(changes))._unsafeUnwrapErr();
    t.is(refused.failure.code, "invalidEdit");
    const deadlineMs = clock.nowMs() + 1000;
    const request = { rows, author: "git", dryRun: false, deadlineMs };
    const applied = (await editor.apply(request))._unsafeUnwrap();
    t.is(applied.changes.length, 4000);
    t.true(applied.version! > 1);
    t.is(service.log.table.size, 4000);
  });

  it("are accepted once per id, and another edit cannot reuse the id", async (t) => {
    const { editor, service } = await openVm(t);
    const submit = (weight: number) => {
      const changes = [put("r1", weight)];
      const proposal = { id: "the-id", author: "me", changes };
      return editor.submit(proposal, clock.nowMs() + 5000);
    };
    t.is((await submit(2))._unsafeUnwrap().version, 1);
    t.is((await submit(2))._unsafeUnwrap().version, 1);
    const other = (await submit(3))._unsafeUnwrapErr();
    t.is(other.failure.code, "invalidEdit");
    t.is(service.log.table.version, 1);
  });

  it("cost one store call each if no other VM edits", async (t) => {
    const { edit, store } = await openVm(t);
    await edit([put("r1", 1)]);
    const before = store.counts().table;
    for (let i = 2; i <= 51; i++) await edit([put("r1", i)]);
    t.is(store.counts().table - before, 50);
  });
});
