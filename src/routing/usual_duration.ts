/**
 * Estimates how long the calls of each route usually take at most.
 *
 * @module
 */

/** Weights of the newest duration in the mean and in the mean deviation; those of a TCP retransmission timeout. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Mean deviations above the mean within which nearly all calls end. */
const DEVIATIONS = 4;
/** Routes that are remembered; a configuration has fewer. */
const MAX_ROUTES = 1_000;

interface Estimate {
  meanMs: number;
  deviationMs: number;
}

/** Follows the durations of calls by route. */
export class UsualDurations {
  readonly #estimates = new Map<string, Estimate>();

  /** Notes that a call took `ms`. */
  note(route: string, ms: number): void {
    const estimate = this.#estimates.get(route);
    if (!estimate) return this.#add(route, ms);
    const errorMs = ms - estimate.meanMs;
    estimate.meanMs += MEAN_WEIGHT * errorMs;
    estimate.deviationMs += DEVIATION_WEIGHT *
      (Math.abs(errorMs) - estimate.deviationMs);
  }

  /** Returns the time in ms within which nearly all calls of a route end; 0 if none is known. */
  usualMs(route: string): number {
    const estimate = this.#estimates.get(route);
    if (!estimate) return 0;
    return estimate.meanMs + DEVIATIONS * estimate.deviationMs;
  }

  #add(route: string, ms: number): void {
    if (this.#estimates.size >= MAX_ROUTES) this.#forgetOldest();
    this.#estimates.set(route, { meanMs: ms, deviationMs: ms / 2 });
  }

  #forgetOldest(): void {
    const [oldest] = this.#estimates.keys();
    this.#estimates.delete(oldest);
  }
}
