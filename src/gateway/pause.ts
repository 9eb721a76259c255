/**
 * A pause of a request that waits for a place, which can be ended early.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";

/** A pause that can be ended early. */
export class Pause {
  #end: (() => void) | undefined;

  /** Waits until a time on the monotonic clock, or until {@link Pause.end} is called. */
  wait(clock: Clock, untilMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = clock.after(Math.max(1, untilMs - clock.monoMs()), resolve);
      this.#end = () => {
        timer.close();
        resolve();
      };
    });
  }

  /** Ends the pause that is under way, if any. */
  end(): void {
    this.#end?.();
  }
}
