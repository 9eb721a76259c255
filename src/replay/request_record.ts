/**
 * Records of the replay's requests, as their callers saw them.
 *
 * @module
 */

import type { Ran } from "../base/mod.ts";
import type { AnswerCheck } from "../standins/mod.ts";
import type { TraceRequest } from "./trace.ts";

/** How one attempt ended. */
export type AttemptEnd =
  /** A complete response: the connection ended cleanly. */
  | "answered"
  /** A refusal, or an error with a result code, before the stream or within it. */
  | "failed"
  /** The connection broke without an error response. */
  | "broken"
  /** No final response by the deadline; the caller gave up. */
  | "timeout";

/** One attempt at one VM. */
export interface AttemptRecord {
  /** Tag of this attempt in the prompt, or the digest of the body for a plain call. */
  readonly nonce: string;
  readonly url: string;
  /** Wall-clock time, as are the other times of the attempt. */
  readonly sentAtMs: number;
  endedAtMs: number;
  end: AttemptEnd;
  /** HTTP status; 0 if there was no response. */
  httpStatus: number;
  /** Numeric result code of a failure. */
  code?: number;
  /** Whether the request ran, according to the response; absent if it did not say. */
  ran?: Ran;
  retryAtMs?: number;
  goTo?: readonly string[];
  /** The region that served the request. */
  region?: string;
  /** The VM that responded. */
  vm?: string;
  firstTokenAtMs?: number;
  /** Result of the comparison with the answer that the nonce requires. */
  check?: AnswerCheck;
}

/** A request of the trace with all attempts of its caller. */
export interface RequestRecord {
  readonly request: TraceRequest;
  /** Wall-clock time of the arrival that the trace specifies. */
  readonly arrivedAtMs: number;
  readonly attempts: readonly AttemptRecord[];
}

/** Returns the last attempt, which decided the outcome. */
export function getLastAttempt(
  record: RequestRecord,
): AttemptRecord | undefined {
  return record.attempts.at(-1);
}

/** Whether the caller got the complete answer to its own request. */
export function isComplete(record: RequestRecord): boolean {
  const last = getLastAttempt(record);
  return last?.end === "answered" && last.check === "complete";
}
