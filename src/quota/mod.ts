/**
 * Limits of workspaces over all VMs and regions: who may hand out how much of them. Free of I/O.
 *
 * @module
 */

export * from "./counts.ts";
export * from "./moving_shares.ts";
export * from "./own_part.ts";
export * from "./region_quota.ts";
export * from "./shares.ts";
