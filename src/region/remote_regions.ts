/**
 * The state of other regions, by the latest digests of their leads.
 *
 * @module
 */

import type { HeardRoster } from "./heard_rosters.ts";
import type { PassedDigest, RegionDigest } from "./messages.ts";
import type { VmRecord } from "./record.ts";

/** Minimum silence after which no request is relayed to a region: four digest intervals of its first lead. */
const MIN_SILENT_MS = 2_000;
const MISSED_DIGESTS = 4;
/** How much older a digest may be in the first lead's last roster: that roster and the digest itself come twice a second. */
const PASSED_LAG_MS = 1_500;
/** A region that is only cut off still uses its part of what all regions share, so its VMs count for this long. */
const FORGET_MS = 30_000;

/** The latest digest of a region. */
export interface RemoteRegion {
  readonly digest: RegionDigest;
  readonly heardMs: number;
}

function isFresh({ digest, heardMs }: RemoteRegion, nowMs: number): boolean {
  return nowMs - heardMs <
    Math.max(MIN_SILENT_MS, MISSED_DIGESTS * digest.everyMs);
}

/** Keeps the latest digest of each other region. */
export class RemoteRegions {
  /** The latest digest from any lead of a region, by region. */
  readonly #latest = new Map<string, RemoteRegion>();

  /** Stores a digest that was heard at `heardMs`, unless a newer one is known. */
  update(digest: RegionDigest, heardMs: number): void {
    const { region } = digest.from;
    if ((this.#latest.get(region)?.heardMs ?? -Infinity) >= heardMs) return;
    this.#latest.set(region, { digest, heardMs });
  }

  /** Regions that were heard recently. */
  fresh(nowMs: number): RemoteRegion[] {
    return [...this.#latest.values()].filter((remote) =>
      isFresh(remote, nowMs)
    );
  }

  /** Addresses of some VMs of a region that take requests; none if the region is silent. */
  readyIps(region: string, nowMs: number): readonly string[] {
    const remote = this.#latest.get(region);
    return remote && isFresh(remote, nowMs) ? remote.digest.ready : [];
  }

  /** The leads of a region by its latest digest, which may be stale. */
  leads(region: string): readonly VmRecord[] {
    return this.#latest.get(region)?.digest.leads ?? [];
  }

  /** The number of VMs of all other regions together. */
  vmCount(): number {
    let sum = 0;
    for (const { digest } of this.#latest.values()) sum += digest.vms;
    return sum;
  }

  /**
   * The digests to pass on to the VMs of the own region. Those are left out that `other` passes on too and that are hardly
   * older there.
   */
  passedDigests(nowMs: number, other?: HeardRoster): PassedDigest[] {
    const isPassed = ({ digest, heardMs }: RemoteRegion) =>
      other?.roster.regions.some(({ from, ageMs }) =>
        from.region === digest.from.region &&
        heardMs - (other.heardMs - ageMs) < PASSED_LAG_MS
      );
    const rest = this.fresh(nowMs).filter((remote) => !isPassed(remote));
    return rest.map(({ digest, heardMs }) => ({
      ...digest,
      yours: undefined,
      isAhead: undefined,
      held: undefined,
      ageMs: Math.round(nowMs - heardMs),
    }));
  }

  /** Drops regions that were not heard for a long time. */
  dropStale(nowMs: number): void {
    for (const [region, { heardMs }] of this.#latest) {
      if (nowMs - heardMs >= FORGET_MS) this.#latest.delete(region);
    }
  }

  /** Shifts all times by a pause of this process, since nothing could be heard during it. */
  skipPause(ms: number): void {
    for (const [region, { digest, heardMs }] of this.#latest) {
      this.#latest.set(region, { digest, heardMs: heardMs + ms });
    }
  }
}
