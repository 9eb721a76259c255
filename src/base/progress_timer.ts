/**
 * Ends an operation that no longer makes progress, however long it may take otherwise.
 *
 * A fixed limit for a transfer whose size grows has a size from which on no try ends in time.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

/** Options of {@link ProgressTimer}. */
export interface ProgressTimerOptions {
  readonly clock: Clock;
  /** Longest time without progress, in ms. */
  readonly mostIdleMs: number;
  /** Longest time in all, in ms: an operation that goes on this slowly had better be begun elsewhere. */
  readonly mostMs: number;
  /** Called once, when either time is over. */
  readonly onStuck: () => void;
}

/** Watches one operation, from its creation until it is closed. */
export class ProgressTimer {
  readonly #options: ProgressTimerOptions;
  readonly #endMonoMs: number;
  #idleEndMonoMs: number;
  #timer: Timer | undefined;

  constructor(options: ProgressTimerOptions) {
    this.#options = options;
    const nowMs = options.clock.monoMs();
    this.#endMonoMs = nowMs + options.mostMs;
    this.#idleEndMonoMs = nowMs + options.mostIdleMs;
    this.#schedule(nowMs);
  }

  /** Notes that the operation went on. */
  noteProgress(): void {
    const { clock, mostIdleMs } = this.#options;
    this.#idleEndMonoMs = clock.monoMs() + mostIdleMs;
  }

  close(): void {
    this.#timer?.close();
    this.#timer = undefined;
  }

  /** A timer that is due looks whether there was progress: that costs less than a new timer for each part. */
  #schedule(nowMs: number): void {
    const { clock, onStuck } = this.#options;
    const dueMs = Math.min(this.#idleEndMonoMs, this.#endMonoMs);
    this.#timer = clock.after(Math.max(1, dueMs - nowMs), () => {
      const laterMs = clock.monoMs();
      const isOver = laterMs >=
        Math.min(this.#idleEndMonoMs, this.#endMonoMs);
      if (isOver) onStuck();
      else this.#schedule(laterMs);
    });
  }
}
