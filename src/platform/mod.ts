/**
 * Adapter to the users' platform: its names, formats and calls. It makes no decisions.
 *
 * @module
 */

export * from "./callers.ts";
export * from "./config.ts";
export * from "./keys.ts";
export * from "./store.ts";
export * from "./upstream_entry.ts";
export * from "./upstream_report.ts";
export * from "./upstream_wire.ts";
