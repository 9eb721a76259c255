/**
 * Lets a busy process start its requests one at a time, and poll its sockets in between.
 *
 * @module
 */

import type { Clock } from "../base/mod.ts";

/** Weight of the newest turn in the moving average. */
const NEWEST_TURN_WEIGHT = 0.2;

/**
 * Starts one request in each turn of the event loop. If a process starts all the requests that it has read before it
 * polls its sockets again, and there are many, it does not poll for seconds. It then sends requests that their callers
 * have given up meanwhile, and answers none in time. One start per turn keeps turns short; requests in progress go
 * first, and those that can't start soon are refused at once.
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

  /** How long a request that is read now waits until it starts, in ms, judging by the last turns. */
  get waitMs(): number {
    return this.#waiting.length * this.#meanTurnMs;
  }

  /** Resolves when the sockets were polled once more and it is this request's turn. */
  waitTurn(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
      if (this.#isRunning) return;
      this.#isRunning = true;
      this.#turnBeganMs = this.#clock.monoMs();
      // The next poll may be the one in which this request was read; the one after it is not.
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
