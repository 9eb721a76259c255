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
/**
 * Part of the predicted wait added before it is held against the deadline. Refusing one that would have been in time
 * costs one answer now; admitting one that will be late costs the same answer later, after it has waited in vain.
 */
export const WAIT_MARGIN = 0.1;

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
