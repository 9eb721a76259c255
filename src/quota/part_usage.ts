/**
 * What the parts of a limit are kept as.
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

/** How far a workspace's use may pass its limit, as operators bear it. */
export interface QuotaSlack {
  /** Share of the limit. */
  readonly excess: number;
  /** Units beside that, in each window. */
  readonly slackUnits: number;
  readonly windowMs: number;
}

/**
 * Part of the slack that regions hold beside their shares, so that a small workspace, whose share is less than a prompt,
 * isn't refused for a clump. The rest is for what is told late.
 */
export const SPARE_SLACK_SHARE = 0.4;

/** Part of the excess that regions let pass: as much as shares that move late leave unused. */
export const USED_EXCESS_SHARE = 0.5;

/** Looks up a workspace's limit; `undefined` if it has none. */
export type LimitLookup = (workspace: string) => QuotaLimit | undefined;

const MS_PER_S = 1_000;
/** A limit that changed by less than this share keeps its bucket's size. */
const MIN_RESIZE_SHARE = 1e-3;

function isNearlyEqual(a: number, b: number): boolean {
  return Math.abs(a - b) <= MIN_RESIZE_SHARE * Math.max(a, b);
}

/** One holder's part of a limit. */
export interface LimitPart {
  /** Share of rate and burst, from 0 to 1. */
  readonly share: number;
  /** Units beside the share that may go at once. */
  readonly spareUnits: number;
}

/** Counts one workspace's use against a part of its limit that may change. */
export class PartUsage {
  readonly bucket: TokenBucket;
  #unitsPerS: number;
  #burstUnits: number;

  /** `level` is the share of the burst that is there at first. */
  constructor(
    { unitsPerS, burstUnits }: QuotaLimit,
    { share, spareUnits }: LimitPart,
    initialLevel: number,
    nowMs: number,
  ) {
    this.#unitsPerS = unitsPerS * share;
    this.#burstUnits = burstUnits * share + spareUnits;
    this.bucket = new TokenBucket(
      this.#unitsPerS / MS_PER_S,
      this.#burstUnits,
      nowMs,
    );
    this.bucket.take(this.#burstUnits * (1 - initialLevel), nowMs);
  }

  /**
   * Makes the part another one. What one holder's bucket gains by a larger part another's loses, so a part that moves
   * brings no second burst.
   */
  resize(
    limit: QuotaLimit,
    { share, spareUnits }: LimitPart,
    nowMs: number,
  ): void {
    const unitsPerS = limit.unitsPerS * share;
    const burstUnits = limit.burstUnits * share + spareUnits;
    if (
      isNearlyEqual(unitsPerS, this.#unitsPerS) &&
      isNearlyEqual(burstUnits, this.#burstUnits)
    ) return;
    this.#unitsPerS = unitsPerS;
    this.#burstUnits = burstUnits;
    this.bucket.resize(unitsPerS / MS_PER_S, burstUnits, nowMs);
  }

  /** What is left, as a share of the burst. */
  level(nowMs: number): number {
    return this.#burstUnits > 0
      ? this.bucket.levelAt(nowMs) / this.#burstUnits
      : 0;
  }
}
