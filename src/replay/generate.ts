/**
 * Makes traces from a description of a day: demand that follows the daylight of each region, bursts, and faults. The
 * same description and seed give the same trace.
 *
 * @module
 */

import { Random } from "../base/mod.ts";
import type { Trace, TraceFault, TraceHeader, TraceRequest } from "./trace.ts";

/** A kind of request and how much of it there is. */
export interface Demand {
  readonly group: string;
  readonly service: string;
  readonly kind: "chat" | "plain";
  /** Requests per second of one region at its peak. */
  readonly peakPerS: number;
  /** Callers of this kind belong to the workspace `WORKSPACE-REGION`. */
  readonly workspace: string;
  readonly bound: boolean;
  readonly repeatable: boolean;
  /** Mean tokens of the prompt without the shared prefix, and of the answer. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompts share one of so many prefixes in each region. */
  readonly prefixCount: number;
  readonly prefixTokens: number;
  readonly priority: number;
  readonly timeoutMs: number;
}

/** Extra demand of one group in one region. */
export interface Burst {
  readonly group: string;
  readonly region: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

/** A day, compressed to `durationMs`. */
export interface DayProfile {
  readonly name: string;
  readonly durationMs: number;
  readonly topology: TraceHeader["topology"];
  /** When each region has its peak, as a share of the day. */
  readonly peakTimes: Readonly<Record<string, number>>;
  /** Regions that have a holiday: half the demand all day. */
  readonly holidayRegions: readonly string[];
  readonly demands: readonly Demand[];
  readonly bursts: readonly Burst[];
  readonly faults: readonly TraceFault[];
}

const LOW_DEMAND_SHARE = 0.5;

/** Makes the trace of a day. */
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

/** The trace as JSON lines. */
export function serializeTrace(trace: Trace): string {
  const lines = [trace.header, ...trace.faults, ...trace.requests];
  return lines.map((line) => JSON.stringify(line) + "\n").join("");
}

/** A Poisson process by thinning: drawn at the highest rate, kept with the share that the time of day has. */
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

/** Demand at this time as a share of the peak. */
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

/** Between half and one and a half times the mean, at least 4. */
function drawAround(mean: number, random: Random): number {
  return Math.max(4, Math.round(mean * (0.5 + random.next())));
}
