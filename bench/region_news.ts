/**
 * Delivers load reports and digests with the delay of real links.
 *
 * @module
 */

import type { Sim } from "./sim.ts";
import type { WorkloadRequest } from "./workload.ts";
import type { Region, WorldOptions } from "./world_types.ts";

const DIGEST_INTERVAL_MS = 1000;
const MIN_REPORT_INTERVAL_MS = 100;

/** Sends each region its engines' load reports and the other regions' digests. */
export class RegionReports {
  /** Regions cut off from all others. */
  readonly cutRegions = new Set<string>();
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
    const forEachRegion = (run: (region: Region) => void) => () => {
      for (const region of regions.values()) run(region);
    };
    sim.every(
      Math.max(MIN_REPORT_INTERVAL_MS, options.lagMs),
      forEachRegion((region) => this.#sendLoads(region)),
    );
    sim.every(
      DIGEST_INTERVAL_MS,
      forEachRegion((region) => this.#sendDigest(region)),
    );
  }

  /** Whether two regions cannot reach each other. */
  isCut(a: Region, b: Region): boolean {
    return a !== b && (this.cutRegions.has(a.id) || this.cutRegions.has(b.id));
  }

  /**
   * Returns the remote region with the shortest wait by the digests; `undefined` if the home region is at least as fast
   * or the request is bound to it.
   */
  findFastestRegion(
    home: Region,
    request: WorkloadRequest,
  ): Region | undefined {
    if (request.bound) return undefined;
    let bestWaitMs = home.policy.digest(this.#sim.nowMs)?.predictedWaitMs ??
      Infinity;
    let best: Region | undefined;
    for (const remote of home.remotes.values()) {
      const waitMs = remote.predictedWaitMs + 2 * remote.linkMs;
      if (waitMs >= bestWaitMs) continue;
      bestWaitMs = waitMs;
      best = this.#regions.get(remote.region);
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
        to.remotes.set(from.id, {
          region: from.id,
          linkMs,
          ...digest,
          seenAtMs,
        });
        to.policy.setRemoteRegions([...to.remotes.values()], seenAtMs);
      });
    }
  }
}
