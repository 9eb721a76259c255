/**
 * The HTTP front end of a VM: it authenticates callers, parses their requests and sends their responses.
 *
 * @module
 */

export * from "./answer.ts";
export * from "./body.ts";
export * from "./context.ts";
export * from "./edge.ts";
export * from "./identity.ts";
export * from "./listener.ts";
export * from "./model_request.ts";
export * from "./stream_check.ts";
