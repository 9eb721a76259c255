/**
 * Replay of traces against stated outcomes, judged by what callers saw and what truly ran.
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
