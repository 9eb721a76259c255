/**
 * Finds out that this process was late a moment ago: busy, or without a processor.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

const BEAT_MS = 50;
/** A beat that comes later than this shows a process that sees things after they have passed. */
const LATE_MS = 100;
/** What had to wait is handled within this time after the process runs again. */
const RECENT_MS = 500;

/** See the module. */
export class LateWatch {
  readonly #clock: Clock;
  readonly #timer: Timer;
  #beatMonoMs: number;
  #lateMonoMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#beatMonoMs = clock.monoMs();
    this.#timer = clock.every(BEAT_MS, () => {
      this.#look();
      this.#beatMonoMs = this.#clock.monoMs();
    });
  }

  /** Whether what this process sees now may have happened well before. */
  get wasLate(): boolean {
    this.#look();
    return this.#clock.monoMs() - this.#lateMonoMs < RECENT_MS;
  }

  close(): void {
    this.#timer.close();
  }

  #look(): void {
    const nowMs = this.#clock.monoMs();
    if (nowMs - this.#beatMonoMs > BEAT_MS + LATE_MS) this.#lateMonoMs = nowMs;
  }
}
