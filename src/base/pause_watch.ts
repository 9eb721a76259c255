/**
 * Measures pauses of this process, for state that must not outlive one.
 *
 * @module
 */

import type { Clock } from "./clock.ts";

/** A time in which this process did nothing. */
export interface ProcessPause {
  /** Bounds of the pause on the monotonic clock, which may stand still while a machine is suspended. */
  readonly fromMs: number;
  readonly toMs: number;
  /** The longer of the times that the two clocks show. */
  readonly lengthMs: number;
}

/** Finds pauses by the gaps between the calls of its user, so that a pause is known before what follows is decided. */
export class PauseWatch {
  readonly #clock: Clock;
  readonly #minPauseMs: number;
  #monoMs: number;
  #wallMs: number;

  /** Its user calls `note` much more often than every `minPauseMs`. */
  constructor(clock: Clock, minPauseMs: number) {
    this.#clock = clock;
    this.#minPauseMs = minPauseMs;
    this.#monoMs = clock.monoMs();
    this.#wallMs = clock.nowMs();
  }

  /** Returns the pause since the last call, if there was one. */
  note(): ProcessPause | undefined {
    const fromMs = this.#monoMs;
    const toMs = this.#clock.monoMs();
    const wallMs = this.#clock.nowMs();
    const lengthMs = Math.max(toMs - fromMs, wallMs - this.#wallMs);
    this.#monoMs = toMs;
    this.#wallMs = wallMs;
    return lengthMs >= this.#minPauseMs
      ? { fromMs, toMs, lengthMs }
      : undefined;
  }
}
