/**
 * Detects that this process was paused: frozen by its host, or with a blocked event loop.
 *
 * @module
 */

import type { Clock, Timer } from "./clock.ts";

/**
 * Minimum length of a pause that is detected. It is shorter than the time after which other VMs declare a VM dead, because
 * a VM that was paused for longer may have been replaced.
 */
export const MIN_PAUSE_MS = 1500;

const TICK_MS = 250;

/**
 * Detects pauses of this process. After a pause, a VM has stale state and stale messages in its sockets and would act on
 * both as if no time had passed. It must detect the pause before it handles the first message, when no timer may have run
 * yet. So callers check for a pause instead of being notified.
 */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #timer: Timer;
  #tickMonoMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#tickMonoMs = clock.monoMs();
    this.#timer = clock.every(TICK_MS, () => {
      // A pause stays detectable until a caller has checked for it.
      if (!this.#isPaused()) this.#tickMonoMs = this.#clock.monoMs();
    });
  }

  /** Whether there was a pause since the last call. */
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
