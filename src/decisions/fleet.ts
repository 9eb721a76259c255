/**
 * The upstreams of a pool, and the judgement of each against the others.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { SlotReport } from "./slots.ts";
import { type HeldAttempt, Upstream } from "./upstream.ts";
import { prefillMs } from "./work.ts";

/**
 * Most of a pool set aside for slowness or failures. The judgement compares an upstream with its peers and can be wrong
 * for many at once (a slow link of one VM, a burst of long prompts); without the bound, the rest would be overloaded,
 * look slow in turn and be set aside too. Unreachable ones are not bounded: placing on them serves nobody.
 */
const MAX_EJECTED_SHARE = 1 / 3;
/** An upstream this many times slower than the pool's median is set aside; below this, it only gets less. */
const EJECT_SLOWNESS_RATIO = 4;
/** A probe this close to the median brings it back. */
const RECOVERY_SLOWNESS_RATIO = 2;
/** A saved prefill shorter than this cannot be told from noise in first-token times. */
const MIN_EVICTION_DELAY_MS = 50;

/** A belief in fewer cached tokens than this is not worth judging. */
const MIN_JUDGED_PREFIX_TOKENS = 512;

/** Time after which a placed prompt is in the cache unless it was evicted. */
const PREFIX_SETTLE_MS = 5000;

/** See the module. */
export class Fleet {
  #byId = new Map<string, Upstream>();
  #list: readonly Upstream[] = [];
  #active: readonly Upstream[] = [];
  #hasFirstTokenReports = false;
  #utilization = 0;

  get list(): readonly Upstream[] {
    return this.#list;
  }
  get(id: string): Upstream | undefined {
    return this.#byId.get(id);
  }

  /** Takes the rows in force. What is known of an upstream stays while its row does, whatever its state. */
  configure(rows: readonly UpstreamRow[]): void {
    const previous = this.#byId;
    this.#byId = new Map();
    for (const row of rows) {
      const known = previous.get(row.id) ?? new Upstream(row);
      known.row = row;
      known.health.resize(row.slots);
      this.#byId.set(row.id, known);
    }
    this.#list = [...this.#byId.values()];
    this.#refreshActive();
  }

  /** Upstreams that the lead took out of use for want of work. */
  scaledDown(): Upstream[] {
    return this.#list.filter((upstream) =>
      upstream.row.state === "active" && upstream.scaleState !== "awake"
    );
  }

  /** Takes the least used upstream out of use; it is parked once it has ended what it runs. */
  drainOne(): void {
    const leastBusy =
      [...this.#active].sort((a, b) => a.running - b.running)[0];
    if (!leastBusy) return;
    leastBusy.scaleState = "draining";
    this.#refreshActive();
  }

  /** Upstreams that have ended what they ran since they were drained; they lose their caches. */
  parkDrained(): Upstream[] {
    const idle = this.#list.filter((upstream) =>
      upstream.scaleState === "draining" && upstream.running === 0
    );
    for (const upstream of idle) {
      upstream.scaleState = "parked";
      upstream.cachedPrefixes.clear();
    }
    return idle;
  }

  /** Brings released upstreams back by a ramp, those first that are still warm; returns those to order awake. */
  wake(count: number, nowMs: number): Upstream[] {
    const scaledDown = this.scaledDown()
      .sort((a, b) => b.running - a.running)
      .slice(0, count);
    const parked = scaledDown.filter((u) => u.scaleState === "parked");
    for (const upstream of scaledDown) upstream.scaleState = "awake";
    for (const upstream of parked) upstream.health.startRamp(nowMs);
    this.#refreshActive();
    return parked;
  }

  #refreshActive(): void {
    this.#active = this.#list.filter((upstream) => upstream.takesWork);
  }

  /** Upstreams that may get new work, set aside or not. */
  get active(): readonly Upstream[] {
    return this.#active;
  }

  /** Slots in use, and slots there are. */
  load(nowMs: number): { readonly running: number; readonly slots: number } {
    let running = 0;
    let slots = 0;
    for (const upstream of this.#list) running += upstream.running;
    for (const upstream of this.#active) {
      slots += upstream.health.limit(nowMs);
    }
    return { running, slots };
  }

  /** Whether any upstream can take a request now or soon. */
  hasUsable(nowMs: number): boolean {
    return this.#active.some((upstream) => upstream.health.isUsable(nowMs));
  }

  /** Share of the slots in use when last judged. */
  get utilization(): number {
    return this.#utilization;
  }

  /** Work that the upstreams not set aside can take in a ms, by their rows and observed speeds. */
  nominalPerMs(nowMs: number): number {
    let sum = 0;
    for (const { row, health, slowness } of this.#active) {
      const part = health.limit(nowMs) / row.slots;
      sum += (row.prefillTokensPerS / 1000 / slowness) * part;
    }
    return sum;
  }

  /** The first token of an attempt came. */
  recordFirstToken(
    held: HeldAttempt,
    firstTokenMs: number,
    nowMs: number,
  ): void {
    this.#hasFirstTokenReports = true;
    const { upstream } = held;
    const ratio = latenessRatio(held, firstTokenMs);
    upstream.recordFirstToken(held);
    upstream.updateSlowness(ratio);
    upstream.health.recordFirstToken(ratio, nowMs);
    if (!held.isProbe) return;
    if (upstream.slowness <= RECOVERY_SLOWNESS_RATIO * this.medianSlowness()) {
      upstream.health.restore(nowMs);
    } else upstream.health.eject(nowMs);
  }

  /** An attempt left its upstream. */
  recordEnd(
    held: HeldAttempt,
    outcome: SlotReport["outcome"],
    nowMs: number,
    cachedTokens?: number,
  ): void {
    const { upstream } = held;
    if (cachedTokens !== undefined) learnCachedTokens(held, cachedTokens);
    const isUnansweredProbe = held.isProbe && !held.hasStarted;
    upstream.remove(held, nowMs);
    if (held.isProbe) upstream.health.recordProbeEnd();
    if (outcome === "failed" || outcome === "unreachable") {
      this.#recordFailure(held, outcome === "unreachable", nowMs);
    } else if (outcome === "refused") upstream.health.recordRefusal(nowMs);
    else if (isUnansweredProbe) upstream.health.eject(nowMs);
  }

  /**
   * Looks at every upstream. Made for one that turns slow or silent: its first tokens are late long before it answers,
   * so an overdue attempt already counts as evidence, and new work goes elsewhere within a second.
   */
  updateHealth(nowMs: number): void {
    for (const upstream of this.#list) this.#applyOverdue(upstream, nowMs);
    const median = this.medianSlowness();
    for (const upstream of this.#list) {
      const { health } = upstream;
      if (health.state === "aside") continue;
      if (upstream.slowness <= EJECT_SLOWNESS_RATIO * median) continue;
      if (this.#canEject()) health.eject(nowMs);
    }
    const { running, slots } = this.load(nowMs);
    this.#utilization = slots > 0 ? Math.min(1, running / slots) : 1;
  }

  /** The middle slowness of the upstreams not set aside. */
  medianSlowness(): number {
    const values = this.#active
      .filter((upstream) => upstream.health.state !== "aside")
      .map((upstream) => upstream.slowness)
      .sort((a, b) => a - b);
    return values[(values.length - 1) >> 1] ?? 1;
  }

  /** For people. */
  dump(): unknown[] {
    return this.#list.map((upstream) => ({
      id: upstream.row.id,
      state: upstream.row.state,
      health: upstream.health.state,
      running: upstream.running,
      foreign: upstream.unknownAttempts,
      slowness: Number(upstream.slowness.toFixed(2)),
      warmBlocks: upstream.cachedPrefixes.size,
    }));
  }

  #recordFailure(held: HeldAttempt, unreachable: boolean, nowMs: number): void {
    const { upstream } = held;
    const shouldEject = upstream.health.recordFailure(unreachable);
    if (upstream.health.state === "aside") {
      if (held.isProbe) upstream.health.eject(nowMs);
    } else if (shouldEject && (unreachable || this.#canEject())) {
      upstream.health.eject(nowMs);
      // A restarted engine has lost its cache; believing otherwise would draw its old prompts to it cold.
      upstream.cachedPrefixes.clear();
    }
  }

  #applyOverdue(upstream: Upstream, nowMs: number): void {
    // Without news of first tokens, every long answer would look overdue.
    if (!this.#hasFirstTokenReports) return;
    const overdue = upstream.firstOverdue(nowMs);
    if (!overdue) return;
    const waitedMs = nowMs - overdue.grantedAtMs;
    const expectedMs = Math.max(
      1,
      overdue.firstTokenDueMs - overdue.grantedAtMs,
    );
    upstream.raiseSlowness(overdue.slowness * (waitedMs / expectedMs));
  }

  #canEject(): boolean {
    const active = this.#active;
    const ejected = active.filter((u) => u.health.state === "aside").length;
    return ejected <
        Math.floor(Math.max(active.length * MAX_EJECTED_SHARE, 1)) &&
      active.length > 1;
  }
}

/**
 * How many times later than predicted a first token came. Where a warm prefix was believed in and the time is nearer to
 * that of a cold one, the belief was wrong and not the upstream slow: the engine had evicted the prefix.
 */
function latenessRatio(held: HeldAttempt, firstTokenMs: number): number {
  const { upstream } = held;
  const predictedMs = Math.max(1, held.firstTokenDueMs - held.grantedAtMs);
  const cachedTokens = held.promptTokens - held.coldTokens;
  const coldMs = predictedMs +
    prefillMs(upstream.row, cachedTokens) * held.slowness;
  const wasEvicted = coldMs - predictedMs > MIN_EVICTION_DELAY_MS &&
    firstTokenMs * firstTokenMs > predictedMs * coldMs;
  return firstTokenMs / (wasEvicted ? coldMs : predictedMs);
}

// What the engine tells of its cache is exact, and late: it comes with the end of the answer. A prefix placed there just
// before may not have been prefilled yet; that it was not cached says nothing of the cache's size.
function learnCachedTokens(held: HeldAttempt, cachedTokens: number): void {
  const expectedTokens = held.promptTokens - held.coldTokens;
  if (expectedTokens < MIN_JUDGED_PREFIX_TOKENS) return;
  if (held.prefixAgeMs < PREFIX_SETTLE_MS) return;
  if (cachedTokens < expectedTokens / 2) {
    held.upstream.cachedPrefixes.recordMiss();
  } else held.upstream.cachedPrefixes.recordHit();
}
