/**
 * How long queued work waits, as the pool's recent past tells.
 *
 * @module
 */

import { DrainRate, WaitBias } from "./admission.ts";
import { type Entry, type LaneName, LANES } from "./lane_entry.ts";
import type { Lanes } from "./lanes.ts";

/** A forecast wait, and the same before it is corrected. */
export interface WaitForecast {
  readonly waitMs: number;
  readonly rawWaitMs: number;
}

/** See the module. */
export class Waits {
  readonly #lanes: Lanes;
  readonly #rates = { short: new DrainRate(), long: new DrainRate() };
  readonly #bias = { short: new WaitBias(), long: new WaitBias() };
  #nominalPerMs = 0;

  constructor(lanes: Lanes) {
    this.#lanes = lanes;
  }

  /** Time passes with upstreams of this rate at hand. */
  pass(nominalPerMs: number, nowMs: number): void {
    this.#nominalPerMs = nominalPerMs;
    for (const lane of LANES) {
      const busy = this.#lanes.sizeOf(lane) > 0;
      this.#rates[lane].pass(nominalPerMs, busy, nowMs);
    }
  }

  /** An entry left the queue for an upstream. */
  granted(entry: Entry, nowMs: number): void {
    this.ended(entry, nowMs);
    this.#rates[entry.lane].granted(entry.work);
  }

  /** An entry's wait is over, well or not. */
  ended(entry: Entry, nowMs: number): void {
    if (entry.rawWaitMs <= 0) return;
    this.#bias[entry.lane].learn(entry.rawWaitMs, nowMs - entry.queuedAtMs);
  }

  /** Time in a lane behind this much work. */
  forecast(lane: LaneName, work: number): WaitForecast {
    const rawWaitMs = this.#drainMs(lane, work);
    return { rawWaitMs, waitMs: this.#bias[lane].corrected(rawWaitMs) };
  }

  /** Time until all that is queued now is started. */
  emptyMs(): number {
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
    return work / this.#rates[lane].perMs(this.#nominalPerMs);
  }
}
