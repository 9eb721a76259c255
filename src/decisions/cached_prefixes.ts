/**
 * Belief of which prompt prefixes an upstream has cached.
 *
 * @module
 */

/** Prefix blocks remembered for one upstream at the start and at most, some 200 KB; and at least. */
const MAX_BLOCKS = 2048;
const MIN_BLOCKS = 64;
/**
 * Factors of the bound when a belief proves wrong, and when one proves right: it settles where one in twenty is wrong,
 * near what the engine's cache holds, which nobody tells the lead.
 */
const MISS_FACTOR = 0.9;
const HIT_FACTOR = 1.005;
/** A belief not renewed for this long counts nothing: the engine has evicted it, or will soon. */
const PREFIX_TTL_MS = 300_000;

/**
 * The prefixes placed on one upstream, least recently used first. The lead sees no eviction, so belief ends by age and
 * by the bound, and is taken back when a first token comes as late as a cold one would.
 */
export class CachedPrefixes {
  readonly #seenAtMs = new Map<number, number>();
  #maxBlocks = MAX_BLOCKS;

  /** Leading blocks of the prompt believed cached. A prefix implies its own prefixes, so the search is binary. */
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

  /** The prompt was placed here: its blocks are, or will be, cached. Longest first, so that its tail is evicted first. */
  touch(hashes: readonly number[], nowMs: number): void {
    for (let i = hashes.length - 1; i >= 0; i--) {
      this.#seenAtMs.delete(hashes[i]);
      this.#seenAtMs.set(hashes[i], nowMs);
    }
    this.#evict();
  }

  /** A prompt believed warm turned out cold: it was evicted, and what was used before it surely was too. */
  recordMiss(): void {
    this.#maxBlocks = Math.max(MIN_BLOCKS, this.#maxBlocks * MISS_FACTOR);
    this.#evict();
  }

  /** A prompt believed warm was warm. */
  recordHit(): void {
    this.#maxBlocks = Math.min(MAX_BLOCKS, this.#maxBlocks * HIT_FACTOR);
  }

  /** How long ago a block was last placed here. */
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
