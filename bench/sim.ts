/**
 * Virtual time. Events run in order of time; events of the same time run in the order in which they were scheduled.
 *
 * @module
 */

import TinyQueue from "tinyqueue";

interface SimEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Runs scheduled events and advances the virtual clock. */
export class Sim {
  nowMs = 0;
  #nextSequence = 0;
  readonly #events = new TinyQueue<SimEvent>(
    [],
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );

  after(delayMs: number, run: () => void): void {
    this.#events.push({
      atMs: this.nowMs + delayMs,
      sequence: this.#nextSequence++,
      run,
    });
  }
  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.#events.peek();
      if (!next || next.atMs > endMs) break;
      this.#events.pop();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }
}
