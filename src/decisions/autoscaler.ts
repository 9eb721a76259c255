/**
 * Autoscaling: computes how many upstreams a pool needs now, so that the lead can park idle ones and wake them again.
 *
 * @module
 */

import type { ServiceRow } from "../agreement/mod.ts";

/**
 * Time constants of two averages of demand: the slow one is the level in quiet times, the fast one shows the start of a
 * burst.
 */
const FAST_AVERAGE_MS = 3000;
const SLOW_AVERAGE_MS = 20_000;
/**
 * Target utilization of an upstream's nominal rate, if only cost has a weight and if only latency has. Above the first,
 * first tokens wait for the prefills of other requests; below the second, latency does not improve any more.
 */
const COST_TARGET_UTILIZATION = 0.8;
const LATENCY_TARGET_UTILIZATION = 0.4;
/** Share of upstreams kept awake beyond the need, so that a burst finds room while others wake. */
const RESERVE_SHARE = 0.1;
/** How long at least one upstream must have been unneeded before one is parked, since it wakes without its cache. */
const PARK_DELAY_MS = 5000;
/** A queue wait longer than this wakes an upstream at once, whatever the averages say. */
const WAKE_QUEUE_MS = 200;
/** Shortest time between two upstreams woken because of the queue, as the first takes a moment to shorten the queue. */
const MIN_WAKE_INTERVAL_MS = 1000;

/** The input of {@link Autoscaler.plan}. */
export interface ScalingView {
  readonly service: ServiceRow | undefined;
  /** Upstreams that get work, and those that are parked or draining. */
  readonly awake: number;
  readonly parked: number;
  /** Nominal rate of one upstream, in work per ms. */
  readonly perUpstreamPerMs: number;
  /** Time until all queued work has started. */
  readonly waitMs: number;
  readonly nowMs: number;
}

/** The next step: park one upstream, wake some, or do nothing. */
export type ScalingStep =
  | { readonly type: "park" }
  | { readonly type: "wake"; readonly count: number }
  | { readonly type: "keep" };

const KEEP: ScalingStep = { type: "keep" };

/**
 * Plans how many upstreams stay awake. At night demand falls by half, and an upstream without work costs as much as a
 * busy one.
 */
export class Autoscaler {
  #fastPerMs = 0;
  #slowPerMs = 0;
  #grantedWork = 0;
  #averagedAtMs?: number;
  #spareSinceMs?: number;
  #wokenAtMs = -Infinity;

  /** Counts granted work. */
  recordGrant(work: number): void {
    this.#grantedWork += work;
  }

  /** Returns the next step. Without a weight on cost nothing is parked, and parked upstreams are woken. */
  plan(view: ScalingView): ScalingStep {
    this.#updateAverages(view.nowMs);
    const { costWeight = 0, latencyWeight = 1 } = view.service?.objective ?? {};
    if (costWeight <= 0) return this.#wake(view, view.parked);
    const share = costWeight / (costWeight + latencyWeight);
    const utilization = LATENCY_TARGET_UTILIZATION +
      (COST_TARGET_UTILIZATION - LATENCY_TARGET_UTILIZATION) * share;
    const needed = this.#countNeeded(view, utilization);
    if (needed > view.awake) return this.#wake(view, needed - view.awake);
    if (view.waitMs > WAKE_QUEUE_MS) return this.#wakeForQueue(view);
    return this.#park(view, needed);
  }

  #countNeeded(view: ScalingView, utilization: number): number {
    const demandPerMs = Math.max(this.#fastPerMs, this.#slowPerMs);
    const busyUpstreams = demandPerMs / (view.perUpstreamPerMs * utilization);
    return Math.ceil(busyUpstreams * (1 + RESERVE_SHARE)) + 1;
  }

  #wake(view: ScalingView, count: number): ScalingStep {
    this.#spareSinceMs = undefined;
    const wakeCount = Math.min(count, view.parked);
    return wakeCount > 0 ? { type: "wake", count: wakeCount } : KEEP;
  }

  #wakeForQueue(view: ScalingView): ScalingStep {
    this.#spareSinceMs = undefined;
    if (view.nowMs - this.#wokenAtMs < MIN_WAKE_INTERVAL_MS) return KEEP;
    this.#wokenAtMs = view.nowMs;
    return this.#wake(view, 1);
  }

  #park(view: ScalingView, needed: number): ScalingStep {
    if (view.awake <= needed) {
      this.#spareSinceMs = undefined;
      return KEEP;
    }
    this.#spareSinceMs ??= view.nowMs;
    if (view.nowMs - this.#spareSinceMs < PARK_DELAY_MS) return KEEP;
    // Upstreams are parked one at a time. The rest must be enough for half the delay before the next one is parked.
    this.#spareSinceMs = view.nowMs - PARK_DELAY_MS / 2;
    return { type: "park" };
  }

  #updateAverages(nowMs: number): void {
    const passedMs = nowMs - (this.#averagedAtMs ?? nowMs);
    this.#averagedAtMs = nowMs;
    if (passedMs <= 0) return;
    const perMs = this.#grantedWork / passedMs;
    this.#grantedWork = 0;
    this.#fastPerMs += (1 - Math.exp(-passedMs / FAST_AVERAGE_MS)) *
      (perMs - this.#fastPerMs);
    this.#slowPerMs += (1 - Math.exp(-passedMs / SLOW_AVERAGE_MS)) *
      (perMs - this.#slowPerMs);
  }
}
