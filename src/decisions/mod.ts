/**
 * Decisions under load, free of I/O: time, random numbers and messages come in as arguments.
 *
 * @module
 */

export * from "./slots.ts";
export * from "./pool_messages.ts";
export * from "./pool.ts";
export { type FailedAttempt, MAX_ATTEMPTS, mayRetry } from "./retry.ts";
