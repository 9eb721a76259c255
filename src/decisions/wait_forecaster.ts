/**
 * Predicts how long queued work waits, from the pool's recent past.
 *
 * @module
 */

import { DrainRate, WaitCorrection } from "./wait_model.ts";
import { type LaneName, LANES, type QueueEntry } from "./queue_entry.ts";
import type { Lanes } from "./lanes.ts";

/** A forecast wait, and its value before correction. */
export interface WaitForecast {
  readonly waitMs: number;
  readonly rawWaitMs: number;
}

/** Forecasts the waits in both lanes from their drain rates and from earlier waits. */
export class WaitForecaster {
  readonly #lanes: Lanes;
  readonly #rates = { short: new DrainRate(), long: new DrainRate() };
  readonly #corrections = {
    short: new WaitCorrection(),
    long: new WaitCorrection(),
  };
  #nominalPerMs = 0;

  constructor(lanes: Lanes) {
    this.#lanes = lanes;
  }

  /** Updates the drain rates to `nowMs`; the upstreams had this nominal rate since the last call. */
  advance(nominalPerMs: number, nowMs: number): void {
    this.#nominalPerMs = nominalPerMs;
    for (const lane of LANES) {
      const hasQueue = this.#lanes.sizeOf(lane) > 0;
      this.#rates[lane].advance(nominalPerMs, hasQueue, nowMs);
    }
  }

  /** Records that an entry left the queue for an upstream. */
  recordGrant(entry: QueueEntry, nowMs: number): void {
    this.recordWait(entry, nowMs);
    this.#rates[entry.lane].recordGrant(entry.work);
  }

  /** Records the end of an entry's wait, whether it was granted or refused. */
  recordWait(entry: QueueEntry, nowMs: number): void {
    if (entry.rawWaitMs <= 0) return;
    this.#corrections[entry.lane].recordWait(
      entry.rawWaitMs,
      nowMs - entry.queuedAtMs,
    );
  }

  /** Forecasts the time in a lane behind this much work. */
  forecast(lane: LaneName, work: number): WaitForecast {
    const rawWaitMs = this.#drainMs(lane, work);
    return { rawWaitMs, waitMs: this.#corrections[lane].correct(rawWaitMs) };
  }

  /** Predicts the time until all that is queued now has started. */
  queueDrainMs(): number {
    const waits = LANES.map((lane) =>
      this.#drainMs(lane, this.#lanes.workOf(lane))
    );
    return Math.max(...waits);
  }

  /** Returns each lane's rate as a multiple of the nominal one, for operators. */
  dump(): number[] {
    return LANES.map((lane) => this.#rates[lane].factor);
  }

  #drainMs(lane: LaneName, work: number): number {
    return work / this.#rates[lane].workPerMs(this.#nominalPerMs);
  }
}
