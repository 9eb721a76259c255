/**
 * Decides, without I/O, who gets places while capacity is short: who waits and who is refused, in which order places are
 * granted, and when refused callers return.
 *
 * @module
 */

export * from "./admit.ts";
export * from "./forecast.ts";
export * from "./queue.ts";
export * from "./returns.ts";
export * from "./waiting_request.ts";
