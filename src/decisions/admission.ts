/**
 * Admission: how long a request will wait, and whether that is too long.
 *
 * @module
 */

/** Half-life of the measured rate: long enough to hold several requests, short enough to see a lost upstream. */
const RATE_WINDOW_MS = 1000;
const RATE_GAIN = 0.3;
/** Bounds of the measured rate as a multiple of the nominal one: an idle or a lucky second proves little. */
const RATE_RANGE = { least: 0.2, most: 3 };
/** Measures how fast a pool starts queued work. */
export class DrainRate {
  #factor = 1;
  #windowFromMs = 0;
  #granted = 0;
  #expected = 0;
  #atMs = 0;

  /** Work was granted while more was queued. */
  granted(work: number): void {
    this.#granted += work;
  }

  /**
   * Time passes with `nominalPerMs` to spend. Only time with a queue tells the rate: without one, the pool starts what
   * comes, not what it could.
   */
  pass(nominalPerMs: number, busy: boolean, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    if (!busy) {
      this.#reset(nowMs);
      return;
    }
    this.#expected += nominalPerMs * passedMs;
    if (nowMs - this.#windowFromMs < RATE_WINDOW_MS) return;
    if (this.#expected > 0) {
      const seen = this.#granted / this.#expected;
      const bounded = Math.min(
        RATE_RANGE.most,
        Math.max(RATE_RANGE.least, seen),
      );
      this.#factor += RATE_GAIN * (bounded - this.#factor);
    }
    this.#reset(nowMs);
  }

  /** Work started in a ms when upstreams of this nominal rate are at hand. */
  perMs(nominalPerMs: number): number {
    return Math.max(1e-6, nominalPerMs * this.#factor);
  }

  get factor(): number {
    return this.#factor;
  }

  #reset(nowMs: number): void {
    this.#windowFromMs = nowMs;
    this.#granted = 0;
    this.#expected = 0;
  }
}

/** Part of the admitted requests whose wait is to stay within the forecast. */
const COVERED = 0.9;
/** Step of the correction at each observation: some fifty of them move it by a factor of two. */
const BIAS_GAIN = 0.05;
const BIAS_RANGE = { least: 0.7, most: 5 };
/** Added to both sides of a ratio of waits, as ratios of small waits mean nothing. */
const BIAS_FLOOR_MS = 1000;

/**
 * Corrects forecasts of waits by what waits turned out to be. Made for saturation: order changes after a forecast, by
 * priority, fairness and warmth. A forecast right on average admits half of its border cases in vain, and these wait
 * for seconds to be refused at last; so the correction follows a high quantile and not the mean.
 */
export class WaitBias {
  #factor = 1;

  /** What a forecast of this raw wait ought to say. */
  corrected(rawMs: number): number {
    return rawMs * this.#factor;
  }

  /** A request of this raw forecast waited so long, or longer if it was given up. */
  learn(rawMs: number, waitedMs: number): void {
    const ratio = (waitedMs + BIAS_FLOOR_MS) / (rawMs + BIAS_FLOOR_MS);
    const step = ratio > this.#factor
      ? 1 + BIAS_GAIN * COVERED
      : 1 - BIAS_GAIN * (1 - COVERED);
    this.#factor = Math.min(
      BIAS_RANGE.most,
      Math.max(BIAS_RANGE.least, this.#factor * step),
    );
  }
}
