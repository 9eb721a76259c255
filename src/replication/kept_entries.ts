/**
 * What stays in force for a while although the store, which came back from an older copy, says otherwise.
 *
 * @module
 */

/**
 * How long after the store came back from an older copy neither a missing entry nor one that was deleted before counts.
 * Operators and upstreams write theirs again meanwhile: upstreams with each heartbeat, about every 1.2 s, and the entry
 * of one that is gone expires after three of these. The rest is for reading the store and for telling other VMs.
 */
export const KEEP_MS = 5_000;
/** How long a deletion is remembered; a store comes back as it was some seconds before. */
const REMEMBER_MS = 60_000;

/** Keeps missing entries in force, and entries that were deleted out of it, until {@link KEEP_MS} are over. */
export class KeptEntries {
  /** Keys that the store has lost, with the time until which they stay in force. */
  readonly #lostUntilMs = new Map<string, number>();
  /** Entries that the store has again although they were deleted, with the time from which they count. */
  readonly #returnedUntilMs = new Map<string, number>();
  /** When keys were deleted. */
  readonly #deletedMs = new Map<string, number>();

  /** Notes that the store no longer holds a key since it came back. Returns whether the entry stays in force. */
  noteLost(key: string, restoredMs: number, nowMs: number): boolean {
    this.#returnedUntilMs.delete(key);
    if (nowMs >= restoredMs + KEEP_MS) return false;
    this.#lostUntilMs.set(key, restoredMs + KEEP_MS);
    return true;
  }

  /** Notes that the store holds a key again since it came back. Returns whether the entry counts already. */
  noteReturned(key: string, restoredMs: number, nowMs: number): boolean {
    this.#lostUntilMs.delete(key);
    const deletedMs = this.#deletedMs.get(key) ?? -Infinity;
    const isDeleted = nowMs - deletedMs < REMEMBER_MS;
    if (!isDeleted || nowMs >= restoredMs + KEEP_MS) return true;
    this.#returnedUntilMs.set(key, restoredMs + KEEP_MS);
    return false;
  }

  /** Notes that somebody wrote a key. */
  noteWritten(key: string): void {
    this.#lostUntilMs.delete(key);
    this.#returnedUntilMs.delete(key);
    this.#deletedMs.delete(key);
  }

  /** Notes that somebody deleted a key. */
  noteDeleted(key: string, nowMs: number): void {
    this.#lostUntilMs.delete(key);
    this.#returnedUntilMs.delete(key);
    this.#deletedMs.set(key, nowMs);
  }

  /** Whether the store holds a key again that was deleted, and the entry does not count yet. */
  isReturned(key: string): boolean {
    return this.#returnedUntilMs.has(key);
  }

  /** Takes the keys whose time is over: those that are lost for good, and those that count again. */
  takeDue(
    nowMs: number,
  ): { readonly lost: string[]; readonly returned: string[] } {
    for (const [key, deletedMs] of this.#deletedMs) {
      if (nowMs - deletedMs >= REMEMBER_MS) this.#deletedMs.delete(key);
    }
    return {
      lost: takeDueKeys(this.#lostUntilMs, nowMs),
      returned: takeDueKeys(this.#returnedUntilMs, nowMs),
    };
  }

  dump(): unknown {
    return {
      lost: [...this.#lostUntilMs.keys()],
      returned: [...this.#returnedUntilMs.keys()],
    };
  }
}

function takeDueKeys(untilMs: Map<string, number>, nowMs: number): string[] {
  const due = [...untilMs].filter(([, ms]) => nowMs >= ms)
    .map(([key]) => key);
  for (const key of due) untilMs.delete(key);
  return due;
}
