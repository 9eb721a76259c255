/**
 * Who calls: workspaces, their keys, and what a workspace adds to a route. Free of I/O.
 *
 * @module
 */

export * from "./caller.ts";
export * from "./workspaces.ts";
