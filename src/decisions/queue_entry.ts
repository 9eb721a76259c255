/**
 * A queued request, as kept in the lanes of a pool and while it waits for one upstream.
 *
 * @module
 */

import type { RequestCost } from "./limits.ts";
import type { SlotRequest } from "./slots.ts";

/** The two lanes of a pool's queue. */
export type LaneName = "short" | "long";
/** Both lanes, in a fixed order. `Lanes.laneOrder` returns the order in which they are served. */
export const LANES: readonly LaneName[] = ["short", "long"];

/** A queued request. */
export interface QueueEntry {
  readonly request: SlotRequest;
  readonly lane: LaneName;
  readonly weight: number;
  readonly work: number;
  readonly cost: RequestCost;
  readonly queuedAtMs: number;
  /** The forecast wait before correction. */
  readonly rawWaitMs: number;
  /** If the request starts later than this, its first token misses the deadline. */
  readonly latestStartMs: number;
  /** The upstream expected to have most of its prefix cached, if any. */
  readonly prefixUpstreamId: string | undefined;
  /** How often another request went first because its prefix was cached. */
  bypassCount: number;
}
