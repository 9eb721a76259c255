/**
 * Replays traces and checks expected outcomes against what callers received and what upstreams actually ran.
 *
 * @module
 */

export * from "./days.ts";
export * from "./directory.ts";
export * from "./generate.ts";
export * from "./outcomes.ts";
export * from "./print.ts";
export * from "./replay.ts";
export * from "./report.ts";
export * from "./runs.ts";
export * from "./request_record.ts";
export * from "./trace.ts";
