/**
 * What the lanes of a pool queue, and what waits parked for an upstream.
 *
 * @module
 */

import type { RequestCost } from "./limits.ts";
import type { SlotRequest } from "./slots.ts";

/** The two lanes. */
export type LaneName = "short" | "long";
/** Both lanes, the one that is served first at the front. */
export const LANES: readonly LaneName[] = ["short", "long"];

/** A queued request. */
export interface QueueEntry {
  readonly request: SlotRequest;
  readonly lane: LaneName;
  readonly weight: number;
  readonly work: number;
  readonly cost: RequestCost;
  readonly queuedAtMs: number;
  /** Its wait as forecast, before any correction. */
  readonly rawWaitMs: number;
  /** Starting later than this, its first token would miss the deadline. */
  readonly latestStartMs: number;
  /** The upstream believed to hold most of its prefix, if any does. */
  readonly prefixUpstreamId: string | undefined;
  /** Times another request went before it for being warm. */
  bypassCount: number;
}
