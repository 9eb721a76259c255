/**
 * Release: how many upstreams a pool needs now, so that idle ones can be parked and woken by orders.
 *
 * @module
 */

import type { ServiceRow } from "../agreement/mod.ts";

/** Averages of demand: the slow one is a quiet hour's, the fast one sees a burst begin. */
const FAST_AVERAGE_MS = 3000;
const SLOW_AVERAGE_MS = 20_000;
/**
 * Part of an upstream's nominal rate that it is planned to be used at, where only cost weighs and where only latency
 * does. Above the first, first tokens wait for prefills of others; below the second, nothing is gained any more.
 */
const COST_TARGET_UTILIZATION = 0.8;
const LATENCY_TARGET_UTILIZATION = 0.4;
/** Upstreams kept beyond the need: a burst must find room while others wake. */
const RESERVE_SHARE = 0.1;
/** Time for which one upstream too many must have been awake before it is parked: waking costs its cache. */
const PARK_DELAY_MS = 5000;
/** Queue that wakes an upstream at once, whatever the averages say. */
const WAKE_QUEUE_MS = 200;
/** Between two wakings for a queue, as the first needs a moment to help. */
const MIN_WAKE_INTERVAL_MS = 1000;

/** What the plan is made on. */
export interface ScalingView {
  readonly service: ServiceRow | undefined;
  /** Upstreams that get work, and those parked or about to be. */
  readonly awake: number;
  readonly parked: number;
  /** Nominal rate of one upstream, in work a ms. */
  readonly perUpstreamPerMs: number;
  /** Wait of what is queued. */
  readonly waitMs: number;
  readonly nowMs: number;
}

/** What to do: park one, wake some, or nothing. */
export type ScalingStep =
  | { readonly type: "park" }
  | { readonly type: "wake"; readonly count: number }
  | { readonly type: "keep" };

const KEEP: ScalingStep = { type: "keep" };

/** See the module. Made for nights: demand halves, and an upstream without work is paid for all the same. */
export class Autoscaler {
  #fastPerMs = 0;
  #slowPerMs = 0;
  #grantedWork = 0;
  #averagedAtMs?: number;
  #spareSinceMs?: number;
  #wokenAtMs = -Infinity;

  /** Work was granted. */
  recordGrant(work: number): void {
    this.#grantedWork += work;
  }

  /** The next step. Without a weight on cost nothing is parked, and what is parked is woken. */
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
    // One at a time: what is left must show that it copes before the next goes.
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
