/**
 * Limits of workspaces over all VMs and regions: who may hand out how much of them. Free of I/O.
 *
 * @module
 */

export * from "./part_usage.ts";
export * from "./moving_shares.ts";
export * from "./local_quota.ts";
export * from "./region_quota.ts";
export * from "./shares.ts";
