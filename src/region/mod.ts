/**
 * Membership: the VMs of a region, its leads, and the messages between VMs and between regions. The modules do no I/O.
 *
 * @module
 */

export * from "./remote_regions.ts";
export * from "./heard_rosters.ts";
export * from "./known_vms.ts";
export * from "./load_tracker.ts";
export * from "./messages.ts";
export * from "./message_checks.ts";
export * from "./lead_order.ts";
export * from "./record.ts";
export * from "./view.ts";
export * from "./origins.ts";
export * from "./own_streams.ts";
export * from "./served_versions.ts";
export * from "./origin_holders.ts";
export * from "./origin_messages.ts";
export * from "./origin_outbox.ts";
export * from "./sharer_count.ts";
