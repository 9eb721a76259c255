/**
 * Decides, without I/O, which requests are suspected of crashing upstreams and whether they may run.
 *
 * @module
 */

export * from "./crash.ts";
export * from "./crash_history.ts";
export * from "./crash_cause.ts";
export * from "./blame.ts";
export * from "./suspect_records.ts";
export * from "./identity.ts";
export * from "./traits.ts";
export * from "./trials.ts";
export * from "./suspect_tracker.ts";
export * from "./crash_messages.ts";
