/**
 * Belief of which prompt prefixes an upstream has cached.
 *
 * @module
 */

/** Prefix blocks remembered for one upstream at the start and at most, some 200 KB; and at least. */
const MOST_BLOCKS = 2048;
const LEAST_BLOCKS = 64;
/**
 * Factors of the bound when a belief proves wrong, and when one proves right: it settles where one in twenty is wrong,
 * near what the engine's cache holds, which nobody tells the lead.
 */
const SHRINK = 0.9;
const GROW = 1.005;
/** A belief not renewed for this long counts nothing: the engine has evicted it, or will soon. */
const BELIEF_MS = 300_000;

/**
 * The prefixes placed on one upstream, least recently used first. The lead sees no eviction, so belief ends by age and
 * by the bound, and is taken back when a first token comes as late as a cold one would.
 */
export class WarmSet {
  readonly #seenAtMs = new Map<number, number>();
  #bound = MOST_BLOCKS;

  /** Leading blocks of the prompt believed cached. A prefix implies its own prefixes, so the search is binary. */
  matched(hashes: readonly number[], nowMs: number): number {
    let least = 0;
    let most = hashes.length;
    while (least < most) {
      const middle = (least + most + 1) >> 1;
      if (this.#has(hashes[middle - 1], nowMs)) least = middle;
      else most = middle - 1;
    }
    return least;
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
  wasCold(): void {
    this.#bound = Math.max(LEAST_BLOCKS, this.#bound * SHRINK);
    this.#evict();
  }

  /** A prompt believed warm was warm. */
  wasWarm(): void {
    this.#bound = Math.min(MOST_BLOCKS, this.#bound * GROW);
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
      if (this.#seenAtMs.size <= this.#bound) break;
      this.#seenAtMs.delete(oldest);
    }
  }

  #has(hash: number, nowMs: number): boolean {
    const seenAtMs = this.#seenAtMs.get(hash);
    return seenAtMs !== undefined && nowMs - seenAtMs < BELIEF_MS;
  }
}
