/**
 * Counts the upstream-hours that are paid for. An upstream is paid for while it is not parked.
 *
 * @module
 */

import type { Engine } from "./engine.ts";
import type { Sim } from "./sim.ts";

const SAMPLE_INTERVAL_MS = 100;
const HOUR_MS = 3_600_000;

/** Samples how many upstreams are not parked and sums their hours. */
export class UpstreamHoursMeter {
  readonly #samples: { readonly atMs: number; readonly active: number }[] = [];

  constructor(sim: Sim, engines: readonly Engine[]) {
    sim.every(SAMPLE_INTERVAL_MS, () => {
      const active = engines.filter(({ isParked }) => !isParked).length;
      this.#samples.push({ atMs: sim.nowMs, active });
    });
  }

  /** Returns the upstream-hours from `fromMs` up to `toMs`. */
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
