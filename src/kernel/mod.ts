/**
 * The micro-kernel, its tasks and its loggers.
 *
 * @module
 */

export * from "./kernel.ts";
export * from "./log.ts";
export * from "./task.ts";
export * from "./winston_log.ts";
