/**
 * Retries: decides when another attempt is allowed.
 *
 * @module
 */

import type { Ran } from "../base/mod.ts";
import { TokenBucket } from "./token_bucket.ts";

/**
 * Retries per first attempt. When an upstream dies, a retry saves its requests; when all upstreams are overloaded,
 * retries add load and prolong the overload. A tenth covers the loss of one upstream in ten and adds a tenth of the
 * load at worst.
 */
const RETRY_SHARE = 0.1;
/** Retries that can be saved up, so that the requests in flight at one upstream that dies are retried at once. */
const RETRY_BURST = 32;
/**
 * Retries per second that are allowed without any traffic, so that a service with few requests still survives a
 * failure.
 */
const MIN_RETRIES_PER_S = 1;

/** The retry budget of a pool. */
export class RetryBudget {
  readonly #bucket: TokenBucket;

  constructor(nowMs: number) {
    this.#bucket = new TokenBucket(
      MIN_RETRIES_PER_S / 1000,
      RETRY_BURST,
      nowMs,
    );
  }

  recordFirstAttempt(): void {
    this.#bucket.refund(RETRY_SHARE);
  }

  /** Takes one retry from the budget, if there is one. */
  tryTake(nowMs: number): boolean {
    if (!this.#bucket.has(1, nowMs)) return false;
    this.#bucket.take(1, nowMs);
    return true;
  }

  /** Returns the time by which a retry is available at the latest. */
  readyAtMs(nowMs: number): number {
    return Math.ceil(this.#bucket.readyAtMs(1, nowMs));
  }
}

/** What is known of a request whose attempt failed. */
export interface FailedAttempt {
  /** Whether the call may run at most once. */
  readonly atMostOnce: boolean;
  readonly ran: Ran;
  /** Bytes of the answer that the caller has already got. */
  readonly answerBytes: number;
  readonly attempts: number;
  readonly deadlineMs: number;
}

/** Attempts per request: after three upstreams, the request itself is probably at fault. */
export const ATTEMPT_LIMIT = 3;

/**
 * Whether the request may be attempted again elsewhere. It may not after the caller got a part of an answer, since a
 * second answer would not continue the first, nor if a call that must run at most once may have run.
 */
export function mayRetry(attempt: FailedAttempt, nowMs: number): boolean {
  if (attempt.attempts >= ATTEMPT_LIMIT) return false;
  if (nowMs >= attempt.deadlineMs) return false;
  if (attempt.answerBytes > 0) return false;
  return !attempt.atMostOnce || attempt.ran === "no";
}
