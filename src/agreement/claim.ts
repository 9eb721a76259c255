/**
 * Claims of calls that may not be repeated: their names, answers and verdicts.
 *
 * @module
 */

import type { Failure } from "../base/mod.ts";

/** Names a call that may not be repeated. */
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

/** What a claim service answers to a claim. Only `granted` allows a dispatch, and only until `dispatchBeforeMonoMs`. */
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
