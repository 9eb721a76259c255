/**
 * The upstreams of a pool. An upstream that fails, or is far slower than the others, is ejected: it gets only probes.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { SlotReport } from "./slots.ts";
import { type HeldAttempt, Upstream } from "./upstream.ts";
import { prefillMs } from "./work.ts";

/**
 * Largest share of a pool that is ejected for slowness or failures. An upstream is compared with its peers, and the
 * comparison can be wrong for many at once (a slow link of one VM, a burst of long prompts). Without the limit, the
 * remaining upstreams would be overloaded, look slow in turn and be ejected too. The limit does not apply to
 * unreachable upstreams, because requests placed on them cannot be served.
 */
const MAX_EJECTED_SHARE = 1 / 3;
/**
 * An upstream this many times slower than the pool's median is ejected; one that is less slow only gets fewer requests.
 */
const EJECT_SLOWNESS_RATIO = 4;
/** An ejected upstream returns when a probe shows it at most this many times slower than the median. */
const RECOVERY_SLOWNESS_RATIO = 2;
/** If the prefix saves less prefill time than this, its eviction cannot be told from noise in first-token times. */
const MIN_EVICTION_DELAY_MS = 50;

/** The cache estimate is not judged by expected prefixes with fewer cached tokens than this. */
const MIN_JUDGED_PREFIX_TOKENS = 512;

/** Time after which a placed prompt is in the engine's cache, unless it was evicted. */
const PREFIX_SETTLE_MS = 5000;

/** All upstreams of a pool, with their load and health. */
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

  /** Applies the current rows. What is known of an upstream is kept as long as its row exists, whatever its state. */
  configure(rows: readonly UpstreamRow[]): void {
    const previous = this.#byId;
    this.#byId = new Map();
    for (const row of rows) {
      const upstream = previous.get(row.id) ?? new Upstream(row);
      upstream.row = row;
      upstream.health.resize(row.slots);
      this.#byId.set(row.id, upstream);
    }
    this.#list = [...this.#byId.values()];
    this.#refreshActive();
  }

  /** Returns the upstreams that the lead took out of use because there was too little work. */
  scaledDown(): Upstream[] {
    return this.#list.filter((upstream) =>
      upstream.row.state === "active" && upstream.scaleState !== "awake"
    );
  }

  /** Takes the least used upstream out of use; it is parked once its running attempts have ended. */
  drainOne(): void {
    const leastBusy =
      [...this.#active].sort((a, b) => a.running - b.running)[0];
    if (!leastBusy) return;
    leastBusy.scaleState = "draining";
    this.#refreshActive();
  }

  /** Parks the draining upstreams whose attempts have all ended, and returns them. They lose their caches. */
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

  /**
   * Puts up to `count` upstreams back into use, first those that still run attempts and so keep their cache. Parked
   * ones start with a ramp; they are returned, as they have to be ordered awake.
   */
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

  /** Upstreams that may get new work, whether ejected or not. */
  get active(): readonly Upstream[] {
    return this.#active;
  }

  /** Returns the slots in use and the slots that may be used now. */
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

  /** Share of the slots in use at the last {@link updateHealth}. */
  get utilization(): number {
    return this.#utilization;
  }

  /** Returns the work per ms that the upstreams not ejected can take, by their rows and observed speeds. */
  nominalPerMs(nowMs: number): number {
    let sum = 0;
    for (const { row, health, slowness } of this.#active) {
      const part = health.limit(nowMs) / row.slots;
      sum += (row.prefillTokensPerS / 1000 / slowness) * part;
    }
    return sum;
  }

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
   * Checks every upstream and ejects those that are far slower than the median. When an upstream becomes slow or stops
   * answering, its first tokens are overdue long before a late one is reported, so an overdue attempt already counts as
   * evidence and new work goes elsewhere within a second.
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

  /** Returns the median slowness of the upstreams not ejected. */
  medianSlowness(): number {
    const values = this.#active
      .filter((upstream) => upstream.health.state !== "aside")
      .map((upstream) => upstream.slowness)
      .sort((a, b) => a - b);
    return values[(values.length - 1) >> 1] ?? 1;
  }

  /** Returns the state for operators. */
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
      // A restarted engine has lost its cache. Keeping the estimate would send its earlier prompts to it, where they
      // are now cold.
      upstream.cachedPrefixes.clear();
    }
  }

  #applyOverdue(upstream: Upstream, nowMs: number): void {
    // Without reports of first tokens, every long answer would look overdue.
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
 * Returns how many times later than predicted a first token came. If a cached prefix was expected and the time is
 * closer to that of a cold prefill, the estimate was wrong and the upstream is not slow: the engine had evicted the
 * prefix.
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

// The engine's count of cached tokens is exact but late: it comes with the end of the answer. A prefix placed there
// shortly before may not have been prefilled yet; that it was not cached says nothing about the cache's size.
function learnCachedTokens(held: HeldAttempt, cachedTokens: number): void {
  const expectedTokens = held.promptTokens - held.coldTokens;
  if (expectedTokens < MIN_JUDGED_PREFIX_TOKENS) return;
  if (held.prefixAgeMs < PREFIX_SETTLE_MS) return;
  if (cachedTokens < expectedTokens / 2) {
    held.upstream.cachedPrefixes.recordMiss();
  } else held.upstream.cachedPrefixes.recordHit();
}
