/**
 * Reads the gateway's logs: it collects the log lines of one request from several VMs and explains its outcome.
 *
 * @module
 */

export * from "./log_line.ts";
export * from "./explanation.ts";
export * from "./summary.ts";
