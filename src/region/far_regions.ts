/**
 * What a VM knows of other regions, by what their leads said last.
 *
 * @module
 */

import type { PassedDigest, RegionDigest } from "./messages.ts";
import type { VmRecord } from "./record.ts";

/** Silence after which nothing is handed to a region, at least: four digests of its first lead. */
const SILENT_MS = 2_000;
const SILENT_DIGESTS = 4;
/** A region that was only cut off still uses its part of what all share; it counts for this long. */
const FORGET_MS = 30_000;

/** A region as one of its leads described it. */
export interface FarRegion {
  readonly digest: RegionDigest;
  readonly heardMs: number;
}

function isFresh({ digest, heardMs }: FarRegion, nowMs: number): boolean {
  return nowMs - heardMs <
    Math.max(SILENT_MS, SILENT_DIGESTS * digest.everyMs);
}

/** See the module. */
export class FarRegions {
  /** By region, the latest digest of any of its leads. */
  readonly #latest = new Map<string, FarRegion>();

  /** Takes in what a lead said at `heardMs`; what is older than what is known is left aside. */
  note(digest: RegionDigest, heardMs: number): void {
    const { region } = digest.from;
    if ((this.#latest.get(region)?.heardMs ?? -Infinity) >= heardMs) return;
    this.#latest.set(region, { digest, heardMs });
  }

  /** Regions that were heard lately. */
  fresh(nowMs: number): FarRegion[] {
    return [...this.#latest.values()].filter((far) => isFresh(far, nowMs));
  }

  /** Addresses of some VMs of a region that take requests; none if the region is silent. */
  ready(region: string, nowMs: number): readonly string[] {
    const far = this.#latest.get(region);
    return far && isFresh(far, nowMs) ? far.digest.ready : [];
  }

  /** The leads of a region as last said, fresh or not. */
  leads(region: string): readonly VmRecord[] {
    return this.#latest.get(region)?.digest.leads ?? [];
  }

  /** VMs of all these regions together. */
  vms(): number {
    let sum = 0;
    for (const { digest } of this.#latest.values()) sum += digest.vms;
    return sum;
  }

  /** What may be passed on to the VMs of the own region. */
  passOn(nowMs: number): PassedDigest[] {
    return this.fresh(nowMs).map(({ digest, heardMs }) => ({
      ...digest,
      yours: undefined,
      held: undefined,
      ageMs: Math.round(nowMs - heardMs),
    }));
  }

  /** Drops what was not heard for long. */
  forget(nowMs: number): void {
    for (const [region, { heardMs }] of this.#latest) {
      if (nowMs - heardMs >= FORGET_MS) this.#latest.delete(region);
    }
  }

  /** This process was paused for `ms`: nobody had a chance to be heard. */
  shift(ms: number): void {
    for (const [region, { digest, heardMs }] of this.#latest) {
      this.#latest.set(region, { digest, heardMs: heardMs + ms });
    }
  }
}
