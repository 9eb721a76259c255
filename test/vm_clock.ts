/**
 * The clocks of one simulated VM.
 *
 * @module
 */

import { Clock, type Timer } from "../src/base/mod.ts";

interface PeriodicTimer {
  dueMs: number;
  readonly periodMs: number;
  readonly run: () => void;
}

/** Both clocks of a VM in a simulated world; timers run when the VM does. */
export class VmClock extends Clock {
  /** Time for which the whole machine was suspended: its monotonic clock stood still. */
  suspendedMs = 0;
  readonly #timers = new Set<PeriodicTimer>();
  readonly #worldMs: () => number;

  constructor(worldMs: () => number) {
    super();
    this.#worldMs = worldMs;
  }

  nowMs(): number {
    return this.#worldMs();
  }

  monoMs(): number {
    return this.#worldMs() - this.suspendedMs;
  }

  after(): Timer {
    throw new Error("not simulated");
  }

  every(periodMs: number, run: () => void): Timer {
    const timer = { dueMs: this.monoMs() + periodMs, run, periodMs };
    this.#timers.add(timer);
    return { close: () => void this.#timers.delete(timer) };
  }

  runTimers(): void {
    for (const timer of this.#timers) {
      if (timer.dueMs > this.monoMs()) continue;
      timer.dueMs = this.monoMs() + timer.periodMs;
      timer.run();
    }
  }
}
