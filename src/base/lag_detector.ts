/**
 * Finds out that this process was late a moment ago: busy, or without a processor.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

const TICK_MS = 50;
/** A beat that comes later than this shows a process that sees things after they have passed. */
const LATE_MS = 100;
/** What had to wait is handled within this time after the process runs again. */
const LAG_KEPT_MS = 500;

/** See the module. */
export class LagDetector {
  readonly #clock: Clock;
  readonly #timer: Timer;
  #tickMonoMs: number;
  #lateMonoMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#tickMonoMs = clock.monoMs();
    this.#timer = clock.every(TICK_MS, () => {
      this.#check();
      this.#tickMonoMs = this.#clock.monoMs();
    });
  }

  /** Whether what this process sees now may have happened well before. */
  get wasLate(): boolean {
    this.#check();
    return this.#clock.monoMs() - this.#lateMonoMs < LAG_KEPT_MS;
  }

  close(): void {
    this.#timer.close();
  }

  #check(): void {
    const nowMs = this.#clock.monoMs();
    if (nowMs - this.#tickMonoMs > TICK_MS + LATE_MS) this.#lateMonoMs = nowMs;
  }
}
