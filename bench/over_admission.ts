/**
 * Measures how far upstreams are filled beyond their slots with a lead, and with VMs that each choose independently.
 * The same pool decisions run once at one lead, once split between two leads, and once at each VM; where there is more
 * than one, each knows the work of the others only from the upstreams' load reports.
 *
 * @module
 */

import { poolsOfRegion } from "../src/agreement/mod.ts";
import { Random } from "../src/base/mod.ts";
import { Pool, type PoolOutput } from "../src/decisions/mod.ts";
import { makePlanRequest, makePlanTable } from "../test/vms.ts";
import type { Row } from "./row.ts";

const UPSTREAMS = 13;
const SLOTS = 16;
const STEP_MS = 50;
const DURATION_MS = 120_000;
const MEAN_HOLD_MS = 2000;
/** Interval at which load reports are read. */
const REPORT_INTERVAL_MS = 1000;
/** Age of a load report when it is used. */
const REPORT_AGE_MS = 500;
const RENEW_INTERVAL_MS = 2000;
/** A prompt whose first token takes as long as the table's rates predict, so that no upstream is judged slow. */
const PROMPT_TOKENS = 400;
const FIRST_TOKEN_MS = 50;
const OUTPUT_TOKENS = 150;
const SEED = 7;

interface RunningAttempt {
  readonly pool: number;
  readonly upstreamId: string;
  readonly startsAtMs: number;
  readonly endsAtMs: number;
  isStarted: boolean;
}

interface SimulationResult {
  readonly peak: number;
  readonly overShare: number;
  readonly granted: number;
}

/** Measures all policies at two loads. A load is the offered work divided by the pool's slots. */
export function measureOverAdmission(): Row[] {
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

/** Sends requests in turn to `count` pools that know of each other only from the upstreams' load reports. */
function simulate(count: number, load: number): SimulationResult {
  const random = new Random(SEED);
  const table = makePlanTable(1, ["r"], UPSTREAMS, SLOTS);
  const info = [...poolsOfRegion(table, "r").values()][0];
  let nowMs = 1_000_000;
  const pools = Array.from({ length: count }, (_, n) => {
    const pool = new Pool({ service: "plan", region: "r", seed: n });
    pool.configure(table, info.upstreams, nowMs);
    return pool;
  });
  const running = new Map<string, RunningAttempt>();
  const history: { atMs: number; counts: Map<string, number> }[] = [];
  const requestsPerStep = load * UPSTREAMS * SLOTS * STEP_MS / MEAN_HOLD_MS;
  let granted = 0;
  let peak = 0;
  let overfullSamples = 0;
  let steps = 0;
  let requestCount = 0;
  let dueRequests = 0;
  const applyOutputs = (pool: number, outputs: readonly PoolOutput[]) => {
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
        isStarted: false,
      });
      granted++;
    }
  };
  const endMs = nowMs + DURATION_MS;
  while (nowMs < endMs) {
    nowMs += STEP_MS;
    steps++;
    for (const [attemptId, attempt] of running) {
      const outcome = nextOutcome(attempt, nowMs);
      if (!outcome) continue;
      attempt.isStarted = true;
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
      applyOutputs(pool, pools[pool].report(report, nowMs));
    }
    for (dueRequests += requestsPerStep; dueRequests >= 1; dueRequests--) {
      const pool = requestCount % count;
      const request = makePlanRequest(`x${requestCount++}`, {
        arrivedAtMs: nowMs,
        deadlineMs: nowMs + 3000,
        workspace: `w${random.int(20)}`,
        promptTokens: PROMPT_TOKENS,
        expectedOutputTokens: OUTPUT_TOKENS,
      });
      applyOutputs(pool, pools[pool].request(request, nowMs));
    }
    const counts = countByUpstream(running);
    history.push({ atMs: nowMs, counts });
    while (history[0].atMs < nowMs - REPORT_AGE_MS) history.shift();
    const isReportDue = nowMs % REPORT_INTERVAL_MS === 0;
    const isRenewalDue = nowMs % RENEW_INTERVAL_MS === 0;
    pools.forEach((pool, n) => {
      if (isRenewalDue) pool.renew(listAttemptIds(running, n), nowMs);
      for (const { id } of isReportDue ? info.upstreams : []) {
        const loadReport = {
          upstreamId: id,
          running: history[0].counts.get(id) ?? 0,
          waiting: 0,
          atMs: history[0].atMs,
        };
        applyOutputs(n, pool.observe(loadReport, nowMs));
      }
      applyOutputs(n, pool.tick(nowMs));
    });
    for (const slotsUsed of countByUpstream(running).values()) {
      peak = Math.max(peak, slotsUsed / SLOTS);
      if (slotsUsed > SLOTS) overfullSamples++;
    }
  }
  return { peak, overShare: overfullSamples / (steps * UPSTREAMS), granted };
}

function nextOutcome(
  { isStarted, startsAtMs, endsAtMs }: RunningAttempt,
  nowMs: number,
): "started" | "done" | undefined {
  if (endsAtMs <= nowMs) return "done";
  return !isStarted && startsAtMs <= nowMs ? "started" : undefined;
}

function countByUpstream(
  running: ReadonlyMap<string, RunningAttempt>,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { upstreamId } of running.values()) {
    counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
  }
  return counts;
}

function listAttemptIds(
  running: ReadonlyMap<string, RunningAttempt>,
  pool: number,
): string[] {
  const attemptIds: string[] = [];
  for (const [id, attempt] of running) {
    if (attempt.pool === pool) attemptIds.push(id);
  }
  return attemptIds;
}
