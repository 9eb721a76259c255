/**
 * Types for claims of calls that must not be repeated: the key that identifies a call, its stored answer and the
 * verdict on a claim.
 *
 * @module
 */

import type { Failure } from "../base/mod.ts";

/** Identifies a call that must not be repeated. */
export interface ClaimKey {
  readonly service: string;
  readonly workspace: string;
  /** The caller's Idempotency-Key. */
  readonly key: string;
}

/** The stored answer of a call, bounded in size. */
export interface ClaimAnswer {
  readonly httpStatus: number;
  readonly contentType: string;
  readonly bodyBase64: string;
  /** Whether the body was left out because it exceeds the bound. */
  readonly truncated: boolean;
}

/** The claim service's answer to a claim. Only `granted` allows a dispatch, and only until `dispatchBeforeMonoMs`. */
export type ClaimVerdict =
  | {
    readonly type: "granted";
    readonly claimId: string;
    readonly dispatchBeforeMonoMs: number;
  }
  | { readonly type: "running" }
  | { readonly type: "answered"; readonly answer: ClaimAnswer }
  | { readonly type: "unknown" }
  | { readonly type: "mismatch" }
  | { readonly type: "refused"; readonly failure: Failure };
