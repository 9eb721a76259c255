/**
 * The state that a lead keeps for one upstream: what it runs, how fast it is, and whether it can take more.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import type { UpstreamRow } from "../agreement/mod.ts";
import { Health } from "./health.ts";
import type { LaneName } from "./queue_entry.ts";
import type { RequestCost } from "./limits.ts";
import { CachedPrefixes } from "./cached_prefixes.ts";
import { prefillMs } from "./work.ts";

/** Time to the first token of even the shortest prompt: a queued pass of the engine, and the network. */
export const BASE_FIRST_TOKEN_MS = 30;

/**
 * An attempt without a first token is overdue after this many times its predicted time, plus this slack. Each attempt
 * has its own deadline: a long prompt may take seconds, and a common deadline would hide the short requests beside it
 * that got no answer.
 */
const OVERDUE_RATIO = 3;
const OVERDUE_SLACK_MS = 150;

/** Returns when an attempt granted now becomes overdue. */
export function computeOverdueAtMs(
  nowMs: number,
  firstTokenMs: number,
): number {
  return nowMs + OVERDUE_RATIO * firstTokenMs + OVERDUE_SLACK_MS;
}

/** Bounds of {@link Upstream.slowness}: a single outlier must not exclude an upstream for minutes. */
const SLOWNESS_RANGE = { min: 0.25, max: 64 };
/** Weight of one observation in {@link Upstream.slowness}: three of them move it most of the way. */
const SLOWNESS_GAIN = 0.3;
/** The same weight while an upstream is probed: probes are few, so each must count for more. */
const PROBE_SLOWNESS_GAIN = 0.8;
/** Bounds of one observation's ratio: a single request that was preempted by chance may show any value. */
const OBSERVED_RATIO_RANGE = { min: 0.1, max: 10 };

/** Recent reports that must all show unknown attempts; see {@link Upstream.observe}. */
const EXCESS_REPORTS = 3;

/** Initial mean of the time a slot is held, and the weight of one observation. */
const INITIAL_HOLD_MS = 4000;
const HOLD_GAIN = 0.05;

/** Priorities sent to engines: 0 for a workspace far over its share, 1 for long prompts, 2 for short ones. */
export type EnginePriority = 0 | 1 | 2;
const ENGINE_PRIORITIES: readonly EnginePriority[] = [0, 1, 2];

/** A granted attempt, as its lead keeps it. */
export interface HeldAttempt {
  readonly attemptId: string;
  readonly upstream: Upstream;
  readonly workspace: string;
  readonly work: number;
  /** What the limits were charged for it; absent if another lead charged them. */
  readonly cost?: RequestCost;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Tokens it has to prefill if the expected prefix is cached. */
  readonly coldTokens: number;
  /** How long before the grant that prefix was last placed on the upstream. */
  readonly prefixAgeMs: number;
  readonly prefixHashes: readonly number[];
  readonly lane: LaneName;
  readonly isLong: boolean;
  readonly enginePriority: EnginePriority;
  /** Whether it is a probe, which shows whether an ejected upstream may return. */
  readonly isProbe: boolean;
  readonly grantedAtMs: number;
  /**
   * The time at which its first token is expected. It is not a duration, which would need the time of the grant at each
   * use.
   */
  readonly firstTokenDueMs: number;
  /** The time from which its missing first token counts against the upstream. */
  readonly overdueAtMs: number;
  /** {@link Upstream.slowness} at the grant. */
  readonly slowness: number;
  expiresAtMs: number;
  hasStarted: boolean;
}

/** One upstream of a pool. */
export class Upstream {
  row: UpstreamRow;
  readonly health: Health;
  readonly cachedPrefixes = new CachedPrefixes();
  /** Number of attempts without a first token yet. */
  #unstarted = 0;
  /** The same attempts by the time at which they are overdue, with some that already have their first token. */
  readonly #byOverdueTime = new TinyQueue<HeldAttempt>(
    [],
    (a, b) => a.overdueAtMs - b.overdueAtMs,
  );
  /** Attempts that this lead granted or adopted and whose end it has not seen. */
  running = 0;
  /** Attempts with a long prompt and without a first token yet. */
  longUnstarted = 0;
  /** Attempts that the upstream reports beyond those that this lead knows of. */
  unknownAttempts = 0;
  /** Whether the lead ordered it parked, or will once its running attempts have ended. */
  scaleState: "awake" | "draining" | "parked" = "awake";
  /** How many times slower it is than its row says. */
  slowness = 1;
  /** The time at which it has prefilled all that was placed on it, for each priority with the higher ones included. */
  readonly #prefillDoneAtMs: number[] = ENGINE_PRIORITIES.map(() => 0);
  /** Mean time for which an attempt holds its slot. */
  #meanHoldMs = INITIAL_HOLD_MS;
  #recentExcess: number[] = [];

  constructor(row: UpstreamRow) {
    this.row = row;
    this.health = new Health(row.slots);
  }

  /** Whether it may get new work at all. */
  get takesWork(): boolean {
    return this.row.state === "active" && this.scaleState === "awake";
  }

  /** Whether one more attempt may be placed on it now and leave `reservedSlots` free. */
  hasRoom(nowMs: number, isCautious: boolean, reservedSlots = 0): boolean {
    const limit = this.health.limit(nowMs) - reservedSlots;
    const maxRunning = isCautious ? Math.ceil(limit / 2) : limit;
    return this.running + this.unknownAttempts < maxRunning;
  }

  /**
   * Applies the upstream's own load report. A delayed report still counts attempts that have ended here since, so only
   * an excess that all of the last reports show is real. A lead that has just started uses the newest report alone, as
   * it cannot know yet what its predecessor placed. A report of less than this lead placed is ignored; otherwise an
   * upstream that always reports itself idle would attract all work.
   */
  observe(reported: number, isCautious: boolean): void {
    this.#recentExcess.push(Math.max(0, reported - this.running));
    if (this.#recentExcess.length > EXCESS_REPORTS) this.#recentExcess.shift();
    this.unknownAttempts = isCautious
      ? this.#recentExcess[this.#recentExcess.length - 1]
      : Math.min(...this.#recentExcess);
    this.unknownAttempts = Math.min(this.unknownAttempts, this.row.slots);
  }

  /** Predicts the time until it has room, when this many others wait for it. */
  predictSlotWaitMs(others: number): number {
    return (this.#meanHoldMs / this.row.slots) * (others + 1);
  }

  /** Returns the time to prefill what is already placed on it and goes before a new request of this priority. */
  backlogMs(priority: EnginePriority, nowMs: number): number {
    return Math.max(0, this.#prefillDoneAtMs[priority] - nowMs);
  }

  /** Predicts the time to the first token, with this many tokens to prefill and no backlog, at its observed speed. */
  idleFirstTokenMs(tokens: number): number {
    return (BASE_FIRST_TOKEN_MS + prefillMs(this.row, tokens)) * this.slowness;
  }

  /** Predicts the time to the first token of a request with this many tokens to prefill. */
  predictFirstTokenMs(
    tokens: number,
    priority: EnginePriority,
    nowMs: number,
  ): number {
    return this.backlogMs(priority, nowMs) + this.idleFirstTokenMs(tokens);
  }

  add(held: HeldAttempt): void {
    this.running++;
    if (held.hasStarted) return;
    this.#unstarted++;
    this.#byOverdueTime.push(held);
    if (held.isLong) this.longUnstarted++;
    const ownPrefillMs = prefillMs(this.row, held.coldTokens) * this.slowness;
    for (const level of ENGINE_PRIORITIES) {
      if (level > held.enginePriority) break;
      const doneAtMs = this.#prefillDoneAtMs[level];
      this.#prefillDoneAtMs[level] = Math.max(held.grantedAtMs, doneAtMs) +
        ownPrefillMs;
    }
  }

  recordFirstToken(held: HeldAttempt): void {
    this.#markStarted(held);
  }

  /** Updates {@link slowness} by the ratio of a first-token time to its prediction. */
  updateSlowness(ratio: number): void {
    const gain = this.health.isProbing ? PROBE_SLOWNESS_GAIN : SLOWNESS_GAIN;
    const bounded = clamp(ratio, OBSERVED_RATIO_RANGE);
    this.slowness = clamp(this.slowness * bounded ** gain, SLOWNESS_RANGE);
  }

  /** Raises {@link slowness} to what an unanswered attempt already shows. */
  raiseSlowness(slowness: number): void {
    this.slowness = clamp(Math.max(this.slowness, slowness), SLOWNESS_RANGE);
  }

  /** Removes an attempt that ended or was given up. */
  remove(held: HeldAttempt, nowMs: number): void {
    this.#meanHoldMs += HOLD_GAIN *
      (nowMs - held.grantedAtMs - this.#meanHoldMs);
    this.running = Math.max(0, this.running - 1);
    this.#markStarted(held);
    if (this.#unstarted > 0) return;
    for (const level of ENGINE_PRIORITIES) {
      const doneAtMs = this.#prefillDoneAtMs[level];
      this.#prefillDoneAtMs[level] = Math.min(doneAtMs, nowMs);
    }
  }

  /** Returns the attempt that is overdue for the longest time, if any. */
  firstOverdue(nowMs: number): HeldAttempt | undefined {
    for (;;) {
      const held = this.#byOverdueTime.peek();
      if (!held || held.overdueAtMs > nowMs) return undefined;
      if (!held.hasStarted) return held;
      this.#byOverdueTime.pop();
    }
  }

  #markStarted(held: HeldAttempt): void {
    if (held.hasStarted) return;
    held.hasStarted = true;
    this.#unstarted--;
    if (held.isLong) this.longUnstarted--;
  }
}

function clamp(value: number, range: { min: number; max: number }): number {
  return Math.min(range.max, Math.max(range.min, value));
}
