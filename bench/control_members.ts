/**
 * `npm run bench -- control_members [--cases 1x1,3x2,...]`: what membership and leads cost and how fast they are, with
 * many VMs in this process over loopback; and leads against each VM choosing alone. A case `RxN` is R regions of N VMs,
 * `over` the comparison with VMs that choose alone.
 *
 * Times and bytes are of the real services. CPU and memory are those of the process divided by its VMs.
 *
 * @module
 */

import { systemClock } from "../src/base/mod.ts";
import {
  openRegion,
  planRequest,
  planTable,
  until,
  untilAgreed,
  type Vm,
} from "../test/vms.ts";
import { overAdmission } from "./over_admission.ts";
import type { Row } from "./row.ts";

const SEED = 1;
const UPSTREAMS = 40;
const SLOTS = 8;
/** Slots that each VM holds while bytes are counted, so that renewals are among them. */
const HELD_PER_VM = 2;
const COUNT_MS = 20_000;
/** Topics that a region publishes beside the pool's own. */
const PUBLISH_MS = 1000;
const REPEATS = 5;
const REQUESTS = 200;
const MOST_QUIET_MS = 90_000;
const DEFAULT_CASES = "over,1x1,3x2,3x8,1x67,21x4,3x32";

interface Shape {
  readonly name: string;
  readonly regions: number;
  readonly vms: number;
}

/** See the module's comment. */
export async function run(args: readonly string[]): Promise<Row[]> {
  const at = args.indexOf("--cases");
  const names = at >= 0 ? args[at + 1] : DEFAULT_CASES;
  const rows: Row[] = [];
  for (const name of names.split(",")) {
    const [regions, vms] = name.split("x").map(Number);
    if (name === "over") rows.push(...overAdmission());
    else rows.push(...await measure({ name, regions, vms }));
  }
  return rows;
}

async function measure(shape: Shape): Promise<Row[]> {
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
  const rows = await steady(fleet, row);
  if (shape.vms > 1) rows.push(await requestBytes(fleet[0], row));
  if (shape.vms > 1) rows.push(...await deaths(fleet, row));
  await Promise.all(fleet.flat().map((vm) => vm.crash()));
  return rows;
}

type MakeRow = (measure: string, value: number, unit: string) => Row;

async function openFleet({ regions, vms }: Shape): Promise<Vm[][]> {
  const names = Array.from({ length: regions }, (_, n) => `region${n}`);
  const table = planTable(1, names, UPSTREAMS, SLOTS);
  const fleet: Vm[][] = [];
  for (const name of names) {
    const seeds = fleet.slice(0, 2).map(([vm]) => vm.address);
    fleet.push(await openRegion(name, vms, { table, seeds }));
  }
  for (const region of fleet) await untilAgreed(region);
  return fleet;
}

/** A fleet in which nothing happens but heartbeats, digests and renewals. */
async function steady(fleet: Vm[][], row: MakeRow): Promise<Row[]> {
  const vms = fleet.flat();
  for (const region of fleet) await hold(region);
  const publishing = systemClock.every(PUBLISH_MS, () => {
    for (const [first] of fleet) {
      const body = { atMs: Date.now() };
      void first.members.ask("publish", { topic: "age", body });
    }
  });
  const settledMs = await quiet(vms);
  const bytesBefore = vms.map((vm) => vm.transport.bytesByService());
  const cpuBefore = process.cpuUsage();
  const startMs = performance.now();
  await systemClock.sleep(COUNT_MS);
  const tookS = (performance.now() - startMs) / 1000;
  const cpu = process.cpuUsage(cpuBefore);
  const rows = bytesRows(vms, bytesBefore, tookS, row);
  rows.push(row("all started to quiet", settledMs, "ms"));
  const cpuShare = (cpu.user + cpu.system) / 1e6 / tookS / vms.length;
  rows.push(row("cpu per VM", 100 * cpuShare, "% of a core"));
  const rssMB = process.memoryUsage().rss / 1e6;
  rows.push(row("memory of the process", rssMB, "MB"));
  rows.push(row("memory per VM", rssMB / vms.length, "MB"));
  if (fleet.length > 1) {
    const leads = vms.filter((vm) => vm.leads().length > 0);
    rows.push(row("age of far digests at leads", await farAgeMs(leads), "ms"));
    rows.push(row("age of far digests, any VM", await farAgeMs(vms), "ms"));
  }
  publishing.close();
  return rows;
}

/** What a dump says of news about VMs that waits to be passed on. */
interface MembersDump {
  readonly news: { readonly members: number };
}

/** Waits until the news of the start has been passed on; answers with how long that took. */
async function quiet(vms: readonly Vm[]): Promise<number> {
  const startMs = performance.now();
  const news = (vm: Vm) =>
    (vm.kernel.dump().members as MembersDump).news.members;
  do await systemClock.sleep(1000); while (
    performance.now() - startMs < MOST_QUIET_MS &&
    vms.some((vm) => news(vm) > 0)
  );
  return performance.now() - startMs;
}

async function hold(region: readonly Vm[]): Promise<void> {
  for (const vm of region) {
    for (let n = 0; n < HELD_PER_VM; n++) {
      const request = planRequest(`${vm.id}-held-${n}`, {
        deadlineMs: Date.now() + 2000,
      });
      await vm.slots.ask("acquire", request);
    }
  }
}

function bytesRows(
  vms: readonly Vm[],
  before: readonly Record<string, { sent: number; received: number }>[],
  tookS: number,
  row: MakeRow,
): Row[] {
  const rows: Row[] = [];
  for (const subject of ["members", "slots"]) {
    for (const way of ["sent", "received"] as const) {
      const rates = vms.map((vm, n) => {
        const now = vm.transport.bytesByService()[subject]?.[way] ?? 0;
        return (now - (before[n][subject]?.[way] ?? 0)) / tookS;
      });
      const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
      rows.push(row(`${subject} bytes ${way}, mean VM`, mean, "B/s"));
      const most = Math.max(...rates);
      rows.push(row(`${subject} bytes ${way}, most loaded VM`, most, "B/s"));
    }
  }
  return rows;
}

async function farAgeMs(vms: readonly Vm[]): Promise<number> {
  let mostMs = 0;
  for (const vm of vms) {
    const topics = await vm.members.ask("topics", undefined);
    for (const [region, values] of topics) {
      if (region === vm.region) continue;
      const age = values.find(({ topic }) => topic === "age");
      if (!age) continue;
      const { atMs } = age.body as { atMs: number };
      mostMs = Math.max(mostMs, Date.now() - atMs);
    }
  }
  return mostMs;
}

/** What one request costs between an entry VM and a lead that is another: a question, its answer, two reports. */
async function requestBytes(region: readonly Vm[], row: MakeRow): Promise<Row> {
  const entry = region.find((vm) => vm.leads().length === 0)!;
  const total = () => {
    const slots = entry.transport.bytesByService().slots;
    return (slots?.sent ?? 0) + (slots?.received ?? 0);
  };
  const before = total();
  for (let n = 0; n < REQUESTS; n++) {
    const request = planRequest(`${entry.id}-request-${n}`);
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
  return row("bytes a request", (total() - before) / REQUESTS, "B");
}

/** Crashes the lead of the first region's pool several times, while it has VMs left. */
async function deaths(fleet: Vm[][], row: MakeRow): Promise<Row[]> {
  const [region] = fleet;
  const foundMs: number[] = [];
  const replacedMs: number[] = [];
  const pool = `plan/${region[0].region}/0`;
  let rest = region;
  for (let n = 0; n < REPEATS && rest.length > 1; n++) {
    await until("a lead", () => rest.some((vm) => vm.leads().includes(pool)));
    const lead = rest.find((vm) => vm.leads().includes(pool))!;
    const others = rest.filter((vm) => vm !== lead);
    const asker = others[n % others.length];
    await asker.slots.ask("acquire", planRequest(`before-${n}`));
    await lead.crash();
    const again = asker.slots.ask("acquire", planRequest(`again-${n}`));
    const crashedMs = performance.now();
    await Promise.all([
      again.then(() => replacedMs.push(performance.now() - crashedMs)),
      untilGone(others, lead.id).then(() =>
        foundMs.push(performance.now() - crashedMs)
      ),
    ]);
    rest = others;
  }
  const frozen = rest.length > 1 ? await freeze(rest) : undefined;
  const mid = (values: number[]) =>
    [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
  return [
    row("dead VM found by all, p50", mid(foundMs), "ms"),
    row("dead VM found by all, max", Math.max(...foundMs), "ms"),
    row("lead crashed to next grant, p50", mid(replacedMs), "ms"),
    row("lead crashed to next grant, max", Math.max(...replacedMs), "ms"),
    ...(frozen === undefined
      ? []
      : [row("frozen VM found by all, once", frozen, "ms")]),
  ];
}

/** A VM whose links stay open and carry nothing; answers with how long the others take to find it. */
async function freeze(vms: readonly Vm[]): Promise<number> {
  const [frozen, ...others] = vms;
  const startMs = performance.now();
  frozen.transport.faults.set("frozen", { peer: {}, cut: true });
  await untilGone(others, frozen.id);
  return performance.now() - startMs;
}

function untilGone(vms: readonly Vm[], id: string): Promise<void> {
  return until(`${id} is gone`, async () => {
    for (const vm of vms) if ((await vm.sees()).has(id)) return false;
    return true;
  });
}
