/**
 * The loads that the decision modules are put to; see `decisions.ts`.
 *
 * @module
 */

import { firstTokens, inTime, percentile, share } from "./measures.ts";
import { nameOf } from "./tables.ts";
import type { Stream } from "./workload.ts";
import type { Outcome, World } from "./world.ts";

/** Workspaces of the common mix. */
export const WORKSPACES = Array.from({ length: 20 }, (_, i) => `w${i}`);
/** Where queues stand for long, the oracle's greedy order is no bound and slow to work out; `capacity` is the bound. */
const WITHOUT_ORACLE = [
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
  readonly runners?: number;
  readonly lagMs?: number;
  readonly regions?: readonly string[];
  readonly objective?: object;
  /** Runs put together, where one has too few requests for its p99. */
  readonly seeds?: number;
  readonly during?: (world: World) => void;
  readonly more?: (outcomes: readonly Outcome[]) => Record<string, number>;
}

/** The common mix of a region: 38% bound to it, one long prompt in four. */
export function mix(
  region: string,
  perS: (atMs: number) => number,
  longShare = 0.25,
  workspaces: readonly string[] = WORKSPACES,
): Stream[] {
  return [true, false].map((bound) => ({
    region,
    workspaces: workspaces.map((w) => nameOf(region, w, bound)),
    bound,
    longShare,
    perS: (atMs) => perS(atMs) * (bound ? 0.38 : 0.62),
  }));
}

/** Cases of one region that serves `perS` requests a second. */
export function cases(perS: number): Case[] {
  const at = (load: number) => () => load * perS;
  return [
    { name: "steady", streams: mix("agadir", at(0.7)) },
    {
      name: "burst",
      streams: mix(
        "agadir",
        (ms) => perS * (ms > 30_000 && ms < 35_000 ? 2.5 : 0.5),
      ),
      policies: WITHOUT_ORACLE,
    },
    {
      name: "skew",
      streams: [
        ...mix("agadir", at(0.3)),
        ...mix("agadir", at(1.2), 0.25, ["hog"]),
      ],
      policies: SKEW_POLICIES,
      seeds: 4,
      more: others,
    },
    {
      name: "skew-without",
      streams: mix("agadir", at(0.3)),
      policies: SKEW_POLICIES,
      seeds: 4,
      more: others,
    },
    {
      name: "one-slow",
      streams: mix("agadir", at(0.6)),
      during: (world) =>
        world.sim.after(
          15_000,
          () => void (world.engines("agadir")[3].slow = 10),
        ),
    },
    {
      name: "one-dead",
      streams: mix("agadir", at(0.6)),
      during: (world) => {
        const engine = world.engines("agadir")[3];
        world.sim.after(15_000, () => engine.die());
        world.sim.after(40_000, () => engine.revive());
      },
    },
    {
      name: "one-silent",
      streams: mix("agadir", at(0.6)),
      during: (world) =>
        world.sim.after(
          15_000,
          () => void (world.engines("agadir")[3].silent = true),
        ),
    },
    {
      name: "lead-lost",
      streams: mix("agadir", at(0.7)),
      policies: ["lead"],
      during: (world) =>
        world.sim.after(30_000, () => world.loseLead("agadir")),
    },
    ...[100, 5000].map((lagMs) => ({
      name: `lag-${lagMs}ms`,
      streams: mix("agadir", at(0.7)),
      policies: ["least-requests", "power-of-two", "lead"],
      lagMs,
    })),
    {
      name: "mix",
      streams: mix("agadir", at(0.55), 0.5),
      policies: WITHOUT_ORACLE,
    },
    {
      name: "saturation-1.2",
      streams: mix("agadir", at(1.2)),
      policies: WITHOUT_ORACLE,
    },
    {
      name: "saturation-2",
      streams: mix("agadir", at(2)),
      policies: WITHOUT_ORACLE,
    },
    {
      name: "saturation-5",
      streams: mix("agadir", at(5)),
      policies: WITHOUT_ORACLE,
    },
  ];
}

const REGIONS = ["casablanca", "marrakech", "agadir"];
/** Runners of each region in the cases of three regions. */
export const REGION_RUNNERS = 5;
const COOPERATIVE = { latencyWeight: 4, costWeight: 1, awayWeight: 0 };
const DIRECTORATE = { latencyWeight: 1, costWeight: 2, awayWeight: 2 };

/** Cases of three regions; `perS` is what one of them serves. */
export function regionCases(perS: number): Case[] {
  const flat = (load: number) =>
    REGIONS.flatMap((region) => mix(region, () => load * perS));
  // Each region's peak lasts a third of the run; the other two are quiet meanwhile.
  const peaks = REGIONS.flatMap((region, i) =>
    mix(region, (ms) => {
      const phase = Math.floor(ms / 20_000) % REGIONS.length;
      return perS * (phase === i ? 1.3 : 0.4);
    })
  );
  const base = { regions: REGIONS, runners: REGION_RUNNERS };
  const policies = ["lead", "lead latency-only"];
  return [
    {
      ...base,
      name: "region-loss",
      streams: flat(0.5),
      policies,
      during: (world) => {
        const engines = world.engines("agadir");
        world.sim.after(20_000, () => engines.forEach((e) => e.die()));
        world.sim.after(40_000, () => engines.forEach((e) => e.revive()));
      },
      more: bySelf,
    },
    {
      ...base,
      name: "partition",
      streams: peaks,
      policies,
      during: (world) => {
        world.sim.after(20_000, () => void world.cut.add("agadir"));
        world.sim.after(40_000, () => world.cut.clear());
      },
      more: bySelf,
    },
    {
      ...base,
      name: "peaks",
      streams: peaks,
      policies,
      seeds: 3,
      more: bySelf,
    },
    {
      ...base,
      name: "peaks-directorate",
      streams: peaks,
      policies,
      objective: DIRECTORATE,
      seeds: 3,
      more: bySelf,
    },
  ];
}

/** Demand of a night, as part of capacity; by day it is twice as much. The day begins at once. */
const NIGHT_LOAD = 0.3;
export const DAY_AT_MS = 45_000;

/** A night and a morning of both users' fleets: demand halves, and an upstream without work is paid for all the same. */
export function nightCases(perS: (runners: number) => number): Case[] {
  const users = [
    { name: "cooperative", runners: 13, objective: COOPERATIVE },
    { name: "directorate", runners: 8, objective: DIRECTORATE },
  ];
  return users.map((user) => {
    const full = perS(user.runners);
    return {
      name: `night-${user.name}`,
      runners: user.runners,
      objective: user.objective,
      policies: ["lead"],
      streams: mix("agadir", (ms) => {
        const load = ms < DAY_AT_MS ? NIGHT_LOAD : 2 * NIGHT_LOAD;
        return full * load;
      }),
    };
  });
}

/** How those fared that stayed, and that went. */
function bySelf(outcomes: readonly Outcome[]): Record<string, number> {
  const stayed = outcomes.filter((o) => o.moves === 0);
  const moved = outcomes.filter((o) => o.moves > 0);
  return {
    stayed_p99: percentile(firstTokens(stayed), 0.99),
    moved_p99: percentile(firstTokens(moved), 0.99),
    moved_in_time: share(moved, inTime),
    back: share(moved, (o) => o.attempts > 2),
  };
}

function others(outcomes: readonly Outcome[]): Record<string, number> {
  const rest = outcomes.filter((o) => !o.ask.workspace.includes("hog"));
  return {
    others_p99: percentile(firstTokens(rest), 0.99),
    others_in_time: share(rest, inTime),
  };
}
