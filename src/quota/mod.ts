/**
 * Workspace limits that apply over all VMs and regions: how much of each limit a region or a VM may admit. The modules
 * do no I/O.
 *
 * @module
 */

export * from "./part_usage.ts";
export * from "./moving_shares.ts";
export * from "./local_quota.ts";
export * from "./region_quota.ts";
export * from "./shares.ts";
