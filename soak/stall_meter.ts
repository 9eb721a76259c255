/**
 * Records when the soak's own process stood still: what callers and upstreams saw then, they saw late.
 *
 * @module
 */

const TICK_MS = 50;
const MIN_STALL_MS = 150;

/** A time in which the process ran nothing else than one piece of work, or had no core. */
export interface Stall {
  readonly fromMs: number;
  readonly forMs: number;
}

/** Watches the event loop until it is closed. */
export class StallMeter {
  readonly stalls: Stall[] = [];
  #lastMs = performance.now();
  readonly #timer = setInterval(() => this.#tick(), TICK_MS);

  close(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const nowMs = performance.now();
    const forMs = nowMs - this.#lastMs - TICK_MS;
    if (forMs >= MIN_STALL_MS) {
      this.stalls.push({ fromMs: this.#lastMs, forMs });
    }
    this.#lastMs = nowMs;
  }
}
