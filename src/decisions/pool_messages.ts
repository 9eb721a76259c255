/**
 * Input and output of a pool's lead, besides slot messages.
 *
 * @module
 */

import type { SlotAnswer } from "./slots.ts";

/** What the lead's task must do after a step: answer a request, or order an upstream into a state. */
export type PoolOutput =
  | {
    readonly type: "answer";
    readonly attemptId: string;
    readonly answer: SlotAnswer;
  }
  | {
    readonly type: "order";
    readonly upstreamId: string;
    readonly want: "active" | "parked";
  };

/** A load report of an upstream, as of `atMs`. */
export interface LoadReport {
  readonly upstreamId: string;
  readonly running: number;
  readonly waiting: number;
  readonly atMs: number;
}

/** What another region's digest says of this service there. */
export interface RemoteRegion {
  readonly region: string;
  /** One-way delay of the link. */
  readonly linkMs: number;
  /**
   * Time until a prefill would start there. The time of the prefill depends on the request and is added by its home
   * region.
   */
  readonly predictedWaitMs: number;
  /** Whether it accepts requests from other regions now; it never does while it sends requests away itself. */
  readonly takesIn: boolean;
  readonly seenAtMs: number;
}

/** The state of a pool, as its region reports it to other regions. */
export interface PoolDigest {
  /** See {@link RemoteRegion.predictedWaitMs}; {@link NEVER_MS} if no upstream can take a request. */
  readonly predictedWaitMs: number;
  readonly takesIn: boolean;
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
}

/** Stands for an unknown or infinite time where a message needs a number. */
export const NEVER_MS = 1e9;

/** A slot that an entry VM holds, as reported to a new lead. */
export interface HeldSlot {
  readonly attemptId: string;
  readonly upstreamId: string;
  readonly expiresAtMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly workspace: string;
}

/** Names the pool, and seeds its random choices, such as between equal candidates. */
export interface PoolOptions {
  readonly service: string;
  readonly region: string;
  readonly seed: number;
}

/** How long a slot is held without a renewal. The slots of a dead VM are free after this. */
export const SLOT_TTL_MS = 6000;
