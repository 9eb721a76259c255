/**
 * The part of a plan with planned stops of VMs, one after the other or overlapping, while upstreams keep callers waiting.
 *
 * @module
 */

import { hash32, Random } from "../src/base/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";
import type { QuietHow } from "./runner_host.ts";

/** A VM may take so long to stop. */
const STOP_MS = 6_000;
/** Mean time from the end of a series of stops to the next one. */
const MEAN_SERIES_GAP_MS = 1_500;
/** The next VM of a series is stopped when the one before is back, or at most so long after its SIGTERM. */
const BACK_MS = STOP_MS + 1_000;
const MAX_OVERLAP_GAP_MS = 3_000;
/** Shares of series: one after the other, all at one moment; the others overlap. */
const IN_TURN_SHARE = 0.25;
const AT_ONCE_SHARE = 0.25;
const MAX_IN_TURN = 2;
const MAX_OVERLAPPING = 4;
/** Share of stops with one more SIGTERM, a SIGHUP, or a new configuration. */
const AMID_SHARE = 0.3;
/** The second SIGTERM comes to the same process or, from the earliest end of a stop on, to the one that starts after it. */
const MAX_AGAIN_MS = 8_000;
const EARLIEST_END_MS = 4_000;
/** Upstreams begin to keep callers waiting so long before a stop, or after it. */
const MAX_QUIET_LEAD_MS = 800;
const MAX_QUIET_DELAY_MS = 4_500;
const MAX_QUIET = 3;
const MIN_QUIET_MS = 400;
const MAX_QUIET_MS = 3_500;
const MIN_LATE_MS = 400;
const MAX_LATE_MS = 7_000;
const QUIET_HOWS: readonly QuietHow[] = [
  "silent",
  "silent",
  "silent",
  "headOnly",
  "paused",
  "slow",
  "slowEvents",
];
/** Share of series amid which an upstream is drained, too. */
const DRAIN_SHARE = 0.2;

/**
 * Draws these faults; a series begins after the one before is over. The seed is hashed, as the first draws of neighboring
 * seeds are alike, and few series come in a plan.
 */
export function drawStops(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(hash32(`stops ${seed}`));
  const faults: Fault[] = [];
  let atMs = 200 + MAX_QUIET_LEAD_MS;
  while (faults.length === 0 || atMs < options.faultsMs) {
    const series = drawSeries(random, options, Math.round(atMs));
    faults.push(...series);
    const endMs = Math.max(...series.map((fault) => fault.atMs + fault.forMs));
    atMs = endMs + MAX_QUIET_LEAD_MS + random.exponential(MEAN_SERIES_GAP_MS);
  }
  return faults;
}

/** Stops of different VMs, what comes amid each, and upstreams that keep callers waiting. */
function drawSeries(
  random: Random,
  options: PlanOptions,
  fromMs: number,
): Fault[] {
  const faults: Fault[] = [];
  const first = random.int(options.vms);
  const { count, drawGapMs } = drawRhythm(random, options);
  let atMs = fromMs;
  for (let index = 0; index < count; index++) {
    const vm = (first + index) % options.vms;
    faults.push({ kind: "stop", vm, atMs, forMs: STOP_MS });
    faults.push(...drawAmid(random, vm, atMs));
    faults.push(...drawQuiet(random, options, atMs));
    atMs += drawGapMs();
  }
  if (random.next() < DRAIN_SHARE) {
    const runner = random.int(options.runners);
    faults.push({ kind: "drain", runner, atMs: fromMs, forMs: 0 });
  }
  return faults;
}

/** How many VMs are stopped, and the time from one SIGTERM to the next; neighbors are of different regions. */
function drawRhythm(
  random: Random,
  { vms }: PlanOptions,
): { count: number; drawGapMs: () => number } {
  const draw = random.next();
  if (draw < IN_TURN_SHARE) {
    return { count: MAX_IN_TURN, drawGapMs: () => BACK_MS };
  }
  const count = Math.min(vms - 1, 2 + random.int(MAX_OVERLAPPING - 1));
  return draw < IN_TURN_SHARE + AT_ONCE_SHARE
    ? { count, drawGapMs: () => 0 }
    : { count, drawGapMs: () => 1 + random.int(MAX_OVERLAP_GAP_MS) };
}

/** What operators do to a VM that is stopping. */
function drawAmid(random: Random, vm: number, stopMs: number): Fault[] {
  const againMs = 1 + random.int(MAX_AGAIN_MS);
  const forMs = againMs < EARLIEST_END_MS ? 0 : STOP_MS;
  const drawn: readonly Fault[] = [
    { kind: "stop", vm, atMs: stopMs + againMs, forMs },
    { kind: "hangUp", vm, atMs: stopMs + random.int(STOP_MS), forMs: 0 },
    { kind: "config", atMs: stopMs + random.int(STOP_MS), forMs: 0 },
  ];
  return drawn.filter(() => random.next() < AMID_SHARE);
}

/** Upstreams that keep callers waiting from a moment around a stop. */
function drawQuiet(
  random: Random,
  { runners }: PlanOptions,
  stopMs: number,
): Fault[] {
  const first = random.int(runners);
  return Array.from({ length: 1 + random.int(MAX_QUIET) }, (_, index) => ({
    kind: "quiet",
    runner: (first + index) % runners,
    how: random.pick(QUIET_HOWS),
    atMs: stopMs - MAX_QUIET_LEAD_MS +
      random.int(MAX_QUIET_LEAD_MS + MAX_QUIET_DELAY_MS),
    forMs: MIN_QUIET_MS + random.int(MAX_QUIET_MS - MIN_QUIET_MS),
    lateMs: MIN_LATE_MS + random.int(MAX_LATE_MS - MIN_LATE_MS),
  }));
}
