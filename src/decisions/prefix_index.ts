/**
 * Index of the upstreams that were recently given a prefix, for pools too large to scan.
 *
 * @module
 */

/** Prefix blocks in the index; the oldest are dropped first. */
const MAX_BLOCKS = 65_536;
/** Upstreams kept per block: a popular document is cached at several, and a few are enough to choose from. */
const MAX_HOLDERS_PER_BLOCK = 4;

/**
 * Maps prefix blocks to upstreams. The result is only a hint: each upstream's own estimate decides how much of the
 * prefix is expected there.
 */
export class PrefixIndex<T> {
  readonly #byHash = new Map<number, readonly T[]>();

  /** Records that a prompt of these blocks was placed on an upstream. */
  add(hashes: readonly number[], upstream: T): void {
    for (const hash of hashes) {
      const others = (this.#byHash.get(hash) ?? [])
        .filter((other) => other !== upstream);
      this.#byHash.delete(hash);
      this.#byHash.set(
        hash,
        [upstream, ...others].slice(0, MAX_HOLDERS_PER_BLOCK),
      );
    }
    for (const oldest of this.#byHash.keys()) {
      if (this.#byHash.size <= MAX_BLOCKS) break;
      this.#byHash.delete(oldest);
    }
  }

  /** Returns the upstreams that were given the longest known prefix of this prompt. */
  findHolders(hashes: readonly number[]): readonly T[] {
    for (let i = hashes.length - 1; i >= 0; i--) {
      const found = this.#byHash.get(hashes[i]);
      if (found) return found;
    }
    return [];
  }
}
