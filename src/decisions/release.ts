/**
 * Release: how many upstreams a pool needs now, so that idle ones can be parked and woken by orders.
 *
 * @module
 */

import type { ServiceRow } from "../agreement/mod.ts";

/** Averages of demand: the slow one is a quiet hour's, the fast one sees a burst begin. */
const FAST_MS = 3000;
const SLOW_MS = 20_000;
/**
 * Part of an upstream's nominal rate that it is planned to be used at, where only cost weighs and where only latency
 * does. Above the first, first tokens wait for prefills of others; below the second, nothing is gained any more.
 */
const COST_USE = 0.8;
const LATENCY_USE = 0.4;
/** Upstreams kept beyond the need: a burst must find room while others wake. */
const RESERVE_SHARE = 0.1;
/** Time for which one upstream too many must have been awake before it is parked: waking costs its cache. */
const SPARE_MS = 5000;
/** Queue that wakes an upstream at once, whatever the averages say. */
const WAKE_WAIT_MS = 200;
/** Between two wakings for a queue, as the first needs a moment to help. */
const WAKE_PAUSE_MS = 1000;

/** What the plan is made on. */
export interface ReleaseView {
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
export type ReleaseStep =
  | { readonly type: "park" }
  | { readonly type: "wake"; readonly count: number }
  | { readonly type: "keep" };

const KEEP: ReleaseStep = { type: "keep" };

/** See the module. Made for nights: demand halves, and an upstream without work is paid for all the same. */
export class Release {
  #fast = 0;
  #slow = 0;
  #granted = 0;
  #atMs?: number;
  #spareSinceMs?: number;
  #wokenAtMs = -Infinity;

  /** Work was granted. */
  granted(work: number): void {
    this.#granted += work;
  }

  /** The next step. Without a weight on cost nothing is parked, and what is parked is woken. */
  plan(view: ReleaseView): ReleaseStep {
    this.#average(view.nowMs);
    const { costWeight = 0, latencyWeight = 1 } = view.service?.objective ?? {};
    if (costWeight <= 0) return this.#wake(view, view.parked);
    const share = costWeight / (costWeight + latencyWeight);
    const use = LATENCY_USE + (COST_USE - LATENCY_USE) * share;
    const needed = this.#needed(view, use);
    if (needed > view.awake) return this.#wake(view, needed - view.awake);
    if (view.waitMs > WAKE_WAIT_MS) return this.#wakeForQueue(view);
    return this.#park(view, needed);
  }

  #needed(view: ReleaseView, use: number): number {
    const demandPerMs = Math.max(this.#fast, this.#slow);
    const busy = demandPerMs / (view.perUpstreamPerMs * use);
    return Math.ceil(busy * (1 + RESERVE_SHARE)) + 1;
  }

  #wake(view: ReleaseView, count: number): ReleaseStep {
    this.#spareSinceMs = undefined;
    const most = Math.min(count, view.parked);
    return most > 0 ? { type: "wake", count: most } : KEEP;
  }

  #wakeForQueue(view: ReleaseView): ReleaseStep {
    this.#spareSinceMs = undefined;
    if (view.nowMs - this.#wokenAtMs < WAKE_PAUSE_MS) return KEEP;
    this.#wokenAtMs = view.nowMs;
    return this.#wake(view, 1);
  }

  #park(view: ReleaseView, needed: number): ReleaseStep {
    if (view.awake <= needed) {
      this.#spareSinceMs = undefined;
      return KEEP;
    }
    this.#spareSinceMs ??= view.nowMs;
    if (view.nowMs - this.#spareSinceMs < SPARE_MS) return KEEP;
    // One at a time: what is left must show that it copes before the next goes.
    this.#spareSinceMs = view.nowMs - SPARE_MS / 2;
    return { type: "park" };
  }

  #average(nowMs: number): void {
    const passedMs = nowMs - (this.#atMs ?? nowMs);
    this.#atMs = nowMs;
    if (passedMs <= 0) return;
    const perMs = this.#granted / passedMs;
    this.#granted = 0;
    this.#fast += (1 - Math.exp(-passedMs / FAST_MS)) * (perMs - this.#fast);
    this.#slow += (1 - Math.exp(-passedMs / SLOW_MS)) * (perMs - this.#slow);
  }
}
