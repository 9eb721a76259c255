/**
 * Compares the decision modules with other policies under load, in virtual time. Each case is seeded and gives the same
 * figures on every run. See `docs/design/decisions.md`.
 *
 * @module
 */

import { Engine } from "./engine.ts";
import {
  goodputPerS,
  isInTime,
  jainIndex,
  mean,
  percentile,
  roundTo4Digits,
  share,
  sortedFirstTokenMs,
  workOf,
} from "./measures.ts";
import {
  Alone,
  Lead,
  LeastRequests,
  Oracle,
  type Policy,
  type PolicyContext,
  PowerOfTwo,
  RoundRobin,
} from "./policies.ts";
import type { Row } from "./row.ts";
import { Sim } from "./sim.ts";
import {
  buildCases,
  buildMix,
  buildNightCases,
  buildRegionCases,
  type Case,
  DAY_START_MS,
  MULTI_REGION_UPSTREAMS,
  WORKSPACES,
} from "./decision_cases.ts";
import { buildTable } from "./tables.ts";
import { generate, type WorkloadRequest } from "./workload.ts";
import { World } from "./world.ts";

const SEED = 7;
const WARMUP_MS = 10_000;
const END_MS = 60_000;
const DRAIN_MS = 15_000;
const SINGLE_REGION_UPSTREAMS = 13;
const CACHE_BLOCKS = 600;
const USAGE_SHARE = 0.8;

type CreatePolicy = (context: PolicyContext) => Policy;

const POLICIES: Readonly<Record<string, CreatePolicy>> = {
  "round-robin": (c) => new RoundRobin(c),
  "least-requests": (c) => new LeastRequests(c),
  "power-of-two": (c) => new PowerOfTwo(c),
  "alone": (c) => new Alone(c),
  "lead": (c) => new Lead(c),
  "oracle": (c) => new Oracle(c),
};

function makeRows(
  spec: Case,
  policy: string,
  worlds: readonly World[],
): Row[] {
  const outcomes = worlds.flatMap((world) => world.outcomes)
    .filter((o) => o.request.atMs >= WARMUP_MS);
  const allMs = sortedFirstTokenMs(outcomes);
  const shortMs = sortedFirstTokenMs(
    outcomes.filter((o) => o.request.type === "short"),
  );
  const longMs = sortedFirstTokenMs(
    outcomes.filter((o) => o.request.type === "long"),
  );
  const seconds = worlds.length * (END_MS - WARMUP_MS) / 1000;
  const perWorkspace = new Map<string, number>();
  for (const o of outcomes.filter(isInTime)) {
    const { workspace } = o.request;
    perWorkspace.set(workspace, (perWorkspace.get(workspace) ?? 0) + workOf(o));
  }
  const measures: Record<string, [number, string]> = {
    first_p50: [percentile(allMs, 0.5), "ms"],
    first_p95: [percentile(allMs, 0.95), "ms"],
    first_p99: [percentile(allMs, 0.99), "ms"],
    short_p99: [percentile(shortMs, 0.99), "ms"],
    long_p99: [percentile(longMs, 0.99), "ms"],
    in_time: [share(outcomes, isInTime), "share"],
    short_in_time: [
      share(outcomes.filter((o) => o.request.type === "short"), isInTime),
      "share",
    ],
    good_work: [goodputPerS(outcomes, seconds), "tokens/s"],
    refused: [share(outcomes, (o) => o.result === "refused"), "share"],
    late: [share(outcomes, (o) => o.result === "late"), "share"],
    refusal_p99: [
      percentile(
        outcomes.flatMap((o) => o.refusedAfterMs ?? []).sort((a, b) => a - b),
        0.99,
      ),
      "ms",
    ],
    sent_away: [
      share(
        outcomes,
        (o) => o.servedIn !== undefined && o.servedIn !== o.request.region,
      ),
      "share",
    ],
    warm: [
      outcomes.reduce((sum, o) => sum + o.cachedTokens, 0) /
      outcomes.reduce((sum, o) => sum + o.request.promptTokens, 0),
      "share",
    ],
    refused_queued: [
      share(outcomes, (o) => o.code === "expiredInQueue"),
      "share",
    ],
    good_requests: [
      outcomes.filter(isInTime).length / seconds,
      "1/s",
    ],
    jain: [jainIndex([...perWorkspace.values()]), ""],
    upstream_hours: [
      mean(worlds.map((world) => world.upstreamHours(WARMUP_MS, END_MS))),
      "h",
    ],
    night_hours: [
      mean(worlds.map((world) => world.upstreamHours(WARMUP_MS, DAY_START_MS))),
      "h",
    ],
    broken_promises: [
      worlds.flatMap((world) => [...world.violations.values()])
        .reduce((a, b) => a + b, 0),
      "",
    ],
  };
  for (
    const [measure, value] of Object.entries(
      spec.measureExtra?.(outcomes) ?? {},
    )
  ) {
    measures[measure] = [value, ""];
  }
  return Object.entries(measures)
    .filter(([, [value]]) => Number.isFinite(value))
    .map(([measure, [value, unit]]) => ({
      bench: "decisions",
      case: spec.name,
      policy,
      measure,
      value: roundTo4Digits(value),
      unit,
      seed: SEED,
    }));
}

function runWorlds(spec: Case, policy: string): World[] {
  const regions = spec.regions ?? ["agadir"];
  const isLatencyOnly = policy.endsWith("latency-only");
  const table = buildTable({
    regions,
    upstreamsPerRegion: spec.upstreamsPerRegion ?? SINGLE_REGION_UPSTREAMS,
    objective: spec.objective ?? {},
    workspaces: WORKSPACES,
    canShift: !isLatencyOnly,
  });
  const seeds = Array.from({ length: spec.seeds ?? 1 }, (_, i) => SEED + i);
  return seeds.map((seed) => {
    const world = new World({
      table,
      service: "plan",
      regions,
      linkMs: 40,
      lagMs: spec.lagMs ?? 1000,
      seed,
      cacheBlocks: CACHE_BLOCKS,
      usageShare: USAGE_SHARE,
      createPolicy: POLICIES[policy.replace(" latency-only", "")],
      isLatencyOnly,
    });
    spec.schedule?.(world);
    const requests = generate(spec.streams, END_MS, seed);
    world.run(requests, END_MS + DRAIN_MS);
    return world;
  });
}

function runCase(spec: Case): Row[] {
  const policies = spec.policies ?? Object.keys(POLICIES);
  return policies.flatMap((name) =>
    makeRows(spec, name, runWorlds(spec, name))
  );
}

interface Capacity {
  readonly requestsPerS: number;
  readonly workPerS: number;
  readonly cachedShare: number;
}

/** Measures the work and requests per second of a pool that is always full. Each document is assigned to one engine. */
function measureCapacity(upstreams: number): Capacity {
  const sim = new Sim();
  const requests = generate(buildMix("agadir", () => 500), END_MS, SEED);
  const engines = Array.from(
    { length: upstreams },
    (_, i) =>
      new Engine(sim, {
        id: `e${i}`,
        slots: 16,
        prefillTokensPerS: 8000,
        decodeTokensPerS: 1500,
        cacheBlocks: CACHE_BLOCKS,
      }),
  );
  let done = 0;
  let work = 0;
  let cachedTokens = 0;
  let promptTokens = 0;
  const queues: WorkloadRequest[][] = engines.map(() => []);
  for (const request of requests) {
    queues[(request.prefixHashes[0] ?? 0) % upstreams].push(request);
  }
  const longestQueue = () =>
    queues.reduce((a, b) => (a.length > b.length ? a : b));
  const feed = (engine: Engine, i: number): void => {
    while (engine.running + engine.waiting < 16) {
      const request = queues[i].shift() ?? longestQueue().shift();
      if (!request) return;
      engine.submit({
        id: request.id,
        promptTokens: request.promptTokens,
        outputTokens: request.outputTokens,
        prefixHashes: request.prefixHashes,
        priority: 0,
        onFirstToken: (cached) => {
          cachedTokens += cached;
          promptTokens += request.promptTokens;
        },
        onFail: () => {},
        onDone: () => {
          if (sim.nowMs >= WARMUP_MS) {
            done++;
            work += request.promptTokens + 5 * request.outputTokens;
          }
          feed(engine, i);
        },
      });
    }
  };
  engines.forEach(feed);
  sim.runUntil(END_MS);
  const seconds = (END_MS - WARMUP_MS) / 1000;
  return {
    requestsPerS: done / seconds,
    workPerS: work / seconds,
    cachedShare: cachedTokens / promptTokens,
  };
}

/** Runs the cases. `--case NAME` runs one case, `--policy NAME` one policy. */
export function run(args: readonly string[]): Promise<readonly Row[]> {
  const onlyCase = optionValue(args, "--case");
  const onlyPolicy = optionValue(args, "--policy");
  const { requestsPerS, workPerS, cachedShare } = measureCapacity(
    SINGLE_REGION_UPSTREAMS,
  );
  const rows: Row[] = [
    capacityRow("capacity", "requests", requestsPerS, "1/s"),
    capacityRow("capacity", "work", workPerS, "tokens/s"),
    capacityRow("capacity", "warm", cachedShare, "share"),
  ];
  const region = measureCapacity(MULTI_REGION_UPSTREAMS);
  const night = buildNightCases((upstreams) =>
    measureCapacity(upstreams).requestsPerS
  );
  const all = [
    ...buildCases(requestsPerS),
    ...buildRegionCases(region.requestsPerS),
    ...night,
  ];
  for (const spec of all) {
    if (onlyCase && spec.name !== onlyCase) continue;
    rows.push(
      ...runCase(onlyPolicy ? { ...spec, policies: [onlyPolicy] } : spec),
    );
  }
  return Promise.resolve(rows);
}

function capacityRow(
  name: string,
  measure: string,
  value: number,
  unit: string,
) {
  return {
    bench: "decisions",
    case: name,
    policy: "-",
    measure,
    value: roundTo4Digits(value),
    unit,
    seed: SEED,
  };
}

function optionValue(
  args: readonly string[],
  flag: string,
): string | undefined {
  const index = args.indexOf(flag);
  return index < 0 ? undefined : args[index + 1];
}
