/**
 * Brings this VM's copy of the upstreams' entries and of the configuration up to date for streams that can't wait for
 * the next poll.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";

/** Least time between two calls. */
const MIN_INTERVAL_MS = 50;
/** Share of the reads that the store allows to all VMs together. */
const READ_SHARE = 0.4;
/** Reads of one refresh. */
const READS_PER_REFRESH = 2;

/** Options of {@link EntryRefresh}. */
export interface EntryRefreshOptions {
  /** Asks the store; resolves to whether the copy was the store's at a moment since the call. */
  readonly refresh: () => Promise<boolean>;
  /** Read calls a second that the store allows to all VMs together. */
  readonly readsPerS: number;
  /** Number of VMs that share them; a VM that has just started has not heard of all others. */
  readonly sharerCount: () => number;
  readonly clock: Clock;
}

/** Asks the store for all streams that wait, in one call. */
export class EntryRefresh {
  readonly #options: EntryRefreshOptions;
  #askedMs = -Infinity;
  /** The call that has not begun yet. */
  #next: Promise<boolean> | undefined;

  constructor(options: EntryRefreshOptions) {
    this.#options = options;
  }

  /** Resolves to whether the copy was the store's at a moment since this call; `false` if that takes too long. */
  async run(timeoutMs: number): Promise<boolean> {
    // A call that is under way may have been answered before.
    this.#next ??= this.#ask();
    const isLate = this.#options.clock.sleep(timeoutMs).then(() => false);
    return await Promise.race([this.#next, isLate]);
  }

  get #intervalMs(): number {
    const { sharerCount, readsPerS } = this.#options;
    const fairMs = 1_000 * READS_PER_REFRESH * sharerCount() /
      (READ_SHARE * readsPerS);
    return Math.max(MIN_INTERVAL_MS, fairMs);
  }

  async #ask(): Promise<boolean> {
    const { clock, refresh } = this.#options;
    const dueMs = this.#askedMs + this.#intervalMs;
    await clock.sleep(Math.max(0, dueMs - clock.monoMs()));
    this.#next = undefined;
    this.#askedMs = clock.monoMs();
    return await refresh();
  }
}
