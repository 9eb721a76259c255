/**
 * Usage counted against one part of a workspace's limit.
 *
 * @module
 */

import { TokenBucket } from "../decisions/token_bucket.ts";
import type { QuotaLimit } from "../workspaces/mod.ts";

/** What a request uses of its workspace's limit. */
export interface QuotaUse {
  readonly workspace: string;
  readonly units: number;
}

/** How far operators tolerate that a workspace exceeds its limit. */
export interface QuotaSlack {
  /** Tolerated excess as a share of the limit. */
  readonly excess: number;
  /** Units tolerated in addition, in each window. */
  readonly slackUnits: number;
  readonly windowMs: number;
}

/**
 * Share of the slack that regions may admit in addition to their shares. Without it, a small workspace whose share is
 * smaller than one prompt would be refused when a few requests arrive together. The rest of the slack covers late messages.
 */
export const SPARE_SLACK_SHARE = 0.4;

/** Share of the excess that regions admit. It makes up for the units that stay unused because shares move late. */
export const USED_EXCESS_SHARE = 0.5;

/** Looks up a workspace's limit; `undefined` if it has none. */
export type LimitLookup = (workspace: string) => QuotaLimit | undefined;

const MS_PER_S = 1_000;
/** A change of the limit by no more than this share does not resize its bucket. */
const MIN_RESIZE_SHARE = 1e-3;

function isNearlyEqual(a: number, b: number): boolean {
  return Math.abs(a - b) <= MIN_RESIZE_SHARE * Math.max(a, b);
}

/** The part of a limit that one region or VM may admit. */
export interface LimitPart {
  /** Share of rate and burst, from 0 to 1. */
  readonly share: number;
  /** Units that may be admitted at once in addition to the share. */
  readonly spareUnits: number;
}

/** The burst of a part of a limit, in units. */
export function burstOfPart(
  { burstUnits }: QuotaLimit,
  { share, spareUnits }: LimitPart,
): number {
  return burstUnits * share + spareUnits;
}

/** Counts one workspace's usage against a part of its limit; the size of the part may change. */
export class PartUsage {
  readonly bucket: TokenBucket;
  #unitsPerS: number;
  #burstUnits: number;

  /** `initialUnits` are available at first, as far as the burst holds them. */
  constructor(
    limit: QuotaLimit,
    part: LimitPart,
    initialUnits: number,
    nowMs: number,
  ) {
    this.#unitsPerS = limit.unitsPerS * part.share;
    this.#burstUnits = burstOfPart(limit, part);
    this.bucket = new TokenBucket(
      this.#unitsPerS / MS_PER_S,
      this.#burstUnits,
      nowMs,
    );
    this.bucket.take(Math.max(0, this.#burstUnits - initialUnits), nowMs);
  }

  /**
   * Changes the size of the part. If it has moved from another holder, the bucket gains what that one's bucket loses, so
   * moving a part does not grant a second burst. Otherwise it gains nothing.
   */
  resize(
    limit: QuotaLimit,
    part: LimitPart,
    nowMs: number,
    hasMoved = true,
  ): void {
    const unitsPerS = limit.unitsPerS * part.share;
    const burstUnits = burstOfPart(limit, part);
    if (
      isNearlyEqual(unitsPerS, this.#unitsPerS) &&
      isNearlyEqual(burstUnits, this.#burstUnits)
    ) return;
    this.#unitsPerS = unitsPerS;
    this.#burstUnits = burstUnits;
    const perMs = unitsPerS / MS_PER_S;
    if (hasMoved) this.bucket.resize(perMs, burstUnits, nowMs);
    else this.bucket.restrict(perMs, burstUnits, nowMs);
  }

  /** The units left, as a share of the burst. */
  level(nowMs: number): number {
    return this.#burstUnits > 0
      ? this.bucket.levelAt(nowMs) / this.#burstUnits
      : 0;
  }
}
