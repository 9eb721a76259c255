/**
 * What regions learn of their engines and of each other, late as on real links.
 *
 * @module
 */

import type { Sim } from "./sim.ts";
import type { Ask } from "./workload.ts";
import type { Region, WorldOptions } from "./world_types.ts";

const DIGEST_MS = 1000;
const LEAST_REPORT_MS = 100;

/** See the module. */
export class RegionNews {
  /** Regions cut off from all others. */
  readonly cut = new Set<string>();
  readonly #sim: Sim;
  readonly #options: WorldOptions;
  readonly #regions: ReadonlyMap<string, Region>;

  constructor(
    sim: Sim,
    options: WorldOptions,
    regions: ReadonlyMap<string, Region>,
  ) {
    this.#sim = sim;
    this.#options = options;
    this.#regions = regions;
    const each = (run: (region: Region) => void) => () => {
      for (const region of regions.values()) run(region);
    };
    sim.every(
      Math.max(LEAST_REPORT_MS, options.lagMs),
      each((region) => this.#sendLoads(region)),
    );
    sim.every(DIGEST_MS, each((region) => this.#sendDigest(region)));
  }

  /** Whether two regions cannot reach each other. */
  isCut(a: Region, b: Region): boolean {
    return a !== b && (this.cut.has(a.id) || this.cut.has(b.id));
  }

  /** Where the digests promise the shortest wait; `undefined` if that is at home, or the request is bound to it. */
  nearest(home: Region, ask: Ask): Region | undefined {
    if (ask.bound) return undefined;
    let bestMs = home.policy.digest(this.#sim.nowMs)?.predictedWaitMs ??
      Infinity;
    let best: Region | undefined;
    for (const far of home.far.values()) {
      const ms = far.predictedWaitMs + 2 * far.linkMs;
      if (ms >= bestMs) continue;
      bestMs = ms;
      best = this.#regions.get(far.region);
    }
    return best;
  }

  #sendLoads(region: Region): void {
    const atMs = this.#sim.nowMs;
    const loads = region.engines.map(({ options, running, waiting }) => ({
      upstreamId: options.id,
      running,
      waiting,
      atMs,
    }));
    this.#sim.after(
      this.#options.lagMs,
      () => region.policy.observe(loads, this.#sim.nowMs),
    );
  }

  #sendDigest(from: Region): void {
    const digest = from.policy.digest(this.#sim.nowMs);
    if (!digest) return;
    const { linkMs } = this.#options;
    for (const to of this.#regions.values()) {
      if (to === from || this.isCut(from, to)) continue;
      this.#sim.after(linkMs, () => {
        const seenAtMs = this.#sim.nowMs;
        to.far.set(from.id, { region: from.id, linkMs, ...digest, seenAtMs });
        to.policy.setFar([...to.far.values()], seenAtMs);
      });
    }
  }
}
