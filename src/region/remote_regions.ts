/**
 * What a VM knows of other regions, by what their leads said last.
 *
 * @module
 */

import type { PassedDigest, RegionDigest } from "./messages.ts";
import type { VmRecord } from "./record.ts";

/** Silence after which nothing is handed to a region, at least: four digests of its first lead. */
const MIN_SILENT_MS = 2_000;
const MISSED_DIGESTS = 4;
/** A region that was only cut off still uses its part of what all share; it counts for this long. */
const FORGET_MS = 30_000;

/** A region as one of its leads described it. */
export interface RemoteRegion {
  readonly digest: RegionDigest;
  readonly heardMs: number;
}

function isFresh({ digest, heardMs }: RemoteRegion, nowMs: number): boolean {
  return nowMs - heardMs <
    Math.max(MIN_SILENT_MS, MISSED_DIGESTS * digest.everyMs);
}

/** See the module. */
export class RemoteRegions {
  /** By region, the latest digest of any of its leads. */
  readonly #latest = new Map<string, RemoteRegion>();

  /** Takes in what a lead said at `heardMs`; what is older than what is known is left aside. */
  update(digest: RegionDigest, heardMs: number): void {
    const { region } = digest.from;
    if ((this.#latest.get(region)?.heardMs ?? -Infinity) >= heardMs) return;
    this.#latest.set(region, { digest, heardMs });
  }

  /** Regions that were heard lately. */
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

  /** The leads of a region as last said, fresh or not. */
  leads(region: string): readonly VmRecord[] {
    return this.#latest.get(region)?.digest.leads ?? [];
  }

  /** VMs of all these regions together. */
  vmCount(): number {
    let sum = 0;
    for (const { digest } of this.#latest.values()) sum += digest.vms;
    return sum;
  }

  /** What may be passed on to the VMs of the own region. */
  passedDigests(nowMs: number): PassedDigest[] {
    return this.fresh(nowMs).map(({ digest, heardMs }) => ({
      ...digest,
      yours: undefined,
      held: undefined,
      ageMs: Math.round(nowMs - heardMs),
    }));
  }

  /** Drops what was not heard for long. */
  dropStale(nowMs: number): void {
    for (const [region, { heardMs }] of this.#latest) {
      if (nowMs - heardMs >= FORGET_MS) this.#latest.delete(region);
    }
  }

  /** This process was paused for `ms`: nobody had a chance to be heard. */
  skipPause(ms: number): void {
    for (const [region, { digest, heardMs }] of this.#latest) {
      this.#latest.set(region, { digest, heardMs: heardMs + ms });
    }
  }
}
