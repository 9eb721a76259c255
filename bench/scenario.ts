/**
 * Small runs of the lead's decisions for tests, with one or more regions of six upstreams each in virtual time.
 *
 * @module
 */

import { isInTime, percentile, share, sortedFirstTokenMs } from "./measures.ts";
import { Lead } from "./policies.ts";
import { buildTable } from "./tables.ts";
import { generate, type Stream } from "./workload.ts";
import { type Outcome, World } from "./world.ts";

const UPSTREAMS_PER_REGION = 6;
const WORKSPACES = Array.from({ length: 8 }, (_, i) => `w${i}`);
const DRAIN_MS = 10_000;

/** The load, regions and faults of a run. */
export interface Scenario {
  /** Rate at which requests arrive in a region at a given time. */
  readonly requestsPerS: (atMs: number, region: string) => number;
  /** Request rate of an additional workspace, `flood`, in the first region. */
  readonly floodPerS?: number;
  readonly longShare?: number;
  readonly regions?: readonly string[];
  readonly objective?: object;
  readonly endMs?: number;
  /** Schedules faults and samples before the run starts. */
  readonly schedule?: (world: World) => void;
}

/** Runs a scenario and returns the outcome of each request; throws if an invariant was violated. */
export function runScenario(scenario: Scenario): readonly Outcome[] {
  const regions = scenario.regions ?? ["agadir"];
  const world = new World({
    table: buildTable({
      regions,
      upstreamsPerRegion: UPSTREAMS_PER_REGION,
      objective: scenario.objective ?? {},
      workspaces: WORKSPACES,
      flood: scenario.floodPerS !== undefined,
      canShift: true,
    }),
    service: "plan",
    regions,
    linkMs: 40,
    lagMs: 1000,
    seed: 3,
    cacheBlocks: 600,
    usageShare: 0.8,
    createPolicy: (context) => new Lead(context),
  });
  scenario.schedule?.(world);
  const endMs = scenario.endMs ?? 25_000;
  const requests = generate(buildStreams(scenario, regions), endMs, 3);
  world.run(requests, endMs + DRAIN_MS);
  if (world.violations.size > 0) {
    throw new Error(
      `invariants violated: ${[...world.violations.keys()].join(", ")}`,
    );
  }
  return world.outcomes;
}

function buildStreams(
  scenario: Scenario,
  regions: readonly string[],
): readonly Stream[] {
  const longShare = scenario.longShare ?? 0.25;
  const streams = regions.flatMap((region) =>
    [true, false].map((bound): Stream => ({
      region,
      workspaces: WORKSPACES.map((w) =>
        `${region}-${w}-${bound ? "bound" : "free"}`
      ),
      bound,
      longShare,
      requestsPerS: (atMs) =>
        scenario.requestsPerS(atMs, region) * (bound ? 0.38 : 0.62),
    }))
  );
  const flood = scenario.floodPerS;
  if (flood === undefined) return streams;
  return [...streams, {
    region: regions[0],
    workspaces: ["flood"],
    bound: true,
    longShare,
    requestsPerS: () => flood,
  }];
}

/** Returns the share of the requests that were served by their deadline. */
export function servedShare(outcomes: readonly Outcome[]): number {
  return share(outcomes, isInTime);
}

/** Returns the first-token time at or below which this share of the served requests lies. */
export function firstTokenPercentileMs(
  outcomes: readonly Outcome[],
  quantile: number,
): number {
  return percentile(sortedFirstTokenMs(outcomes), quantile);
}

/** Returns the upstream that a request was last placed on. */
export function lastUpstreamOf(outcome: Outcome): string | undefined {
  return outcome.upstreamId;
}
