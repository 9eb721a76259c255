/**
 * Identification of callers: workspaces, their keys, and the settings that a workspace adds to a route. Free of I/O.
 *
 * @module
 */

export * from "./caller.ts";
export * from "./workspaces.ts";
