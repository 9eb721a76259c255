/**
 * Requests under which upstreams ended: who is suspected, and what is done with them. Free of I/O.
 *
 * @module
 */

export * from "./end_book.ts";
export * from "./evidence.ts";
export * from "./identity.ts";
export * from "./keeper.ts";
export * from "./news.ts";
