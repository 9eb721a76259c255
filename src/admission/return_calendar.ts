/**
 * Return times that were given out, laid out so that callers return one after the other.
 *
 * @module
 */

/** Callers return at most this much later; a forecast for a later time says little. */
export const MAX_DELAY_MS = 60_000;
/** Width of a bucket of the calendar: the shortest delay that a caller is told. */
const BUCKET_MS = 50;
/** Returns may be spaced by up to the longest delay, so a return's interval may end this much later. */
const BUCKETS = 2 * MAX_DELAY_MS / BUCKET_MS + 2;
/** The fraction of the golden ratio, whose multiples modulo 1 are spread evenly for any number of them. */
const GOLDEN_FRACTION = 0.6180339887498949;

/**
 * A calendar of return times in buckets, which are reused as time advances. A return takes an interval of its own, the
 * inverse of the rate at which callers should return. Returns for which no interval is left are spread evenly over a
 * window instead.
 */
export class ReturnCalendar {
  /** By bucket: the part from its start that is taken by intervals, in ms. */
  readonly #takenMs = new Float64Array(BUCKETS);
  /** By bucket: the number of returns in it. */
  readonly #returns = new Uint32Array(BUCKETS);
  /** Bucket of the present, counted from time 0. */
  #first = 0;

  /** Forgets the returns before `nowMs`. Times passed to the other methods are not before it. */
  advance(nowMs: number): void {
    const first = Math.floor(nowMs / BUCKET_MS);
    const begin = Math.max(this.#first, first - BUCKETS);
    for (let bucket = begin; bucket < first; bucket++) {
      this.#takenMs[bucket % BUCKETS] = 0;
      this.#returns[bucket % BUCKETS] = 0;
    }
    this.#first = Math.max(this.#first, first);
  }

  /**
   * Takes the first free interval that starts between two times. Returns its start, or `undefined` if there is none.
   */
  takeInterval(
    fromMs: number,
    toMs: number,
    intervalMs: number,
  ): number | undefined {
    let atMs = fromMs;
    while (atMs <= toMs) {
      const takenUntilMs = this.#takenUntilMs(atMs, atMs + intervalMs);
      if (takenUntilMs === undefined) {
        this.#take(atMs, atMs + intervalMs);
        return atMs;
      }
      atMs = takenUntilMs;
    }
    return undefined;
  }

  /** Takes a time between two others, in the bucket with the fewest returns. */
  takeLeastUsed(fromMs: number, toMs: number): number {
    const last = Math.floor(toMs / BUCKET_MS);
    let best = Math.floor(fromMs / BUCKET_MS);
    for (let bucket = best + 1; bucket <= last; bucket++) {
      if (this.#returnsIn(bucket) < this.#returnsIn(best)) best = bucket;
    }
    const beginMs = Math.max(fromMs, best * BUCKET_MS);
    const endMs = Math.min(toMs, (best + 1) * BUCKET_MS);
    const share = this.#returnsIn(best) * GOLDEN_FRACTION % 1;
    this.#returns[best % BUCKETS]++;
    return beginMs + (endMs - beginMs) * share;
  }

  #returnsIn(bucket: number): number {
    return this.#returns[bucket % BUCKETS];
  }

  /** The end of the last taken part between two times, if it lies after the first of them. */
  #takenUntilMs(fromMs: number, toMs: number): number | undefined {
    const begin = Math.floor(fromMs / BUCKET_MS);
    for (
      let bucket = Math.ceil(toMs / BUCKET_MS) - 1;
      bucket >= begin;
      bucket--
    ) {
      const takenMs = this.#takenMs[bucket % BUCKETS];
      const endMs = bucket * BUCKET_MS + takenMs;
      if (takenMs > 0 && endMs > fromMs) return endMs;
    }
    return undefined;
  }

  #take(fromMs: number, toMs: number): void {
    const begin = Math.floor(fromMs / BUCKET_MS);
    this.#returns[begin % BUCKETS]++;
    for (let bucket = begin; bucket * BUCKET_MS < toMs; bucket++) {
      this.#takenMs[bucket % BUCKETS] = Math.min(
        BUCKET_MS,
        toMs - bucket * BUCKET_MS,
      );
    }
  }
}
