/**
 * Estimates which prompt prefixes an upstream has cached.
 *
 * @module
 */

/** Bounds of the number of prefix blocks kept for one upstream. It starts at the maximum, which takes some 200 KB. */
const MAX_BLOCKS = 2048;
const MIN_BLOCKS = 64;
/**
 * Factors by which the maximum of kept blocks changes when an expected prefix was not cached, and when it was. The
 * maximum settles where one expectation in twenty is wrong, near the size of the engine's cache, which is not reported
 * to the lead.
 */
const MISS_FACTOR = 0.9;
const HIT_FACTOR = 1.005;
/** A prefix that was not placed again for this long counts as evicted: the engine has evicted it, or will soon. */
const PREFIX_TTL_MS = 300_000;

/**
 * The prefixes placed on one upstream, least recently used first. The lead sees no eviction, so a prefix is dropped by
 * age or when there are too many, and fewer are kept after an expected prefix was found cold.
 */
export class CachedPrefixes {
  readonly #seenAtMs = new Map<number, number>();
  #maxBlocks = MAX_BLOCKS;

  /**
   * Returns how many leading blocks of the prompt are expected to be cached. A cached prefix implies its own prefixes,
   * so the search is binary.
   */
  countMatched(hashes: readonly number[], nowMs: number): number {
    let low = 0;
    let high = hashes.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.#isFresh(hashes[middle - 1], nowMs)) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  /**
   * Records that the prompt was placed here: its blocks are, or will be, cached. The longest is added first, so that
   * the prompt's tail is evicted first.
   */
  touch(hashes: readonly number[], nowMs: number): void {
    for (let i = hashes.length - 1; i >= 0; i--) {
      this.#seenAtMs.delete(hashes[i]);
      this.#seenAtMs.set(hashes[i], nowMs);
    }
    this.#evict();
  }

  /** Records that an expected prefix was not cached: it was evicted, and so probably was what was used before it. */
  recordMiss(): void {
    this.#maxBlocks = Math.max(MIN_BLOCKS, this.#maxBlocks * MISS_FACTOR);
    this.#evict();
  }

  /** Records that an expected prefix was cached. */
  recordHit(): void {
    this.#maxBlocks = Math.min(MAX_BLOCKS, this.#maxBlocks * HIT_FACTOR);
  }

  /** Returns how long ago a block was last placed here. */
  ageMs(hash: number | undefined, nowMs: number): number {
    const seenAtMs = hash === undefined ? undefined : this.#seenAtMs.get(hash);
    return seenAtMs === undefined ? Infinity : nowMs - seenAtMs;
  }

  clear(): void {
    this.#seenAtMs.clear();
  }

  get size(): number {
    return this.#seenAtMs.size;
  }

  #evict(): void {
    for (const oldest of this.#seenAtMs.keys()) {
      if (this.#seenAtMs.size <= this.#maxBlocks) break;
      this.#seenAtMs.delete(oldest);
    }
  }

  #isFresh(hash: number, nowMs: number): boolean {
    const seenAtMs = this.#seenAtMs.get(hash);
    return seenAtMs !== undefined && nowMs - seenAtMs < PREFIX_TTL_MS;
  }
}
