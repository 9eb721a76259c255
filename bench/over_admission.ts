/**
 * Leads against each VM choosing alone: how far upstreams are filled beyond their slots. Runs the same pool decisions
 * once with one lead, once at each VM with what upstreams report of their load, and once split between two leads.
 *
 * @module
 */

import { poolsOfRegion } from "../src/agreement/mod.ts";
import { Random } from "../src/base/mod.ts";
import { Pool, type PoolOutput } from "../src/decisions/mod.ts";
import { planRequest, planTable } from "../test/vms.ts";
import type { Row } from "./row.ts";

const UPSTREAMS = 13;
const SLOTS = 16;
const STEP_MS = 50;
const RUN_MS = 120_000;
const MEAN_HOLD_MS = 2000;
/** Load reports are read once a second and are this old when they are used. */
const REPORT_MS = 1000;
const REPORT_AGE_MS = 500;
const RENEW_MS = 2000;
/** A prompt that takes as long as the table says, so that no upstream looks slow. */
const PROMPT_TOKENS = 400;
const FIRST_TOKEN_MS = 50;
const OUTPUT_TOKENS = 150;
const SEED = 7;

interface Running {
  readonly pool: number;
  readonly upstreamId: string;
  readonly startsAtMs: number;
  readonly endsAtMs: number;
  started: boolean;
}

interface Result {
  readonly peak: number;
  readonly overShare: number;
  readonly granted: number;
}

/** Figures at two loads; `load` is offered work over the pool's slots. */
export function overAdmission(): Row[] {
  const rows: Row[] = [];
  for (const load of [0.8, 1.2]) {
    for (const [policy, pools] of POLICIES) {
      const { peak, overShare, granted } = simulate(pools, load);
      const row = (measure: string, value: number, unit: string): Row => ({
        bench: "control_members",
        case: `over-admission at load ${load}`,
        policy,
        measure,
        value: Math.round(value * 1000) / 1000,
        unit,
        seed: SEED,
      });
      rows.push(row("fullest upstream, running over slots", peak, "ratio"));
      rows.push(row("upstream-time beyond the slots", overShare, "share"));
      rows.push(row("granted", granted, "requests"));
    }
  }
  return rows;
}

const POLICIES: readonly [policy: string, pools: number][] = [
  ["one lead", 1],
  ["two leads", 2],
  ["each of 6 VMs alone", 6],
  ["each of 24 VMs alone", 24],
];

/** Requests go to `count` pools in turn that know of each other only by the upstreams' reports. */
function simulate(count: number, load: number): Result {
  const random = new Random(SEED);
  const table = planTable(1, ["r"], UPSTREAMS, SLOTS);
  const info = [...poolsOfRegion(table, "r").values()][0];
  let nowMs = 1_000_000;
  const pools = Array.from({ length: count }, (_, n) => {
    const pool = new Pool({ service: "plan", region: "r", seed: n });
    pool.configure(table, info.upstreams, nowMs);
    return pool;
  });
  const running = new Map<string, Running>();
  const past: { atMs: number; counts: Map<string, number> }[] = [];
  const perStep = load * UPSTREAMS * SLOTS * STEP_MS / MEAN_HOLD_MS;
  let granted = 0;
  let peak = 0;
  let over = 0;
  let steps = 0;
  let asked = 0;
  let due = 0;
  const take = (pool: number, outputs: readonly PoolOutput[]) => {
    for (const output of outputs) {
      if (output.type !== "answer" || output.answer.type !== "grant") continue;
      const { attemptId, upstreamId } = output.answer;
      const startsAtMs = nowMs + FIRST_TOKEN_MS;
      const endsAtMs = startsAtMs + random.exponential(MEAN_HOLD_MS);
      running.set(attemptId, {
        pool,
        upstreamId,
        startsAtMs,
        endsAtMs,
        started: false,
      });
      granted++;
    }
  };
  const endMs = nowMs + RUN_MS;
  while (nowMs < endMs) {
    nowMs += STEP_MS;
    steps++;
    for (const [attemptId, attempt] of running) {
      const outcome = nextOutcome(attempt, nowMs);
      if (!outcome) continue;
      attempt.started = true;
      if (outcome === "done") running.delete(attemptId);
      const { pool, upstreamId } = attempt;
      const report = {
        attemptId,
        service: "plan",
        upstreamId,
        outcome,
        firstTokenMs: FIRST_TOKEN_MS,
        outputTokens: outcome === "done" ? OUTPUT_TOKENS : 0,
        totalMs: nowMs - attempt.startsAtMs + FIRST_TOKEN_MS,
      };
      take(pool, pools[pool].report(report, nowMs));
    }
    for (due += perStep; due >= 1; due--) {
      const pool = asked % count;
      const request = planRequest(`x${asked++}`, {
        arrivedAtMs: nowMs,
        deadlineMs: nowMs + 3000,
        workspace: `w${random.int(20)}`,
        promptTokens: PROMPT_TOKENS,
        expectedOutputTokens: OUTPUT_TOKENS,
      });
      take(pool, pools[pool].request(request, nowMs));
    }
    const counts = countsOf(running);
    past.push({ atMs: nowMs, counts });
    while (past[0].atMs < nowMs - REPORT_AGE_MS) past.shift();
    const reporting = nowMs % REPORT_MS === 0;
    const renewing = nowMs % RENEW_MS === 0;
    pools.forEach((pool, n) => {
      if (renewing) pool.renew(attemptsOf(running, n), nowMs);
      for (const { id } of reporting ? info.upstreams : []) {
        const load = {
          upstreamId: id,
          running: past[0].counts.get(id) ?? 0,
          waiting: 0,
          atMs: past[0].atMs,
        };
        take(n, pool.observe(load, nowMs));
      }
      take(n, pool.tick(nowMs));
    });
    for (const held of countsOf(running).values()) {
      peak = Math.max(peak, held / SLOTS);
      if (held > SLOTS) over++;
    }
  }
  return { peak, overShare: over / (steps * UPSTREAMS), granted };
}

function nextOutcome(
  { started, startsAtMs, endsAtMs }: Running,
  nowMs: number,
): "started" | "done" | undefined {
  if (endsAtMs <= nowMs) return "done";
  return !started && startsAtMs <= nowMs ? "started" : undefined;
}

function countsOf(running: ReadonlyMap<string, Running>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { upstreamId } of running.values()) {
    counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
  }
  return counts;
}

function attemptsOf(
  running: ReadonlyMap<string, Running>,
  pool: number,
): string[] {
  const attempts: string[] = [];
  for (const [id, held] of running) if (held.pool === pool) attempts.push(id);
  return attempts;
}
