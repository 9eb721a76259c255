/**
 * Predicts how long a queued request waits: the measured drain rate of a pool, and a correction learnt from earlier
 * forecasts.
 *
 * @module
 */

/**
 * Length of one measurement of the rate: long enough to cover several requests, short enough to notice a lost upstream.
 */
const RATE_WINDOW_MS = 1000;
const RATE_GAIN = 0.3;
/**
 * Bounds of the measured rate, as a multiple of the nominal rate: one idle or lucky second says little about the pool.
 */
const RATE_FACTOR_RANGE = { min: 0.2, max: 3 };
/** Measures how fast a pool starts queued work, as a multiple of its nominal rate. */
export class DrainRate {
  #factor = 1;
  #windowStartMs = 0;
  #grantedWork = 0;
  #expectedWork = 0;
  #atMs = 0;

  /** Counts work that was granted while more was queued. */
  recordGrant(work: number): void {
    this.#grantedWork += work;
  }

  /**
   * Advances to `nowMs`; the upstreams had this nominal rate since the last call. Only time with a queue is measured:
   * without a queue, the pool starts what arrives, which may be less than it could start.
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

  /** Returns the work that upstreams of this nominal rate start per ms. */
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

/** Share of the admitted requests whose wait should stay within the forecast. */
const COVERED_SHARE = 0.9;
/**
 * Step of the correction per observation: 16 waits above the forecast double it, and 139 within the forecast halve it.
 */
const CORRECTION_GAIN = 0.05;
const CORRECTION_RANGE = { min: 0.7, max: 5 };
/** Added to both waits before their ratio is taken, because ratios of short waits are mostly noise. */
const RATIO_OFFSET_MS = 1000;

/**
 * Corrects forecast waits by comparing earlier forecasts with the actual waits. This matters in saturation, where
 * priority, fairness and cached prefixes change the order after a forecast. A forecast that is right on average would
 * admit borderline requests half of which wait for seconds and are then refused, so the correction follows a high
 * quantile and not the mean.
 */
export class WaitCorrection {
  #factor = 1;

  /** Returns the corrected forecast for a raw wait. */
  correct(rawMs: number): number {
    return rawMs * this.#factor;
  }

  /** Records that a request with this raw forecast waited for `waitedMs`, or longer if it was given up. */
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
