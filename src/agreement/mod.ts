/**
 * What VMs agree on, as pure state machines: the table and its log, membership, leads, claims and fencing numbers.
 *
 * @module
 */

export * from "./rows.ts";
export * from "./table.ts";
export * from "./table_checks.ts";
export * from "./table_editor.ts";
export * from "./table_log.ts";
export * from "./table_push.ts";
export * from "./table_records.ts";
export * from "./claim.ts";
