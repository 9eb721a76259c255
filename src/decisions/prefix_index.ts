/**
 * Which upstreams were lately given a prefix, for pools too large to be looked through.
 *
 * @module
 */

/** Prefix blocks remembered; the oldest are forgotten first. */
const MAX_BLOCKS = 65_536;
/** Upstreams remembered for one block: a popular document is warm at several, and a few give choice enough. */
const MAX_HOLDERS_PER_BLOCK = 4;

/** See the module. A hint only: each upstream's own belief decides what a place is worth. */
export class PrefixIndex<T> {
  readonly #byHash = new Map<number, readonly T[]>();

  /** A prompt of these blocks was placed at an upstream. */
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

  /** Upstreams given the longest known prefix of this prompt. */
  findHolders(hashes: readonly number[]): readonly T[] {
    for (let i = hashes.length - 1; i >= 0; i--) {
      const found = this.#byHash.get(hashes[i]);
      if (found) return found;
    }
    return [];
  }
}
