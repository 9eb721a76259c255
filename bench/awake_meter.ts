/**
 * Counts the upstream-hours that are paid for: of every upstream that is not parked.
 *
 * @module
 */

import type { Engine } from "./engine.ts";
import type { Sim } from "./sim.ts";

const SAMPLE_MS = 100;
const HOUR_MS = 3_600_000;

/** See the module. */
export class AwakeMeter {
  readonly #samples: { readonly atMs: number; readonly awake: number }[] = [];

  constructor(sim: Sim, engines: readonly Engine[]) {
    sim.every(SAMPLE_MS, () => {
      const awake = engines.filter(({ parked }) => !parked).length;
      this.#samples.push({ atMs: sim.nowMs, awake });
    });
  }

  /** Upstream-hours between these times. */
  hours(fromMs: number, toMs: number): number {
    let sum = 0;
    for (const { atMs, awake } of this.#samples) {
      if (atMs >= fromMs && atMs < toMs) sum += awake * SAMPLE_MS;
    }
    return sum / HOUR_MS;
  }
}
