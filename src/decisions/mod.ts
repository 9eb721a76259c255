/**
 * Decisions of a pool's lead: admission, queueing, placement, retries and shifts to other regions. The modules do no
 * I/O; they get time, random numbers and messages as arguments.
 *
 * @module
 */

export * from "./slots.ts";
export * from "./pool_messages.ts";
export * from "./pool.ts";
export { ATTEMPT_LIMIT, type FailedAttempt, mayRetry } from "./retry.ts";
export { DIGEST_STALE_MS } from "./shift.ts";
