/**
 * What a caller of the replay saw of its request.
 *
 * @module
 */

import type { Ran } from "../base/mod.ts";
import type { AnswerCheck } from "../standins/mod.ts";
import type { TraceRequest } from "./trace.ts";

/** How one attempt ended. */
export type AttemptEnd =
  /** A whole answer with a clean end. */
  | "answered"
  /** A refusal or an error with a result code, before or within the stream. */
  | "failed"
  /** The connection broke without a word. */
  | "broken"
  /** No final answer by the deadline; the caller gave up. */
  | "timeout";

/** One attempt at one VM. */
export interface AttemptRecord {
  /** Tag of this attempt in the prompt, or the digest of the body. */
  readonly nonce: string;
  readonly url: string;
  /** Wall-clock times. */
  readonly sentAtMs: number;
  endedAtMs: number;
  end: AttemptEnd;
  /** HTTP status; 0 if there was no answer. */
  httpStatus: number;
  /** Numeric result code of a failure. */
  code?: number;
  /** What the caller was told; absent: nothing. */
  ran?: Ran;
  retryAtMs?: number;
  goTo?: readonly string[];
  /** Region and VM that answered. */
  region?: string;
  vm?: string;
  firstTokenAtMs?: number;
  /** Comparison of the answer with the one that the nonce stands for. */
  check?: AnswerCheck;
}

/** A request of the trace and all that its caller saw. */
export interface RequestRecord {
  readonly request: TraceRequest;
  /** Wall-clock time of the arrival that the trace states. */
  readonly arrivedAtMs: number;
  readonly attempts: readonly AttemptRecord[];
}

/** The attempt that decided the outcome. */
export function getLastAttempt(
  record: RequestRecord,
): AttemptRecord | undefined {
  return record.attempts.at(-1);
}

/** Whether the caller got its own whole answer. */
export function isComplete(record: RequestRecord): boolean {
  const last = getLastAttempt(record);
  return last?.end === "answered" && last.check === "complete";
}
