/**
 * What a VM knows of the store's entries: it reads them itself or gets them from other VMs, so that the store's load does
 * not grow with the number of VMs.
 *
 * @module
 */

export * from "./peer_rpc.ts";
export { type News, Replica } from "./replica.ts";
export * from "./store_view.ts";
export * from "./store_view_messages.ts";
