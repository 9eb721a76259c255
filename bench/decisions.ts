/**
 * The decision modules under load, in virtual time, beside other policies. Each case is seeded: the same figures on
 * every run. See `docs/design/decisions.md`.
 *
 * @module
 */

import { Engine } from "./engine.ts";
import {
  firstTokens,
  goodWorkPerS,
  inTime,
  jain,
  mean,
  percentile,
  rounded,
  share,
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
  type Case,
  cases,
  DAY_AT_MS,
  mix,
  nightCases,
  REGION_RUNNERS,
  regionCases,
  WORKSPACES,
} from "./decision_cases.ts";
import { tableOf } from "./tables.ts";
import { type Ask, generate } from "./workload.ts";
import { World } from "./world.ts";

const SEED = 7;
const WARMUP_MS = 10_000;
const END_MS = 60_000;
const DRAIN_MS = 15_000;
const RUNNERS = 13;
const CACHE_BLOCKS = 600;
const USAGE_SHARE = 0.8;

type Maker = (context: PolicyContext) => Policy;

const POLICIES: Readonly<Record<string, Maker>> = {
  "round-robin": (c) => new RoundRobin(c),
  "least-requests": (c) => new LeastRequests(c),
  "power-of-two": (c) => new PowerOfTwo(c),
  "alone": (c) => new Alone(c),
  "lead": (c) => new Lead(c),
  "oracle": (c) => new Oracle(c),
};

function rowsOf(
  spec: Case,
  policy: string,
  worlds: readonly World[],
): Row[] {
  const counted = worlds.flatMap((world) => world.outcomes)
    .filter((o) => o.ask.atMs >= WARMUP_MS);
  const all = firstTokens(counted);
  const short = firstTokens(counted.filter((o) => o.ask.type === "short"));
  const long = firstTokens(counted.filter((o) => o.ask.type === "long"));
  const seconds = worlds.length * (END_MS - WARMUP_MS) / 1000;
  const perWorkspace = new Map<string, number>();
  for (const o of counted.filter(inTime)) {
    const { workspace } = o.ask;
    perWorkspace.set(workspace, (perWorkspace.get(workspace) ?? 0) + workOf(o));
  }
  const measures: Record<string, [number, string]> = {
    first_p50: [percentile(all, 0.5), "ms"],
    first_p95: [percentile(all, 0.95), "ms"],
    first_p99: [percentile(all, 0.99), "ms"],
    short_p99: [percentile(short, 0.99), "ms"],
    long_p99: [percentile(long, 0.99), "ms"],
    in_time: [share(counted, inTime), "share"],
    short_in_time: [
      share(counted.filter((o) => o.ask.type === "short"), inTime),
      "share",
    ],
    good_work: [goodWorkPerS(counted, seconds), "tokens/s"],
    refused: [share(counted, (o) => o.result === "refused"), "share"],
    late: [share(counted, (o) => o.result === "late"), "share"],
    refusal_p99: [
      percentile(
        counted.flatMap((o) => o.refusedAfterMs ?? []).sort((a, b) => a - b),
        0.99,
      ),
      "ms",
    ],
    sent_away: [
      share(
        counted,
        (o) => o.servedIn !== undefined && o.servedIn !== o.ask.region,
      ),
      "share",
    ],
    warm: [
      counted.reduce((sum, o) => sum + o.warmTokens, 0) /
      counted.reduce((sum, o) => sum + o.ask.promptTokens, 0),
      "share",
    ],
    refused_queued: [
      share(counted, (o) => o.code === "expiredInQueue"),
      "share",
    ],
    good_requests: [
      counted.filter(inTime).length / seconds,
      "1/s",
    ],
    jain: [jain([...perWorkspace.values()]), ""],
    upstream_hours: [
      mean(worlds.map((world) => world.upstreamHours(WARMUP_MS, END_MS))),
      "h",
    ],
    night_hours: [
      mean(worlds.map((world) => world.upstreamHours(WARMUP_MS, DAY_AT_MS))),
      "h",
    ],
    broken_promises: [
      worlds.flatMap((world) => [...world.broken.values()])
        .reduce((a, b) => a + b, 0),
      "",
    ],
  };
  for (const [measure, value] of Object.entries(spec.more?.(counted) ?? {})) {
    measures[measure] = [value, ""];
  }
  return Object.entries(measures)
    .filter(([, [value]]) => Number.isFinite(value))
    .map(([measure, [value, unit]]) => ({
      bench: "decisions",
      case: spec.name,
      policy,
      measure,
      value: rounded(value),
      unit,
      seed: SEED,
    }));
}

function worldsOf(spec: Case, policy: string): World[] {
  const regions = spec.regions ?? ["agadir"];
  const onlyLatency = policy.endsWith("latency-only");
  const table = tableOf({
    regions,
    runners: spec.runners ?? RUNNERS,
    objective: spec.objective ?? {},
    workspaces: WORKSPACES,
    shifts: !onlyLatency,
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
      policy: POLICIES[policy.replace(" latency-only", "")],
      onlyLatency,
    });
    spec.during?.(world);
    const asks = generate(spec.streams, END_MS, seed);
    world.run(asks, END_MS + DRAIN_MS);
    return world;
  });
}

function runCase(spec: Case): Row[] {
  const policies = spec.policies ?? Object.keys(POLICIES);
  return policies.flatMap((name) => rowsOf(spec, name, worldsOf(spec, name)));
}

interface Capacity {
  readonly perS: number;
  readonly workPerS: number;
  readonly warm: number;
}

/** Work and requests a second of one always full pool, each document at a home of its own. */
function capacity(runners: number): Capacity {
  const sim = new Sim();
  const asks = generate(mix("agadir", () => 500), END_MS, SEED);
  const engines = Array.from(
    { length: runners },
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
  let warm = 0;
  let prompt = 0;
  const queues: Ask[][] = engines.map(() => []);
  for (const ask of asks) {
    queues[(ask.prefixHashes[0] ?? 0) % runners].push(ask);
  }
  const longest = () => queues.reduce((a, b) => (a.length > b.length ? a : b));
  const feed = (engine: Engine, i: number): void => {
    while (engine.running + engine.waiting < 16) {
      const ask = queues[i].shift() ?? longest().shift();
      if (!ask) return;
      engine.submit({
        id: ask.id,
        promptTokens: ask.promptTokens,
        outputTokens: ask.outputTokens,
        prefixHashes: ask.prefixHashes,
        priority: 0,
        onFirst: (cached) => {
          warm += cached;
          prompt += ask.promptTokens;
        },
        onFail: () => {},
        onDone: () => {
          if (sim.nowMs >= WARMUP_MS) {
            done++;
            work += ask.promptTokens + 5 * ask.outputTokens;
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
    perS: done / seconds,
    workPerS: work / seconds,
    warm: warm / prompt,
  };
}

/** See the module. `--case NAME` runs one case, `--policy NAME` one policy. */
export function run(args: readonly string[]): Promise<readonly Row[]> {
  const only = after(args, "--case");
  const policy = after(args, "--policy");
  const { perS, workPerS, warm } = capacity(RUNNERS);
  const rows: Row[] = [
    figure("capacity", "requests", perS, "1/s"),
    figure("capacity", "work", workPerS, "tokens/s"),
    figure("capacity", "warm", warm, "share"),
  ];
  const region = capacity(REGION_RUNNERS);
  const night = nightCases((runners) => capacity(runners).perS);
  const all = [...cases(perS), ...regionCases(region.perS), ...night];
  for (const spec of all) {
    if (only && spec.name !== only) continue;
    rows.push(...runCase(policy ? { ...spec, policies: [policy] } : spec));
  }
  return Promise.resolve(rows);
}

function figure(name: string, measure: string, value: number, unit: string) {
  return {
    bench: "decisions",
    case: name,
    policy: "-",
    measure,
    value: rounded(value),
    unit,
    seed: SEED,
  };
}

function after(args: readonly string[], flag: string): string | undefined {
  const index = args.indexOf(flag);
  return index < 0 ? undefined : args[index + 1];
}
