/**
 * Clocks for tasks, which tests can control. Decisions never read a clock; they get `nowMs` as an argument.
 *
 * @module
 */

/** A timer that can be stopped. */
export interface Timer {
  close(): void;
}

/** A source of time and timers: {@link systemClock} in processes, {@link ManualClock} in tests. */
export abstract class Clock {
  /** Wall-clock time in ms since the epoch, for deadlines that are sent to other processes. */
  abstract nowMs(): number;
  /** Monotonic time in ms, for promises and leases held inside this process. */
  abstract monoMs(): number;
  /** Calls `run` once, `delayMs` from now. */
  abstract after(delayMs: number, run: () => void): Timer;
  /** Calls `run` every `periodMs` until closed. */
  abstract every(periodMs: number, run: () => void): Timer;

  /** Resolves after `delayMs`. */
  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }
}

/** Longest time that Node.js waits; a timer for longer would be due at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

class SystemClock extends Clock {
  nowMs(): number {
    return Date.now();
  }
  monoMs(): number {
    return performance.now();
  }
  after(delayMs: number, run: () => void): Timer {
    const timer = setTimeout(run, Math.min(delayMs, MAX_TIMER_MS));
    return { close: () => clearTimeout(timer) };
  }
  every(periodMs: number, run: () => void): Timer {
    const timer = setInterval(run, Math.min(periodMs, MAX_TIMER_MS));
    return { close: () => clearInterval(timer) };
  }
}

/** The machine's clocks. */
export const systemClock: Clock = new SystemClock();

interface PendingTimer {
  dueMs: number;
  readonly run: () => void;
  readonly periodMs?: number;
}

/** A clock that moves only when {@link ManualClock.advance} is called. */
export class ManualClock extends Clock {
  #nowMs: number;
  #pending: PendingTimer[] = [];

  constructor(startMs = 1_700_000_000_000) {
    super();
    this.#nowMs = startMs;
  }
  nowMs(): number {
    return this.#nowMs;
  }
  monoMs(): number {
    return this.#nowMs;
  }
  after(delayMs: number, run: () => void): Timer {
    return this.#add({ dueMs: this.#nowMs + delayMs, run });
  }
  every(periodMs: number, run: () => void): Timer {
    return this.#add({ dueMs: this.#nowMs + periodMs, run, periodMs });
  }
  /** Advances time by `ms`; runs the timers that become due, in order, and lets promises settle in between. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    for (;;) {
      await settle();
      const next = this.#findNextDue(endMs);
      if (!next) break;
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      if (next.periodMs) next.dueMs += next.periodMs;
      else this.#pending = this.#pending.filter((p) => p !== next);
      next.run();
    }
    this.#nowMs = endMs;
    await settle();
  }
  #findNextDue(endMs: number): PendingTimer | undefined {
    let earliest: PendingTimer | undefined;
    for (const p of this.#pending) {
      if (p.dueMs <= endMs && (!earliest || p.dueMs < earliest.dueMs)) {
        earliest = p;
      }
    }
    return earliest;
  }
  #add(pending: PendingTimer): Timer {
    this.#pending.push(pending);
    return {
      close: () =>
        void (this.#pending = this.#pending.filter((p) => p !== pending)),
    };
  }
}

/** Lets queued microtasks and immediates run. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
