/**
 * Basics that every folder may use: result codes, time, random numbers, hashing, backoff, detection of lag and pauses,
 * the ends of events, the syntax of HTTP, checks of received values, messages that arrive in pieces, bounds of JSON
 * texts.
 *
 * @module
 */

export * from "./checks.ts";
export * from "./codes.ts";
export * from "./clock.ts";
export * from "./progress_timer.ts";
export * from "./random.ts";
export * from "./hash.ts";
export * from "./http_syntax.ts";
export * from "./backoff.ts";
export * from "./lag_detector.ts";
export * from "./pause_detector.ts";
export * from "./pause_watch.ts";
export * from "./event_scanner.ts";
export * from "./byte_collector.ts";
export * from "./json_bound.ts";
