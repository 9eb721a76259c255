/**
 * A clock for tests of processes that are frozen, or get no processor.
 *
 * @module
 */

import { Clock, ManualClock, type Timer } from "../src/base/mod.ts";

/** A clock whose time can pass while its timers don't run. */
export class StallingClock extends Clock {
  readonly inner = new ManualClock(0);
  /** Time that has passed without timers. */
  stalledMs = 0;

  nowMs(): number {
    return this.inner.nowMs() + this.stalledMs;
  }

  monoMs(): number {
    return this.nowMs();
  }

  after(delayMs: number, run: () => void): Timer {
    return this.inner.after(delayMs, run);
  }

  every(periodMs: number, run: () => void): Timer {
    return this.inner.every(periodMs, run);
  }
}
