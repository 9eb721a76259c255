/**
 * The daemon's services: tasks with sockets, timers and state.
 *
 * @module
 */

export * from "./messages.ts";
export * from "./claims.ts";
export * from "./metrics.ts";
