/**
 * Detects restarts of upstreams behind lost connections: an upstream may have crashed and be back before a VM tries a
 * connection, and only its store entry shows later that it has started again.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import type { Fleet } from "../routing/mod.ts";
import type { Traits } from "../suspects/mod.ts";
import type { Loss } from "./losses.ts";

/**
 * How long a loss is watched. Upstreams write their entries about every second; readers receive them within two more.
 */
const WATCH_MS = 4_000;
const CHECK_INTERVAL_MS = 200;
/** Maximum losses watched at once; further ones are ignored. */
const MAX_WATCHED_LOSSES = 1_024;

interface WatchedLoss {
  readonly traits: Traits;
  readonly loss: Loss;
  readonly lostMs: number;
}

/** Watches losses for a restart of their upstream. */
export class RestartWatch {
  readonly #fleet: Fleet;
  readonly #clock: Clock;
  readonly #onRestart: (traits: Traits, loss: Loss, lostMs: number) => void;
  #watched: WatchedLoss[] = [];
  #timer: Timer | undefined;

  /** `onRestart` is called for each loss whose upstream has started again. */
  constructor(
    fleet: Fleet,
    clock: Clock,
    onRestart: (traits: Traits, loss: Loss, lostMs: number) => void,
  ) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.#onRestart = onRestart;
  }

  /** Watches a loss until its upstream has started again, or {@link WATCH_MS} have passed. */
  watch(traits: Traits, loss: Loss, lostMs: number): void {
    if (this.#watched.length >= MAX_WATCHED_LOSSES) return;
    this.#watched.push({ traits, loss, lostMs });
    this.#timer ??= this.#clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  close(): void {
    this.#timer?.close();
  }

  #check(): void {
    const nowMs = this.#clock.monoMs();
    const watched = this.#watched;
    this.#watched = [];
    for (const { traits, loss, lostMs } of watched) {
      const current = this.#fleet.get(loss.upstream.id);
      if (current && current.key !== loss.upstream.key) {
        this.#onRestart(traits, loss, lostMs);
      } else if (nowMs - lostMs < WATCH_MS) {
        this.#watched.push({ traits, loss, lostMs });
      }
    }
    if (this.#watched.length > 0) return;
    this.#timer?.close();
    this.#timer = undefined;
  }
}
