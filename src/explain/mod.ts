/**
 * Reads the gateway's logs back: the story of one request over several VMs, and its cause.
 *
 * @module
 */

export * from "./log_line.ts";
export * from "./story.ts";
export * from "./summary.ts";
