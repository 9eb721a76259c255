/**
 * The loads that the decision modules are put to; see `decisions.ts`.
 *
 * @module
 */

import { isInTime, percentile, share, sortedFirstTokenMs } from "./measures.ts";
import { workspaceName } from "./tables.ts";
import type { Stream } from "./workload.ts";
import type { Outcome, World } from "./world.ts";

/** Workspaces of the common mix. */
export const WORKSPACES = Array.from({ length: 20 }, (_, i) => `w${i}`);
/** Where queues stand for long, the oracle's greedy order is no bound and slow to work out; `capacity` is the bound. */
const POLICIES_WITHOUT_ORACLE = [
  "round-robin",
  "least-requests",
  "power-of-two",
  "alone",
  "lead",
];
const SKEW_POLICIES = ["least-requests", "lead"];

/** One load, and the policies that are put to it. */
export interface Case {
  readonly name: string;
  readonly streams: readonly Stream[];
  readonly policies?: readonly string[];
  readonly upstreamsPerRegion?: number;
  readonly lagMs?: number;
  readonly regions?: readonly string[];
  readonly objective?: object;
  /** Runs put together, where one has too few requests for its p99. */
  readonly seeds?: number;
  readonly schedule?: (world: World) => void;
  readonly measureExtra?: (
    outcomes: readonly Outcome[],
  ) => Record<string, number>;
}

/** The common mix of a region: 38% bound to it, one long prompt in four. */
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

/** Cases of one region that serves `perS` requests a second. */
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
/** Runners of each region in the cases of three regions. */
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

/** Cases of three regions; `perS` is what one of them serves. */
export function buildRegionCases(capacityPerS: number): Case[] {
  const constantLoads = (load: number) =>
    REGIONS.flatMap((region) => buildMix(region, () => load * capacityPerS));
  // Each region's peak lasts a third of the run; the other two are quiet meanwhile.
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

/** Demand of a night, as part of capacity; by day it is twice as much. The day begins at once. */
const NIGHT_LOAD = 0.3;
export const DAY_START_MS = 45_000;

/** A night and a morning of both users' fleets: demand halves, and an upstream without work is paid for all the same. */
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

/** How those fared that stayed, and that went. */
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

function measureOthers(outcomes: readonly Outcome[]): Record<string, number> {
  const otherOutcomes = outcomes.filter((o) =>
    !o.request.workspace.includes("hog")
  );
  return {
    others_p99: percentile(sortedFirstTokenMs(otherOutcomes), 0.99),
    others_in_time: share(otherOutcomes, isInTime),
  };
}
