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
export * from "./table_schema.ts";
export * from "./claim.ts";
export * from "./claim_record.ts";
export * from "./claim_head.ts";
export * from "./claim_batch.ts";
export * from "./claim_commit.ts";
export * from "./claim_machine.ts";
export * from "./witness_tracker.ts";
export * from "./claim_owner.ts";
export * from "./claim_shard.ts";
export * from "./claim_takeover.ts";
export * from "./claim_witness.ts";
export * from "./lead.ts";
export * from "./grant_index.ts";
export * from "./member_record.ts";
export * from "./member_list.ts";
export * from "./member_news.ts";
export * from "./members.ts";
export * from "./fence.ts";
export * from "./directory.ts";
