/**
 * Requests under which upstreams ended: who is suspected, and what is done with them. Free of I/O.
 *
 * @module
 */

export * from "./crash_history.ts";
export * from "./crash_cause.ts";
export * from "./identity.ts";
export * from "./suspect_tracker.ts";
export * from "./crash_messages.ts";
