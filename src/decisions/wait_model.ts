/**
 * Admission: how long a request will wait, and whether that is too long.
 *
 * @module
 */

/** Half-life of the measured rate: long enough to hold several requests, short enough to see a lost upstream. */
const RATE_WINDOW_MS = 1000;
const RATE_GAIN = 0.3;
/** Bounds of the measured rate as a multiple of the nominal one: an idle or a lucky second proves little. */
const RATE_FACTOR_RANGE = { min: 0.2, max: 3 };
/** Measures how fast a pool starts queued work. */
export class DrainRate {
  #factor = 1;
  #windowStartMs = 0;
  #grantedWork = 0;
  #expectedWork = 0;
  #atMs = 0;

  /** Work was granted while more was queued. */
  recordGrant(work: number): void {
    this.#grantedWork += work;
  }

  /**
   * Time passes with `nominalPerMs` to spend. Only time with a queue tells the rate: without one, the pool starts what
   * comes, not what it could.
   */
  advance(nominalPerMs: number, hasQueue: boolean, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    if (!hasQueue) {
      this.#reset(nowMs);
      return;
    }
    this.#expectedWork += nominalPerMs * passedMs;
    if (nowMs - this.#windowStartMs < RATE_WINDOW_MS) return;
    if (this.#expectedWork > 0) {
      const measured = this.#grantedWork / this.#expectedWork;
      const bounded = Math.min(
        RATE_FACTOR_RANGE.max,
        Math.max(RATE_FACTOR_RANGE.min, measured),
      );
      this.#factor += RATE_GAIN * (bounded - this.#factor);
    }
    this.#reset(nowMs);
  }

  /** Work started in a ms when upstreams of this nominal rate are at hand. */
  workPerMs(nominalPerMs: number): number {
    return Math.max(1e-6, nominalPerMs * this.#factor);
  }

  get factor(): number {
    return this.#factor;
  }

  #reset(nowMs: number): void {
    this.#windowStartMs = nowMs;
    this.#grantedWork = 0;
    this.#expectedWork = 0;
  }
}

/** Part of the admitted requests whose wait is to stay within the forecast. */
const COVERED_SHARE = 0.9;
/** Step of the correction at each observation: some fifty of them move it by a factor of two. */
const CORRECTION_GAIN = 0.05;
const CORRECTION_RANGE = { min: 0.7, max: 5 };
/** Added to both sides of a ratio of waits, as ratios of small waits mean nothing. */
const RATIO_OFFSET_MS = 1000;

/**
 * Corrects forecasts of waits by what waits turned out to be. Made for saturation: order changes after a forecast, by
 * priority, fairness and warmth. A forecast right on average admits half of its border cases in vain, and these wait
 * for seconds to be refused at last; so the correction follows a high quantile and not the mean.
 */
export class WaitCorrection {
  #factor = 1;

  /** What a forecast of this raw wait ought to say. */
  correct(rawMs: number): number {
    return rawMs * this.#factor;
  }

  /** A request of this raw forecast waited so long, or longer if it was given up. */
  recordWait(rawMs: number, waitedMs: number): void {
    const ratio = (waitedMs + RATIO_OFFSET_MS) / (rawMs + RATIO_OFFSET_MS);
    const step = ratio > this.#factor
      ? 1 + CORRECTION_GAIN * COVERED_SHARE
      : 1 - CORRECTION_GAIN * (1 - COVERED_SHARE);
    this.#factor = Math.min(
      CORRECTION_RANGE.max,
      Math.max(CORRECTION_RANGE.min, this.#factor * step),
    );
  }
}
