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
const WATCH_MS = 4_000;
const CHECK_INTERVAL_MS = 200;
/** Losses that wait at once; what is beyond is left out. */
const MAX_WATCHED_LOSSES = 1_024;

interface WatchedLoss {
  readonly digest: string;
  readonly loss: Loss;
  readonly lostMs: number;
}

/** See the module. */
export class RestartWatch {
  readonly #fleet: Fleet;
  readonly #clock: Clock;
  readonly #onRestart: (digest: string, loss: Loss, lostMs: number) => void;
  #watched: WatchedLoss[] = [];
  #timer: Timer | undefined;

  /** `onEnd` is called for each loss whose upstream has started again. */
  constructor(
    fleet: Fleet,
    clock: Clock,
    onRestart: (digest: string, loss: Loss, lostMs: number) => void,
  ) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.#onRestart = onRestart;
  }

  /** Waits for a sign. */
  watch(digest: string, loss: Loss, lostMs: number): void {
    if (this.#watched.length >= MAX_WATCHED_LOSSES) return;
    this.#watched.push({ digest, loss, lostMs });
    this.#timer ??= this.#clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  close(): void {
    this.#timer?.close();
  }

  #check(): void {
    const nowMs = this.#clock.monoMs();
    const watched = this.#watched;
    this.#watched = [];
    for (const { digest, loss, lostMs } of watched) {
      const current = this.#fleet.get(loss.upstream.id);
      if (current && current.key !== loss.upstream.key) {
        this.#onRestart(digest, loss, lostMs);
      } else if (nowMs - lostMs < WATCH_MS) {
        this.#watched.push({ digest, loss, lostMs });
      }
    }
    if (this.#watched.length > 0) return;
    this.#timer?.close();
    this.#timer = undefined;
  }
}
