/**
 * Decides, without I/O, how the gateway handles a request: its route, the upstream that serves it, and whether it is
 * retried.
 *
 * @module
 */

export * from "./config.ts";
export * from "./retry_budget.ts";
export * from "./cold.ts";
export * from "./directory.ts";
export * from "./engine_pace.ts";
export * from "./fleet.ts";
export * from "./drain.ts";
export * from "./leaving.ts";
export * from "./move.ts";
export * from "./part_holders.ts";
export * from "./place.ts";
export * from "./ranking.ts";
export * from "./rest.ts";
export * from "./step.ts";
export * from "./health.ts";
export * from "./types.ts";
export * from "./urgency.ts";
export * from "./usable.ts";
export * from "./usual_duration.ts";
