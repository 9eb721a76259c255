/**
 * What a lead knows of one upstream: what it runs, how fast it is, and whether it can be trusted with more.
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

/** Time to a first token that no prompt is too short for: a queued pass of the engine and the network. */
export const BASE_FIRST_TOKEN_MS = 30;

/**
 * An attempt without a first token is overdue after this many times its prediction, and this much more. Each has a time
 * of its own: a long prompt may take seconds, and would hide the questions beside it that got no answer.
 */
const OVERDUE_RATIO = 3;
const OVERDUE_SLACK_MS = 150;

/** When an attempt granted now is overdue. */
export function computeOverdueAtMs(
  nowMs: number,
  firstTokenMs: number,
): number {
  return nowMs + OVERDUE_RATIO * firstTokenMs + OVERDUE_SLACK_MS;
}

/** Bounds of {@link Upstream.slowness}: one wild observation must not shut an upstream out for minutes. */
const SLOWNESS_RANGE = { min: 0.25, max: 64 };
/** Weight of one observation in {@link Upstream.slowness}: three of them move it most of the way. */
const SLOWNESS_GAIN = 0.3;
/** The same while an upstream is probed: probes are few, so each must count for much. */
const PROBE_SLOWNESS_GAIN = 0.8;
/** Bounds of one observation's ratio: a single request preempted by chance may show any figure. */
const OBSERVED_RATIO_RANGE = { min: 0.1, max: 10 };

/** Reports that must agree on attempts of others; see {@link Upstream.observe}. */
const EXCESS_REPORTS = 3;

/** Starting value of the time a slot is held, and the weight of one observation. */
const INITIAL_HOLD_MS = 4000;
const HOLD_GAIN = 0.05;

/** Priorities asked of engines: of a workspace far over its share, of long prompts, of short ones. */
export type EnginePriority = 0 | 1 | 2;
const ENGINE_PRIORITIES: readonly EnginePriority[] = [0, 1, 2];

/** A granted attempt, as its lead remembers it. */
export interface HeldAttempt {
  readonly attemptId: string;
  readonly upstream: Upstream;
  readonly workspace: string;
  readonly work: number;
  /** What its limits were charged; absent if another lead charged them. */
  readonly cost?: RequestCost;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Tokens it has to prefill if the belief in its warm prefix is right. */
  readonly coldTokens: number;
  /** How old that belief was at the grant. */
  readonly prefixAgeMs: number;
  readonly prefixHashes: readonly number[];
  readonly lane: LaneName;
  readonly isLong: boolean;
  readonly enginePriority: EnginePriority;
  /** Whether it tells if an upstream set aside may return. */
  readonly isProbe: boolean;
  readonly grantedAtMs: number;
  /** When its first token was expected; a duration would need the grant's time beside it at each use. */
  readonly firstTokenDueMs: number;
  /** When its being late counts against the upstream. */
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
  /** Attempts without a first token yet. */
  #unstarted = 0;
  /** The same by the time at which they are overdue, with some that have their first token already. */
  readonly #byOverdueTime = new TinyQueue<HeldAttempt>(
    [],
    (a, b) => a.overdueAtMs - b.overdueAtMs,
  );
  /** Attempts this lead granted or adopted and has not seen end. */
  running = 0;
  /** Long prompts among {@link unstarted}. */
  longUnstarted = 0;
  /** Attempts the upstream reports beyond those this lead knows of. */
  unknownAttempts = 0;
  /** Whether the lead ordered it parked, or will once it has ended what it runs. */
  scaleState: "awake" | "draining" | "parked" = "awake";
  /** How many times slower it is than its row says. */
  slowness = 1;
  /** When it has prefilled all that was placed on it at each priority or a higher one. */
  readonly #prefillDoneAtMs: number[] = ENGINE_PRIORITIES.map(() => 0);
  /** How long an attempt holds its slot. */
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

  /** Whether one more attempt may be placed on it now and leave `kept` slots. */
  hasRoom(nowMs: number, isCautious: boolean, reservedSlots = 0): boolean {
    const limit = this.health.limit(nowMs) - reservedSlots;
    const maxRunning = isCautious ? Math.ceil(limit / 2) : limit;
    return this.running + this.unknownAttempts < maxRunning;
  }

  /**
   * Takes its own report. A lagging report still counts attempts that have ended here since, so only an excess that
   * every one of the last reports shows is real; a lead that has just begun takes the newest at its word, as it cannot
   * know yet what its predecessor placed. A report of less than this lead placed is no news: an upstream that always
   * says "idle" would draw all work to itself.
   */
  observe(reported: number, isCautious: boolean): void {
    this.#recentExcess.push(Math.max(0, reported - this.running));
    if (this.#recentExcess.length > EXCESS_REPORTS) this.#recentExcess.shift();
    this.unknownAttempts = isCautious
      ? this.#recentExcess[this.#recentExcess.length - 1]
      : Math.min(...this.#recentExcess);
    this.unknownAttempts = Math.min(this.unknownAttempts, this.row.slots);
  }

  /** Time until it has room, when this many others wait for it. */
  predictSlotWaitMs(others: number): number {
    return (this.#meanHoldMs / this.row.slots) * (others + 1);
  }

  /** How long what is placed on it already is prefilled before a newcomer of this priority. */
  backlogMs(priority: EnginePriority, nowMs: number): number {
    return Math.max(0, this.#prefillDoneAtMs[priority] - nowMs);
  }

  /** Time to prefill this many tokens at its observed speed. */
  idleFirstTokenMs(tokens: number): number {
    return (BASE_FIRST_TOKEN_MS + prefillMs(this.row, tokens)) * this.slowness;
  }

  /** Time to the first token of a request with this many tokens to prefill. */
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

  /** The first token came. */
  recordFirstToken(held: HeldAttempt): void {
    this.#markStarted(held);
  }

  /** Moves {@link slowness} by a first-token time's ratio to what was predicted. */
  updateSlowness(ratio: number): void {
    const gain = this.health.isProbing ? PROBE_SLOWNESS_GAIN : SLOWNESS_GAIN;
    const bounded = clamp(ratio, OBSERVED_RATIO_RANGE);
    this.slowness = clamp(this.slowness * bounded ** gain, SLOWNESS_RANGE);
  }

  /** Raises {@link slowness} to what an unanswered attempt already proves. */
  raiseSlowness(slowness: number): void {
    this.slowness = clamp(Math.max(this.slowness, slowness), SLOWNESS_RANGE);
  }

  /** The attempt ended or was given up. */
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

  /** An attempt whose first token is overdue. */
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
