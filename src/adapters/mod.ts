/**
 * Adapters to external systems and to other VMs, each behind an abstract class.
 *
 * @module
 */

export * from "./address_in_use.ts";
export * from "./answer_parts.ts";
export * from "./key_value.ts";
export * from "./etcd_key_value.ts";
export * from "./platform.ts";
export * from "./platform_client.ts";
export * from "./http_platform.ts";
export * from "./transport.ts";
export * from "./upstream.ts";
export * from "./http_upstream.ts";
export * from "./link_faults.ts";
export * from "./ws_transport.ts";
export * from "./engine_load.ts";
export * from "./reachability.ts";
export * from "./read_text.ts";
export * from "./suspect_store.ts";
export * from "./caller_connections.ts";
export * from "./client_errors.ts";
export * from "./pipeline_limiter.ts";
export * from "./pipelined_answers.ts";
export * from "./unframed_answers.ts";
export * from "./read_share.ts";
export * from "./joined_reads.ts";
export * from "./unread_answers.ts";
