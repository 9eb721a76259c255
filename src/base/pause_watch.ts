/**
 * Finds out that this process was paused: frozen by its host, or its event loop held up.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

/** Shorter than it takes others to declare a VM dead: whoever was away for longer may have been replaced. */
export const PAUSE_MS = 1500;

const BEAT_MS = 250;

/**
 * A paused VM wakes with its old state and with old messages in its sockets, and acts on both as if no time had passed.
 * It must notice before it handles the first message, when no timer has run yet; so the question is asked, not told.
 */
export class PauseWatch {
  readonly #clock: Clock;
  readonly #timer: Timer;
  #beatMonoMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#beatMonoMs = clock.monoMs();
    this.#timer = clock.every(BEAT_MS, () => {
      // A pause that nobody has asked about yet stays visible until somebody has.
      if (!this.#isLong()) this.#beatMonoMs = this.#clock.monoMs();
    });
  }

  /** Whether there was a pause since this was last asked. */
  takePause(): boolean {
    if (!this.#isLong()) return false;
    this.#beatMonoMs = this.#clock.monoMs();
    return true;
  }

  close(): void {
    this.#timer.close();
  }

  #isLong(): boolean {
    return this.#clock.monoMs() - this.#beatMonoMs > PAUSE_MS;
  }
}
