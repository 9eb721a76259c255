/**
 * Reads the gateway's logs back: the story of one request over several VMs, and its cause.
 *
 * @module
 */

export * from "./log_line.ts";
export * from "./explanation.ts";
export * from "./summary.ts";
