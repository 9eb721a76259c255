/**
 * Lets a busy process begin its requests one at a time, and look at its sockets in between.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";

/** Weight of the newest turn in the mean. */
const NEWEST_TURN_WEIGHT = 0.2;

/**
 * A process that begins all requests that it has read before it looks at its sockets again is away from them for seconds
 * when there are many: it sends on what its callers have given up meanwhile, and answers nobody in time. Beginning one in
 * each turn of the loop keeps turns short; what is under way goes first, and what can't begin soon is refused at once.
 */
export class StartQueue {
  readonly #clock: Clock;
  #waiting: (() => void)[] = [];
  #isRunning = false;
  #meanTurnMs = 0;
  #turnBeganMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** How long a request that is read now waits until it begins, in ms, going by the last turns. */
  get waitMs(): number {
    return this.#waiting.length * this.#meanTurnMs;
  }

  /** Resolves when the sockets were looked at once more and it is this request's turn. */
  waitTurn(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
      if (this.#isRunning) return;
      this.#isRunning = true;
      this.#turnBeganMs = this.#clock.monoMs();
      // The next look may be the one in which this request was read; the one after it is not.
      setImmediate(() => setImmediate(this.#runNext));
    });
  }

  readonly #runNext = (): void => {
    const nowMs = this.#clock.monoMs();
    this.#meanTurnMs += NEWEST_TURN_WEIGHT *
      (nowMs - this.#turnBeganMs - this.#meanTurnMs);
    this.#turnBeganMs = nowMs;
    this.#waiting.shift()?.();
    if (this.#waiting.length > 0) setImmediate(this.#runNext);
    else this.#isRunning = false;
  };
}
