/**
 * Detects that this process recently ran late because it was busy or had no processor.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

const TICK_MS = 50;
/** If a timer tick is late by more than this, the process handles events well after they happened. */
const LATE_MS = 100;
/** After a late tick, the events that had to wait are handled within this time. */
const LAG_KEPT_MS = 500;

/** Detects late ticks of a periodic timer. */
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

  /** Whether events that this process handles now may have happened well before. */
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
