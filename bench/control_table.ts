/**
 * Measures the cost of the table: the time until an edit is in force, store calls, watches, bytes between VMs, and
 * memory and processor time by the table's size. `npm run bench -- control_table [--json] [--vms 6,24] [--edits 200]`
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  joinPages,
  type LoggedEdit,
  parseEdit,
  parsePage,
  splitImage,
  Table,
  TableLog,
  type TableRow,
  tableRow,
} from "../src/agreement/mod.ts";
import { Random } from "../src/base/mod.ts";
import { openPlatform, type Platform } from "../src/standins/mod.ts";
import {
  makeRegionRow,
  openTableVms,
  parseRow,
  type TableVm,
} from "../test/table_vms.ts";
import type { Row } from "./row.ts";

const SEED = 1;
const REGIONS = ["casablanca", "marrakech", "agadir"];
const TABLE_SIZES = [1000, 4500, 15_000, 30_000];
const IDLE_MS = 10_000;
/** Pause between two edits. The rate is many times the target's average of 0.75 edits per second. */
const EDIT_PAUSE_MS = 20;
const RACE_EDITS_PER_VM = 5;
/** Enough edits to include merges of the table's layers. */
const APPLIED_EDITS = 1024;
const OUTAGE_MS = 5000;
const CUT_EDITS = 10;

/** Measures each table size, and each fleet size given by `--vms`. */
export async function run(args: readonly string[]): Promise<Row[]> {
  const fleets = parseOption(args, "--vms", "6,24").split(",").map(Number);
  const edits = Number(parseOption(args, "--edits", "200"));
  const rows: Row[] = [];
  for (const size of TABLE_SIZES) rows.push(...measureSize(size));
  for (const vms of fleets) rows.push(...await measureFleet(vms, edits));
  return rows;
}

function parseOption(
  args: readonly string[],
  name: string,
  defaultValue: string,
): string {
  const index = args.indexOf(name);
  return index < 0 ? defaultValue : args[index + 1];
}

async function measureFleet(count: number, edits: number): Promise<Row[]> {
  const row = createRowMaker(`${count} VMs in ${REGIONS.length} regions`);
  const platform = await openPlatform();
  const perRegion = count / REGIONS.length;
  const vms = await openTableVms(platform.url, REGIONS, perRegion);
  try {
    await vms[0].put(...REGIONS.map((id) => makeRegionRow(id)));
    await waitUntilSettled(platform, vms);
    const idle = await measureIdle(platform);
    const watches = platform.store.watchCount / REGIONS.length;
    const busy = await measureEdits(platform, vms, edits);
    const race = await measureRace(platform, vms);
    const recovery = await measureStoreRecovery(platform, vms);
    const cutMs = await measureCutRegion(platform, vms);
    const crashMs = [
      await measureCrash(vms, REGIONS[2]),
      await measureCrash(vms, REGIONS[1]),
    ];
    return [
      row("edit accepted p50", percentile(busy.acceptedMs, 0.5), "ms"),
      row("edit accepted p99", percentile(busy.acceptedMs, 0.99), "ms"),
      row("edit to in force p50", percentile(busy.inForceMs, 0.5), "ms"),
      row("edit to in force p99", percentile(busy.inForceMs, 0.99), "ms"),
      row("edit to in force max", percentile(busy.inForceMs, 1), "ms"),
      row("store writes per edit", busy.writes / edits, "calls"),
      row("store reads per edit", busy.reads / edits, "calls"),
      row("store calls idle", idle, "calls/s"),
      row("watches per region", watches, "watches"),
      row("bytes per edit and VM", busy.bytes / edits / count, "B"),
      row("pulls", busy.pulls, "calls"),
      row("race: accepted", race.perS, "edits/s"),
      row("race: store writes per edit", race.writesPerEdit, "calls"),
      row("race: refused", race.refused, "edits"),
      row("store back: edit to in force", recovery.inForceMs, "ms"),
      row("region cut from store: in force p50", percentile(cutMs, 0.5), "ms"),
      row("region cut from store: in force max", percentile(cutMs, 1), "ms"),
      row(
        "watchers of a region crash: in force max of 2",
        Math.max(...crashMs),
        "ms",
      ),
      row("store back: most calls in 100 ms", recovery.maxCalls, "calls"),
    ];
  } finally {
    for (const vm of vms) await vm.crash();
    await platform.close();
  }
}

/** Waits until every VM knows all VMs of its region and has the table, and each region's watchers watch the store. */
async function waitUntilSettled(
  platform: Platform,
  vms: TableVm[],
): Promise<void> {
  const perRegion = vms.length / REGIONS.length;
  const watches = Math.min(2, perRegion) * REGIONS.length;
  for (;;) {
    const known = await Promise.all(
      vms.map((vm) => vm.table.fleet.regionVms()),
    );
    const isComplete = known.every((region) => region.length === perRegion);
    const isInForce = vms.every((vm) => vm.version >= 1);
    if (isComplete && isInForce && platform.store.watchCount === watches) {
      return;
    }
    await sleep(50);
  }
}

async function measureIdle(platform: Platform): Promise<number> {
  const before = platform.counts.reads + platform.counts.writes;
  await sleep(IDLE_MS);
  const after = platform.counts.reads + platform.counts.writes;
  return (after - before) / (IDLE_MS / 1000);
}

async function measureEdits(
  platform: Platform,
  vms: readonly TableVm[],
  edits: number,
) {
  const random = new Random(SEED);
  const before = { ...platform.counts };
  const bytesBefore = sumTableBytes(vms);
  const pullsBefore = countPulls(vms);
  const acceptedMs: number[] = [];
  const inForceMs: number[] = [];
  for (let i = 0; i < edits; i++) {
    const startMs = performance.now();
    const weight = i + 2;
    const edit = await random.pick(vms)
      .put(makeRegionRow(random.pick(REGIONS), weight));
    acceptedMs.push(performance.now() - startMs);
    const { version } = edit._unsafeUnwrap();
    while (!vms.every((vm) => vm.version >= version)) await sleep(1);
    inForceMs.push(performance.now() - startMs);
    await sleep(EDIT_PAUSE_MS);
  }
  return {
    acceptedMs,
    inForceMs,
    writes: platform.counts.writes - before.writes,
    reads: platform.counts.reads - before.reads,
    bytes: sumTableBytes(vms) - bytesBefore,
    pulls: countPulls(vms) - pullsBefore,
  };
}

/** Measures concurrent edits: at each VM a row of its own is edited several times, all at once. */
async function measureRace(platform: Platform, vms: readonly TableVm[]) {
  const writesBefore = platform.counts.writes;
  const startMs = performance.now();
  const results = await Promise.all(
    vms.flatMap((vm, i) =>
      Array.from({ length: RACE_EDITS_PER_VM }, (_, n) => {
        const row = makeRegionRow(`race-${i}`, n + 2);
        return vm.edit([{ type: "put", row: parseRow(row) }], 60_000);
      })
    ),
  );
  const elapsedS = (performance.now() - startMs) / 1000;
  const accepted = results.filter((result) => result.isOk()).length;
  return {
    perS: accepted / elapsedS,
    writesPerEdit: (platform.counts.writes - writesBefore) / accepted,
    refused: results.length - accepted,
  };
}

/** Measures recovery from a store outage: an edit is retried until it is accepted after the store is back. */
async function measureStoreRecovery(
  platform: Platform,
  vms: readonly TableVm[],
) {
  platform.faults.set([{ outage: "refuse" }]);
  await sleep(OUTAGE_MS);
  const countCalls = () => platform.counts.reads + platform.counts.writes;
  platform.faults.clear();
  const startMs = performance.now();
  let maxCalls = 0;
  let lastCalls = countCalls();
  const sampler = setInterval(() => {
    maxCalls = Math.max(maxCalls, countCalls() - lastCalls);
    lastCalls = countCalls();
  }, 100);
  const edit = await vms[0].put(makeRegionRow(REGIONS[0], 77));
  const { version } = edit._unsafeUnwrap();
  while (!vms.every((vm) => vm.version >= version)) await sleep(1);
  const inForceMs = performance.now() - startMs;
  await sleep(OUTAGE_MS);
  clearInterval(sampler);
  return { inForceMs, maxCalls };
}

/** Measures edits made in another region while one region cannot reach the store. */
async function measureCutRegion(platform: Platform, vms: readonly TableVm[]) {
  platform.faults.set([{ vm: `^${REGIONS[2]}-`, outage: "cut" }]);
  await sleep(OUTAGE_MS);
  const inForceMs: number[] = [];
  for (let i = 0; i < CUT_EDITS; i++) {
    inForceMs.push(await timeEdit(vms[0], vms, 100 + i));
    await sleep(100 * i);
  }
  platform.faults.clear();
  await sleep(OUTAGE_MS);
  return inForceMs;
}

/** Crashes both watchers of a region and measures an edit made right after. */
async function measureCrash(vms: readonly TableVm[], region: string) {
  const live = vms.filter((vm) => !vm.isClosed);
  const crashed = live.filter((vm) =>
    vm.region === region && vm.dump().watching
  );
  await Promise.all(crashed.map((vm) => vm.crash()));
  const remaining = live.filter((vm) => !crashed.includes(vm));
  return await timeEdit(vms[0], remaining, Math.round(performance.now()));
}

async function timeEdit(
  editor: TableVm,
  vms: readonly TableVm[],
  weight: number,
): Promise<number> {
  const startMs = performance.now();
  const edit = await editor.put(makeRegionRow(REGIONS[0], weight));
  const { version } = edit._unsafeUnwrap();
  while (!vms.every((vm) => vm.version >= version)) await sleep(1);
  return performance.now() - startMs;
}

function sumTableBytes(vms: readonly TableVm[]): number {
  return vms.reduce((sum, vm) => {
    const table = vm.transport.bytesByService().table;
    return sum + (table?.sent ?? 0);
  }, 0);
}

function countPulls(vms: readonly TableVm[]): number {
  return vms.reduce((sum, vm) => sum + Number(vm.dump().pulls), 0);
}

/** Measures the memory and processor time of one VM's table with `size` rows. */
function measureSize(size: number): Row[] {
  const row = createRowMaker(`${size} rows`);
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const log = new TableLog();
  const recent: never[] = [];
  log.load({ table: buildTable(size), lastId: "e1", recent });
  collectGarbage();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  const applyUs = measureApplyUs(log, size);
  const pages = splitImage(log.image());
  const texts = pages.map((page) => JSON.stringify(page));
  const startMs = performance.now();
  joinPages(texts.map((text) => parsePage(JSON.parse(text))));
  const loadMs = performance.now() - startMs;
  const bytes = texts.reduce((sum, text) => sum + text.length, 0);
  return [
    row("memory per 1,000 rows", heapBytes / size, "KB"),
    row("processor time per edit", applyUs, "us"),
    row("image", bytes / 1000, "KB"),
    row("image pages", pages.length, "pages"),
    row("image load", loadMs, "ms"),
  ];
}

function measureApplyUs(log: TableLog, size: number): number {
  const edits: string[] = [];
  const { version } = log.table;
  for (let i = 0; i < APPLIED_EDITS; i++) {
    const edit: LoggedEdit = {
      version: version + i + 1,
      id: `bench-${i}`,
      prevId: i === 0 ? log.lastId : `bench-${i - 1}`,
      author: "bench",
      atMs: 0,
      changes: [{ type: "put", row: workspaceRow(i % size, i) }],
    };
    edits.push(JSON.stringify(edit));
  }
  const startMs = performance.now();
  for (const text of edits) log.offer([parseEdit(JSON.parse(text))]);
  return ((performance.now() - startMs) / edits.length) * 1000;
}

function buildTable(size: number): Table {
  const rows = Array.from({ length: size }, (_, i) => ({
    row: workspaceRow(i, 1),
    version: 1,
  }));
  return Table.of(1, rows);
}

function workspaceRow(index: number, weight: number): TableRow {
  return tableRow.parse({
    kind: "workspace",
    id: `workspace-${index}`,
    home: REGIONS[index % REGIONS.length],
    weight,
    keyDigests: [String(index).padStart(64, "0")],
    requestsPerS: 100,
    tokensPerS: 10_000,
  });
}

function collectGarbage(): void {
  setFlagsFromString("--expose-gc");
  const gc = runInNewContext("gc") as () => void;
  gc();
  gc();
}

function createRowMaker(name: string) {
  return (measure: string, value: number, unit: string): Row => ({
    bench: "control_table",
    case: name,
    policy: "log, 2 watches, push tree",
    measure,
    value: Math.round(value * 100) / 100,
    unit,
    seed: SEED,
  });
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * share) - 1;
  return sorted[Math.max(0, index)];
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
