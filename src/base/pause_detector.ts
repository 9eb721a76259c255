/**
 * Finds out that this process was paused: frozen by its host, or its event loop held up.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

/** Shorter than it takes others to declare a VM dead: whoever was away for longer may have been replaced. */
export const MIN_PAUSE_MS = 1500;

const TICK_MS = 250;

/**
 * A paused VM wakes with its old state and with old messages in its sockets, and acts on both as if no time had passed.
 * It must notice before it handles the first message, when no timer has run yet; so the question is asked, not told.
 */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #timer: Timer;
  #tickMonoMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#tickMonoMs = clock.monoMs();
    this.#timer = clock.every(TICK_MS, () => {
      // A pause that nobody has asked about yet stays visible until somebody has.
      if (!this.#isPaused()) this.#tickMonoMs = this.#clock.monoMs();
    });
  }

  /** Whether there was a pause since this was last asked. */
  consumePause(): boolean {
    if (!this.#isPaused()) return false;
    this.#tickMonoMs = this.#clock.monoMs();
    return true;
  }

  close(): void {
    this.#timer.close();
  }

  #isPaused(): boolean {
    return this.#clock.monoMs() - this.#tickMonoMs > MIN_PAUSE_MS;
  }
}
