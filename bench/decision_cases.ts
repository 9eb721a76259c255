/**
 * Load cases for the bench of the decision modules; see `decisions.ts`.
 *
 * @module
 */

import { isInTime, percentile, share, sortedFirstTokenMs } from "./measures.ts";
import { workspaceName } from "./tables.ts";
import type { Stream } from "./workload.ts";
import type { Outcome, World } from "./world.ts";

/** Workspaces of the default mix. */
export const WORKSPACES = Array.from({ length: 20 }, (_, i) => `w${i}`);
/**
 * Policies for cases with long queues. There the oracle's greedy order is slow to compute and not an upper bound; the
 * rows of the case `capacity` are the bound instead.
 */
const POLICIES_WITHOUT_ORACLE = [
  "round-robin",
  "least-requests",
  "power-of-two",
  "alone",
  "lead",
];
const SKEW_POLICIES = ["least-requests", "lead"];

/** One load, and the policies that run under it. */
export interface Case {
  readonly name: string;
  readonly streams: readonly Stream[];
  readonly policies?: readonly string[];
  readonly upstreamsPerRegion?: number;
  readonly lagMs?: number;
  readonly regions?: readonly string[];
  readonly objective?: object;
  /** Number of runs that are counted together where one run has too few requests for a p99. */
  readonly seeds?: number;
  readonly schedule?: (world: World) => void;
  readonly measureExtra?: (
    outcomes: readonly Outcome[],
  ) => Record<string, number>;
}

/** Builds a region's default mix: 38% of the requests are bound to the region, and one prompt in four is long. */
export function buildMix(
  region: string,
  requestsPerS: (atMs: number) => number,
  longShare = 0.25,
  workspaces: readonly string[] = WORKSPACES,
): Stream[] {
  return [true, false].map((bound) => ({
    region,
    workspaces: workspaces.map((w) => workspaceName(region, w, bound)),
    bound,
    longShare,
    requestsPerS: (atMs) => requestsPerS(atMs) * (bound ? 0.38 : 0.62),
  }));
}

/** Builds the cases of one region that can serve `capacityPerS` requests per second. */
export function buildCases(capacityPerS: number): Case[] {
  const constantLoad = (load: number) => () => load * capacityPerS;
  return [
    { name: "steady", streams: buildMix("agadir", constantLoad(0.7)) },
    {
      name: "burst",
      streams: buildMix(
        "agadir",
        (ms) => capacityPerS * (ms > 30_000 && ms < 35_000 ? 2.5 : 0.5),
      ),
      policies: POLICIES_WITHOUT_ORACLE,
    },
    {
      name: "skew",
      streams: [
        ...buildMix("agadir", constantLoad(0.3)),
        ...buildMix("agadir", constantLoad(1.2), 0.25, ["hog"]),
      ],
      policies: SKEW_POLICIES,
      seeds: 4,
      measureExtra: measureOthers,
    },
    {
      name: "skew-without",
      streams: buildMix("agadir", constantLoad(0.3)),
      policies: SKEW_POLICIES,
      seeds: 4,
      measureExtra: measureOthers,
    },
    {
      name: "one-slow",
      streams: buildMix("agadir", constantLoad(0.6)),
      schedule: (world) =>
        world.sim.after(
          15_000,
          () => void (world.engines("agadir")[3].slowdown = 10),
        ),
    },
    {
      name: "one-dead",
      streams: buildMix("agadir", constantLoad(0.6)),
      schedule: (world) => {
        const engine = world.engines("agadir")[3];
        world.sim.after(15_000, () => engine.crash());
        world.sim.after(40_000, () => engine.restart());
      },
    },
    {
      name: "one-silent",
      streams: buildMix("agadir", constantLoad(0.6)),
      schedule: (world) =>
        world.sim.after(
          15_000,
          () => void (world.engines("agadir")[3].isSilent = true),
        ),
    },
    {
      name: "lead-lost",
      streams: buildMix("agadir", constantLoad(0.7)),
      policies: ["lead"],
      schedule: (world) =>
        world.sim.after(30_000, () => world.replaceLead("agadir")),
    },
    ...[100, 5000].map((lagMs) => ({
      name: `lag-${lagMs}ms`,
      streams: buildMix("agadir", constantLoad(0.7)),
      policies: ["least-requests", "power-of-two", "lead"],
      lagMs,
    })),
    {
      name: "mix",
      streams: buildMix("agadir", constantLoad(0.55), 0.5),
      policies: POLICIES_WITHOUT_ORACLE,
    },
    {
      name: "saturation-1.2",
      streams: buildMix("agadir", constantLoad(1.2)),
      policies: POLICIES_WITHOUT_ORACLE,
    },
    {
      name: "saturation-2",
      streams: buildMix("agadir", constantLoad(2)),
      policies: POLICIES_WITHOUT_ORACLE,
    },
    {
      name: "saturation-5",
      streams: buildMix("agadir", constantLoad(5)),
      policies: POLICIES_WITHOUT_ORACLE,
    },
  ];
}

const REGIONS = ["casablanca", "marrakech", "agadir"];
/** Upstreams per region in the cases of three regions. */
export const MULTI_REGION_UPSTREAMS = 5;
const COOPERATIVE_OBJECTIVE = {
  latencyWeight: 4,
  costWeight: 1,
  awayWeight: 0,
};
const DIRECTORATE_OBJECTIVE = {
  latencyWeight: 1,
  costWeight: 2,
  awayWeight: 2,
};

/** Builds the cases of three regions, each of which can serve `capacityPerS` requests per second. */
export function buildRegionCases(capacityPerS: number): Case[] {
  const constantLoads = (load: number) =>
    REGIONS.flatMap((region) => buildMix(region, () => load * capacityPerS));
  // Each region has its peak for a third of the run, while the other two have little load.
  const peaks = REGIONS.flatMap((region, i) =>
    buildMix(region, (ms) => {
      const phase = Math.floor(ms / 20_000) % REGIONS.length;
      return capacityPerS * (phase === i ? 1.3 : 0.4);
    })
  );
  const base = { regions: REGIONS, upstreamsPerRegion: MULTI_REGION_UPSTREAMS };
  const policies = ["lead", "lead latency-only"];
  return [
    {
      ...base,
      name: "region-loss",
      streams: constantLoads(0.5),
      policies,
      schedule: (world) => {
        const engines = world.engines("agadir");
        world.sim.after(20_000, () => engines.forEach((e) => e.crash()));
        world.sim.after(40_000, () => engines.forEach((e) => e.restart()));
      },
      measureExtra: compareMoved,
    },
    {
      ...base,
      name: "partition",
      streams: peaks,
      policies,
      schedule: (world) => {
        world.sim.after(20_000, () => void world.cutRegions.add("agadir"));
        world.sim.after(40_000, () => world.cutRegions.clear());
      },
      measureExtra: compareMoved,
    },
    {
      ...base,
      name: "peaks",
      streams: peaks,
      policies,
      seeds: 3,
      measureExtra: compareMoved,
    },
    {
      ...base,
      name: "peaks-directorate",
      streams: peaks,
      policies,
      objective: DIRECTORATE_OBJECTIVE,
      seeds: 3,
      measureExtra: compareMoved,
    },
  ];
}

/** Demand at night as a share of capacity. By day it is twice as high. */
const NIGHT_LOAD = 0.3;
/** Time when the demand changes from night to day, in one step. */
export const DAY_START_MS = 45_000;

/**
 * Builds the cases of a night and the following morning, for the fleets of both users. At night demand is half that of
 * the day, and an upstream without work is still paid for until it is parked.
 */
export function buildNightCases(
  capacityOf: (upstreams: number) => number,
): Case[] {
  const users = [
    { name: "cooperative", upstreams: 13, objective: COOPERATIVE_OBJECTIVE },
    { name: "directorate", upstreams: 8, objective: DIRECTORATE_OBJECTIVE },
  ];
  return users.map((user) => {
    const capacityPerS = capacityOf(user.upstreams);
    return {
      name: `night-${user.name}`,
      upstreamsPerRegion: user.upstreams,
      objective: user.objective,
      policies: ["lead"],
      streams: buildMix("agadir", (ms) => {
        const load = ms < DAY_START_MS ? NIGHT_LOAD : 2 * NIGHT_LOAD;
        return capacityPerS * load;
      }),
    };
  });
}

/** Compares the requests that stayed in their region with those that were sent to another. */
function compareMoved(outcomes: readonly Outcome[]): Record<string, number> {
  const stayed = outcomes.filter((o) => o.moves === 0);
  const moved = outcomes.filter((o) => o.moves > 0);
  return {
    stayed_p99: percentile(sortedFirstTokenMs(stayed), 0.99),
    moved_p99: percentile(sortedFirstTokenMs(moved), 0.99),
    moved_in_time: share(moved, isInTime),
    back: share(moved, (o) => o.attempts > 2),
  };
}

/** Measures the requests of all workspaces except `hog`. */
function measureOthers(outcomes: readonly Outcome[]): Record<string, number> {
  const otherOutcomes = outcomes.filter((o) =>
    !o.request.workspace.includes("hog")
  );
  return {
    others_p99: percentile(sortedFirstTokenMs(otherOutcomes), 0.99),
    others_in_time: share(otherOutcomes, isInTime),
  };
}
