/**
 * What a pool's lead is told and tells, besides slots.
 *
 * @module
 */

import type { SlotAnswer } from "./slots.ts";

/** What the lead's task must do after a step: answer a request, or order an upstream to a state. */
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

/** A load report of an upstream, as old as `atMs` says. */
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
  /** Time until a prefill would begin there; the prefill itself is the request's own and is added by its home. */
  readonly predictedWaitMs: number;
  /** Whether it takes requests of others now; never true while it sends away itself. */
  readonly takesIn: boolean;
  readonly seenAtMs: number;
}

/** What a region tells others of one of its pools. */
export interface PoolDigest {
  /** See {@link RemoteRegion.predictedWaitMs}; {@link NEVER_MS} if no upstream can take anything. */
  readonly predictedWaitMs: number;
  readonly takesIn: boolean;
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
}

/** Stands for "no time can be told" where a message needs a number. */
export const NEVER_MS = 1e9;

/** A slot that an entry VM says it holds, told to a new lead. */
export interface HeldSlot {
  readonly attemptId: string;
  readonly upstreamId: string;
  readonly expiresAtMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly workspace: string;
}

/** Who the pool is, and its seed for ties. */
export interface PoolOptions {
  readonly service: string;
  readonly region: string;
  readonly seed: number;
}

/** How long a slot is held without a renewal: a dead VM's slots are back after this. */
export const SLOT_TTL_MS = 6000;
