/**
 * Counts the upstream-hours that are paid for: of every upstream that is not parked.
 *
 * @module
 */

import type { Engine } from "./engine.ts";
import type { Sim } from "./sim.ts";

const SAMPLE_INTERVAL_MS = 100;
const HOUR_MS = 3_600_000;

/** See the module. */
export class UpstreamHoursMeter {
  readonly #samples: { readonly atMs: number; readonly active: number }[] = [];

  constructor(sim: Sim, engines: readonly Engine[]) {
    sim.every(SAMPLE_INTERVAL_MS, () => {
      const active = engines.filter(({ isParked }) => !isParked).length;
      this.#samples.push({ atMs: sim.nowMs, active });
    });
  }

  /** Upstream-hours between these times. */
  hoursBetween(fromMs: number, toMs: number): number {
    let activeMs = 0;
    for (const { atMs, active } of this.#samples) {
      if (atMs >= fromMs && atMs < toMs) {
        activeMs += active * SAMPLE_INTERVAL_MS;
      }
    }
    return activeMs / HOUR_MS;
  }
}
