/**
 * How long queued work waits, as the pool's recent past tells.
 *
 * @module
 */

import { DrainRate, WaitCorrection } from "./wait_model.ts";
import { type LaneName, LANES, type QueueEntry } from "./queue_entry.ts";
import type { Lanes } from "./lanes.ts";

/** A forecast wait, and the same before it is corrected. */
export interface WaitForecast {
  readonly waitMs: number;
  readonly rawWaitMs: number;
}

/** See the module. */
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

  /** Time passes with upstreams of this rate at hand. */
  advance(nominalPerMs: number, nowMs: number): void {
    this.#nominalPerMs = nominalPerMs;
    for (const lane of LANES) {
      const hasQueue = this.#lanes.sizeOf(lane) > 0;
      this.#rates[lane].advance(nominalPerMs, hasQueue, nowMs);
    }
  }

  /** An entry left the queue for an upstream. */
  recordGrant(entry: QueueEntry, nowMs: number): void {
    this.recordWait(entry, nowMs);
    this.#rates[entry.lane].recordGrant(entry.work);
  }

  /** An entry's wait is over, well or not. */
  recordWait(entry: QueueEntry, nowMs: number): void {
    if (entry.rawWaitMs <= 0) return;
    this.#corrections[entry.lane].recordWait(
      entry.rawWaitMs,
      nowMs - entry.queuedAtMs,
    );
  }

  /** Time in a lane behind this much work. */
  forecast(lane: LaneName, work: number): WaitForecast {
    const rawWaitMs = this.#drainMs(lane, work);
    return { rawWaitMs, waitMs: this.#corrections[lane].correct(rawWaitMs) };
  }

  /** Time until all that is queued now is started. */
  queueDrainMs(): number {
    const waits = LANES.map((lane) =>
      this.#drainMs(lane, this.#lanes.workOf(lane))
    );
    return Math.max(...waits);
  }

  /** For people: each lane's rate as a multiple of the nominal one. */
  dump(): number[] {
    return LANES.map((lane) => this.#rates[lane].factor);
  }

  #drainMs(lane: LaneName, work: number): number {
    return work / this.#rates[lane].workPerMs(this.#nominalPerMs);
  }
}
