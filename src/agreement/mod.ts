/**
 * What VMs agree on, as pure state machines: the table and its log, membership, leads, claims and fencing numbers.
 *
 * @module
 */

export * from "./rows.ts";
export * from "./table.ts";
export * from "./claim.ts";
export * from "./lead.ts";
export * from "./lead_book.ts";
export * from "./member_record.ts";
export * from "./member_news.ts";
export * from "./members.ts";
