/**
 * `npm run bench -- control_members [--cases 1x1,3x2,...]`: measures the cost and speed of membership and leads, with
 * many VMs in this process over loopback. It also compares a lead with VMs that each choose upstreams independently. A
 * case `RxN` has R regions of N VMs; the case `over` is that comparison.
 *
 * Times and bytes are those of the real services. CPU and memory are those of the process divided by its number of VMs.
 *
 * @module
 */

import { systemClock } from "../src/base/mod.ts";
import {
  makePlanRequest,
  makePlanTable,
  openRegion,
  type Vm,
  waitUntil,
  waitUntilAgreed,
} from "../test/vms.ts";
import { measureOverAdmission } from "./over_admission.ts";
import type { Row } from "./row.ts";

const SEED = 1;
const UPSTREAMS = 40;
const SLOTS = 8;
/** Slots that each VM holds while bytes are counted, so that the bytes include renewals. */
const HELD_SLOTS_PER_VM = 2;
const MEASURE_MS = 20_000;
/** Interval at which each region publishes a topic in addition to the pool's own. */
const PUBLISH_INTERVAL_MS = 1000;
const MAX_CRASHES = 5;
const REQUESTS = 200;
const MAX_SETTLE_MS = 90_000;
const DEFAULT_CASES = "over,1x1,3x2,3x8,1x67,21x4,3x32";

interface FleetShape {
  readonly name: string;
  readonly regions: number;
  readonly vms: number;
}

/** Runs the cases given by `--cases`, or the default ones. */
export async function run(args: readonly string[]): Promise<Row[]> {
  const at = args.indexOf("--cases");
  const names = at >= 0 ? args[at + 1] : DEFAULT_CASES;
  const rows: Row[] = [];
  for (const name of names.split(",")) {
    const [regions, vms] = name.split("x").map(Number);
    if (name === "over") rows.push(...measureOverAdmission());
    else rows.push(...await measure({ name, regions, vms }));
  }
  return rows;
}

async function measure(shape: FleetShape): Promise<Row[]> {
  const fleet = await openFleet(shape);
  const row = (measure: string, value: number, unit: string): Row => ({
    bench: "control_members",
    case: shape.name,
    policy: "swim+leads",
    measure,
    value: Math.round(value * 100) / 100,
    unit,
    seed: SEED,
  });
  const rows = await measureSteady(fleet, row);
  if (shape.vms > 1) rows.push(await measureRequestBytes(fleet[0], row));
  if (shape.vms > 1) rows.push(...await measureCrashes(fleet, row));
  await Promise.all(fleet.flat().map((vm) => vm.crash()));
  return rows;
}

type MakeRow = (measure: string, value: number, unit: string) => Row;

async function openFleet({ regions, vms }: FleetShape): Promise<Vm[][]> {
  const names = Array.from({ length: regions }, (_, n) => `region${n}`);
  const table = makePlanTable(1, names, UPSTREAMS, SLOTS);
  const fleet: Vm[][] = [];
  for (const name of names) {
    const seeds = fleet.slice(0, 2).map(([vm]) => vm.address);
    fleet.push(await openRegion(name, vms, { table, seeds }));
  }
  for (const region of fleet) await waitUntilAgreed(region);
  return fleet;
}

/** Measures an idle fleet, in which only heartbeats, digests and renewals are sent. */
async function measureSteady(fleet: Vm[][], row: MakeRow): Promise<Row[]> {
  const vms = fleet.flat();
  for (const region of fleet) await holdSlots(region);
  const publishTimer = systemClock.every(PUBLISH_INTERVAL_MS, () => {
    for (const [first] of fleet) {
      const body = { atMs: Date.now() };
      void first.members.ask("publish", { topic: "age", body });
    }
  });
  const settledMs = await waitUntilSettled(vms);
  const bytesBefore = vms.map((vm) => vm.transport.bytesByService());
  const cpuBefore = process.cpuUsage();
  const startMs = performance.now();
  await systemClock.sleep(MEASURE_MS);
  const elapsedS = (performance.now() - startMs) / 1000;
  const cpu = process.cpuUsage(cpuBefore);
  const rows = makeByteRows(vms, bytesBefore, elapsedS, row);
  rows.push(row("all started to quiet", settledMs, "ms"));
  const cpuShare = (cpu.user + cpu.system) / 1e6 / elapsedS / vms.length;
  rows.push(row("cpu per VM", 100 * cpuShare, "% of a core"));
  const rssMB = process.memoryUsage().rss / 1e6;
  rows.push(row("memory of the process", rssMB, "MB"));
  rows.push(row("memory per VM", rssMB / vms.length, "MB"));
  if (fleet.length > 1) {
    const leads = vms.filter((vm) => vm.ledPoolKeys().length > 0);
    rows.push(
      row("age of far digests at leads", await findMaxRemoteAgeMs(leads), "ms"),
    );
    rows.push(
      row("age of far digests, any VM", await findMaxRemoteAgeMs(vms), "ms"),
    );
  }
  publishTimer.close();
  return rows;
}

/** The part of a VM's dump that counts the news about VMs not yet passed on. */
interface MembersDump {
  readonly news: { readonly members: number };
}

/** Waits until the news of the start has been passed on, and returns how long that took. */
async function waitUntilSettled(vms: readonly Vm[]): Promise<number> {
  const startMs = performance.now();
  const countNews = (vm: Vm) =>
    (vm.kernel.dump().members as MembersDump).news.members;
  do await systemClock.sleep(1000); while (
    performance.now() - startMs < MAX_SETTLE_MS &&
    vms.some((vm) => countNews(vm) > 0)
  );
  return performance.now() - startMs;
}

async function holdSlots(region: readonly Vm[]): Promise<void> {
  for (const vm of region) {
    for (let n = 0; n < HELD_SLOTS_PER_VM; n++) {
      const request = makePlanRequest(`${vm.id}-held-${n}`, {
        deadlineMs: Date.now() + 2000,
      });
      await vm.slots.ask("acquire", request);
    }
  }
}

function makeByteRows(
  vms: readonly Vm[],
  before: readonly Record<string, { sent: number; received: number }>[],
  elapsedS: number,
  row: MakeRow,
): Row[] {
  const rows: Row[] = [];
  for (const service of ["members", "slots"]) {
    for (const direction of ["sent", "received"] as const) {
      const rates = vms.map((vm, n) => {
        const now = vm.transport.bytesByService()[service]?.[direction] ?? 0;
        return (now - (before[n][service]?.[direction] ?? 0)) / elapsedS;
      });
      const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
      rows.push(row(`${service} bytes ${direction}, mean VM`, mean, "B/s"));
      const maxRate = Math.max(...rates);
      rows.push(
        row(`${service} bytes ${direction}, most loaded VM`, maxRate, "B/s"),
      );
    }
  }
  return rows;
}

async function findMaxRemoteAgeMs(vms: readonly Vm[]): Promise<number> {
  let maxAgeMs = 0;
  for (const vm of vms) {
    const topics = await vm.members.ask("topics", undefined);
    for (const [region, values] of topics) {
      if (region === vm.region) continue;
      const age = values.find(({ topic }) => topic === "age");
      if (!age) continue;
      const { atMs } = age.body as { atMs: number };
      maxAgeMs = Math.max(maxAgeMs, Date.now() - atMs);
    }
  }
  return maxAgeMs;
}

/** Measures the bytes of a request between an entry VM and a lead on another VM: a call, its answer and two reports. */
async function measureRequestBytes(
  region: readonly Vm[],
  row: MakeRow,
): Promise<Row> {
  const entry = region.find((vm) => vm.ledPoolKeys().length === 0)!;
  const countSlotBytes = () => {
    const slots = entry.transport.bytesByService().slots;
    return (slots?.sent ?? 0) + (slots?.received ?? 0);
  };
  const before = countSlotBytes();
  for (let n = 0; n < REQUESTS; n++) {
    const request = makePlanRequest(`${entry.id}-request-${n}`);
    const answer = await entry.slots.ask("acquire", request);
    if (answer.type !== "grant") continue;
    const { attemptId, upstreamId } = answer;
    for (const outcome of ["started", "done"] as const) {
      await entry.slots.ask("report", {
        attemptId,
        service: "plan",
        upstreamId,
        outcome,
        firstTokenMs: 20,
        outputTokens: 20,
        totalMs: 200,
      });
    }
  }
  return row("bytes a request", (countSlotBytes() - before) / REQUESTS, "B");
}

/** Crashes the lead of the first region's pool several times, while more than one VM of the region is left. */
async function measureCrashes(fleet: Vm[][], row: MakeRow): Promise<Row[]> {
  const [region] = fleet;
  const detectedMs: number[] = [];
  const replacedMs: number[] = [];
  const pool = `plan/${region[0].region}/0`;
  let remaining = region;
  for (let n = 0; n < MAX_CRASHES && remaining.length > 1; n++) {
    await waitUntil(
      "a lead",
      () => remaining.some((vm) => vm.ledPoolKeys().includes(pool)),
    );
    const lead = remaining.find((vm) => vm.ledPoolKeys().includes(pool))!;
    const others = remaining.filter((vm) => vm !== lead);
    const entry = others[n % others.length];
    await entry.slots.ask("acquire", makePlanRequest(`before-${n}`));
    await lead.crash();
    const nextGrant = entry.slots.ask("acquire", makePlanRequest(`again-${n}`));
    const crashedMs = performance.now();
    await Promise.all([
      nextGrant.then(() => replacedMs.push(performance.now() - crashedMs)),
      waitUntilRemoved(others, lead.id).then(() =>
        detectedMs.push(performance.now() - crashedMs)
      ),
    ]);
    remaining = others;
  }
  const frozenMs = remaining.length > 1
    ? await measureFreeze(remaining)
    : undefined;
  const median = (values: number[]) =>
    [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
  return [
    row("dead VM found by all, p50", median(detectedMs), "ms"),
    row("dead VM found by all, max", Math.max(...detectedMs), "ms"),
    row("lead crashed to next grant, p50", median(replacedMs), "ms"),
    row("lead crashed to next grant, max", Math.max(...replacedMs), "ms"),
    ...(frozenMs === undefined
      ? []
      : [row("frozen VM found by all, once", frozenMs, "ms")]),
  ];
}

/** Freezes a VM: its links stay open but carry nothing. Returns how long the others take to remove it. */
async function measureFreeze(vms: readonly Vm[]): Promise<number> {
  const [frozen, ...others] = vms;
  const startMs = performance.now();
  frozen.transport.faults.set("frozen", { peer: {}, cut: true });
  await waitUntilRemoved(others, frozen.id);
  return performance.now() - startMs;
}

function waitUntilRemoved(vms: readonly Vm[], id: string): Promise<void> {
  return waitUntil(`${id} is gone`, async () => {
    for (const vm of vms) if ((await vm.readRegion()).has(id)) return false;
    return true;
  });
}
