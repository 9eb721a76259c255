/**
 * Generates traces from the profile of a day: demand that follows the time of day in each region, bursts, and faults.
 * The same profile and seed give the same trace.
 *
 * @module
 */

import { Random } from "../base/mod.ts";
import type { Trace, TraceFault, TraceHeader, TraceRequest } from "./trace.ts";

/** A kind of request and its rate. */
export interface Demand {
  readonly group: string;
  readonly service: string;
  readonly kind: "chat" | "plain";
  /** Requests per second in one region at its peak. */
  readonly peakPerS: number;
  /** The callers of each region belong to the workspace `WORKSPACE-REGION`. */
  readonly workspace: string;
  readonly bound: boolean;
  readonly repeatable: boolean;
  /** Mean number of tokens of the prompt without its shared prefix. */
  readonly promptTokens: number;
  /** Mean number of tokens of the answer. */
  readonly outputTokens: number;
  /** Number of prefixes per region; each prompt begins with one of them. 0 means no shared prefix. */
  readonly prefixCount: number;
  readonly prefixTokens: number;
  readonly priority: number;
  readonly timeoutMs: number;
}

/** A burst in the demand of one group in one region. */
export interface Burst {
  readonly group: string;
  readonly region: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

/** The profile of a day that is compressed to `durationMs`. */
export interface DayProfile {
  readonly name: string;
  readonly durationMs: number;
  readonly topology: TraceHeader["topology"];
  /** Time of each region's peak, as a share of the day. */
  readonly peakTimes: Readonly<Record<string, number>>;
  /** Regions that have a holiday, which halves their demand for the whole day. */
  readonly holidayRegions: readonly string[];
  readonly demands: readonly Demand[];
  readonly bursts: readonly Burst[];
  readonly faults: readonly TraceFault[];
}

const LOW_DEMAND_SHARE = 0.5;

/** Generates the trace of a day. */
export function generateTrace(day: DayProfile, seed: number): Trace {
  const random = new Random(seed);
  const requests = day.topology.regions.flatMap(({ id }) =>
    day.demands.flatMap((demand) => generateArrivals(day, id, demand, random))
  );
  requests.sort((a, b) => a.arrivalMs - b.arrivalMs);
  const endMs = Math.max(...requests.map((request) => request.deadlineMs));
  return {
    header: {
      type: "trace",
      version: 1,
      name: day.name,
      seed,
      endMs,
      topology: day.topology,
    },
    requests,
    faults: day.faults,
  };
}

/** Returns the trace as JSON lines. */
export function serializeTrace(trace: Trace): string {
  const lines = [trace.header, ...trace.faults, ...trace.requests];
  return lines.map((line) => JSON.stringify(line) + "\n").join("");
}

/**
 * Generates arrivals as a Poisson process by thinning: draws them at the maximum rate and keeps each with the
 * probability of the current rate divided by the maximum rate.
 */
function generateArrivals(
  day: DayProfile,
  region: string,
  demand: Demand,
  random: Random,
): TraceRequest[] {
  const factors = day.bursts.map((burst) => burst.factor);
  const maxRatePerS = demand.peakPerS * Math.max(1, ...factors);
  const requests: TraceRequest[] = [];
  let atMs = 0;
  for (;;) {
    atMs += random.exponential(1000 / maxRatePerS);
    if (atMs >= day.durationMs) return requests;
    const ratePerS = demand.peakPerS *
      getDemandFactor(day, region, demand.group, atMs);
    if (random.next() * maxRatePerS >= ratePerS) continue;
    requests.push(
      generateRequest(
        region,
        demand,
        Math.round(atMs),
        requests.length,
        random,
      ),
    );
  }
}

/** Returns the demand at a time relative to the peak; a burst can raise it above 1. */
function getDemandFactor(
  day: DayProfile,
  region: string,
  group: string,
  atMs: number,
): number {
  const phase = atMs / day.durationMs - (day.peakTimes[region] ?? 0);
  const daylight = (1 + Math.cos(2 * Math.PI * phase)) / 2;
  const share = LOW_DEMAND_SHARE + (1 - LOW_DEMAND_SHARE) * daylight;
  const burst = day.bursts.find((b) =>
    b.group === group && b.region === region && atMs >= b.fromMs &&
    atMs < b.toMs
  );
  const holidayFactor = day.holidayRegions.includes(region)
    ? LOW_DEMAND_SHARE
    : 1;
  return share * holidayFactor * (burst?.factor ?? 1);
}

function generateRequest(
  region: string,
  demand: Demand,
  arrivalMs: number,
  index: number,
  random: Random,
): TraceRequest {
  const { group, service, kind, bound, repeatable, priority } = demand;
  const ownTokens = drawAround(demand.promptTokens, random);
  const hasPrefix = demand.prefixCount > 0;
  const prefixIndex = random.int(Math.max(1, demand.prefixCount));
  return {
    type: "request",
    arrivalMs,
    workspace: `${demand.workspace}-${region}`,
    home: region,
    region,
    service,
    group,
    kind,
    bound,
    promptTokens: ownTokens + (hasPrefix ? demand.prefixTokens : 0),
    ...(hasPrefix ? { prefixId: `${group}-${region}-${prefixIndex}` } : {}),
    prefixTokens: hasPrefix ? demand.prefixTokens : 0,
    outputTokens: kind === "chat" ? drawAround(demand.outputTokens, random) : 0,
    priority,
    deadlineMs: arrivalMs + demand.timeoutMs,
    repeatable,
    ...(repeatable ? {} : { idempotencyKey: `${group}-${region}-${index}` }),
  };
}

/** Draws a number between 0.5 and 1.5 times the mean, at least 4. */
function drawAround(mean: number, random: Random): number {
  return Math.max(4, Math.round(mean * (0.5 + random.next())));
}
