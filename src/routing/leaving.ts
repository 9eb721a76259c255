/**
 * Which upstreams said in their answers that they are about to stop.
 *
 * @module
 */

/** Most upstreams that one message names: about 120 bytes, as a VM sends a dozen messages a second. */
const MAX_ANNOUNCED = 4;
/** How long one is remembered after its entry is gone; a store that is restored from a copy may list it once more. */
const FORGET_MS = 600_000;

/**
 * The upstreams that said that they leave, by {@link UpstreamRecord.key}. Neither an entry that still says "ready" nor
 * silence takes that back: only another start of the process, which has another key.
 */
export class LeavingUpstreams {
  readonly #sinceMs = new Map<string, number>();

  /** Notes that an upstream leaves. Returns whether that is news. */
  note(key: string, nowMs: number): boolean {
    if (this.#sinceMs.has(key)) return false;
    this.#sinceMs.set(key, nowMs);
    return true;
  }

  has(key: string): boolean {
    return this.#sinceMs.has(key);
  }

  /** The upstreams to tell other VMs of, the latest first: those that `isUnknown` accepts. */
  announced(isUnknown: (key: string) => boolean): string[] {
    if (this.#sinceMs.size === 0) return [];
    return [...this.#sinceMs.keys()].reverse().filter(isUnknown)
      .slice(0, MAX_ANNOUNCED);
  }

  /** Forgets upstreams that left long ago, unless their entries are still there. */
  forget(isListed: (key: string) => boolean, nowMs: number): void {
    for (const [key, sinceMs] of this.#sinceMs) {
      if (isListed(key)) this.#sinceMs.set(key, nowMs);
      else if (nowMs - sinceMs >= FORGET_MS) this.#sinceMs.delete(key);
    }
  }
}
