/**
 * The daemon's services: tasks with sockets, timers and state.
 *
 * @module
 */

export * from "./messages.ts";
export * from "./claims.ts";
export * from "./metrics.ts";
export * from "./table_editor.ts";
export * from "./table_service.ts";
export * from "./load_poller.ts";
export * from "./slots.ts";
export type { OrderSink } from "./lead_server.ts";
export * from "./members.ts";
export * from "./table_versions.ts";
export type { EditRefusal } from "./table_refusals.ts";
export * from "./table_routes.ts";
export * from "./fencing.ts";
export * from "./directory.ts";
export * from "./suspects.ts";
