/**
 * Losses whose cause was not plain at once: an upstream may be back before anybody tries a connection, and only its
 * entry tells later that it has started again.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import type { Fleet } from "../routing/mod.ts";
import type { Loss } from "./losses.ts";

/** Upstreams write their entries about every second; readers bring them within two more. */
const WAIT_MS = 4_000;
const LOOK_MS = 200;
/** Losses that wait at once; what is beyond is left out. */
const MOST_WAITING = 1_024;

interface Waiting {
  readonly digest: string;
  readonly loss: Loss;
  readonly lostMs: number;
}

/** See the module. */
export class LateSigns {
  readonly #fleet: Fleet;
  readonly #clock: Clock;
  readonly #onEnd: (digest: string, loss: Loss, lostMs: number) => void;
  #waiting: Waiting[] = [];
  #timer: Timer | undefined;

  /** `onEnd` is called for each loss whose upstream has started again. */
  constructor(
    fleet: Fleet,
    clock: Clock,
    onEnd: (digest: string, loss: Loss, lostMs: number) => void,
  ) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.#onEnd = onEnd;
  }

  /** Waits for a sign. */
  add(digest: string, loss: Loss, lostMs: number): void {
    if (this.#waiting.length >= MOST_WAITING) return;
    this.#waiting.push({ digest, loss, lostMs });
    this.#timer ??= this.#clock.every(LOOK_MS, () => this.#look());
  }

  close(): void {
    this.#timer?.close();
  }

  #look(): void {
    const nowMs = this.#clock.monoMs();
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const { digest, loss, lostMs } of waiting) {
      const now = this.#fleet.get(loss.upstream.id);
      if (now && now.key !== loss.upstream.key) {
        this.#onEnd(digest, loss, lostMs);
      } else if (nowMs - lostMs < WAIT_MS) {
        this.#waiting.push({ digest, loss, lostMs });
      }
    }
    if (this.#waiting.length > 0) return;
    this.#timer?.close();
    this.#timer = undefined;
  }
}
