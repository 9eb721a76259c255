/**
 * Requests under which upstreams ended: who is suspected, and what is done with them. Free of I/O.
 *
 * @module
 */

export * from "./identity.ts";
