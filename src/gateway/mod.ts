/**
 * The gateway's services: they do the I/O around the decisions of `routing`.
 *
 * @module
 */

export * from "./gateway.ts";
export * from "./line_log.ts";
export * from "./settings.ts";
