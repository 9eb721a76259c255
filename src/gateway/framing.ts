/**
 * What tells where an answer ends.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { hasBody } from "../base/mod.ts";

/**
 * What tells where an answer ends; one with neither a length nor chunks ends with its connection. `none`: its status
 * has no body.
 */
export type Framing = "length" | "chunks" | "connection" | "none";

/** Returns what tells where an answer ends. */
export function framingOf(
  { headers, statusCode = 0 }: IncomingMessage,
): Framing {
  if (!hasBody(statusCode)) return "none";
  const coding = headers["transfer-encoding"];
  if (coding !== undefined) {
    // Other codings, without chunks behind them, have no end of their own.
    return /\bchunked\s*$/i.test(coding) ? "chunks" : "connection";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
}

/**
 * Ends the reading of an answer whose status has no body. What Node.js takes for one, by a length or chunks, may never
 * come, and is no part of an answer if it does.
 */
export function endBodiless(answer: IncomingMessage): void {
  answer.on("error", () => {});
  if (answer.complete) answer.resume();
  else answer.destroy();
}
