/**
 * Belief of which prompt prefixes an upstream has cached.
 *
 * @module
 */

/** Prefix blocks remembered for one upstream; more than an engine's cache holds, and about 200 KB here. */
const MOST_BLOCKS = 2048;
/** A belief not renewed for this long counts nothing: the engine has evicted it, or will soon. */
const BELIEF_MS = 300_000;

/**
 * The prefixes placed on one upstream, least recently used first. The lead sees no eviction, so belief ends by age and
 * by the bound, and is taken back when a first token comes as late as a cold one would.
 */
export class WarmSet {
  readonly #seenAtMs = new Map<number, number>();

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
    for (const oldest of this.#seenAtMs.keys()) {
      if (this.#seenAtMs.size <= MOST_BLOCKS) break;
      this.#seenAtMs.delete(oldest);
    }
  }

  /** The prompt turned out cold. */
  forget(hashes: readonly number[]): void {
    for (const hash of hashes) this.#seenAtMs.delete(hash);
  }

  clear(): void {
    this.#seenAtMs.clear();
  }

  get size(): number {
    return this.#seenAtMs.size;
  }

  #has(hash: number, nowMs: number): boolean {
    const seenAtMs = this.#seenAtMs.get(hash);
    return seenAtMs !== undefined && nowMs - seenAtMs < BELIEF_MS;
  }
}
