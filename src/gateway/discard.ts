/**
 * Reads the rest of answers that nobody wants, so that their connections can be used again.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { GatewayContext } from "./context.ts";

/** A longer rest costs more than a new connection. */
const MAX_DISCARDED_BYTES = 65_536;
/** A refusal that isn't over by then may never be. */
const MAX_DISCARD_MS = 500;

/** Why the rest of an answer was not read to its end. */
type DiscardLimit = "bytes" | "time";

/**
 * Reads and drops the rest of an answer. Closes its connection if the rest is long or slow: an upstream may send without
 * end, and would hold a connection and processor time for as long as it does.
 */
export function discardBody(
  answer: IncomingMessage,
  { clock, log, metrics }: Pick<GatewayContext, "clock" | "log" | "metrics">,
): void {
  const { remoteAddress, remotePort } = answer.socket;
  let bytes = 0;
  const stop = (limit: DiscardLimit) => {
    if (answer.destroyed) return;
    answer.destroy();
    metrics.count("discards_cut", `limit="${limit}"`);
    log.warn("answer closed unread", {
      from: `${remoteAddress}:${remotePort}`,
      status: answer.statusCode,
      limit,
      bytes,
    });
  };
  const timer = clock.after(MAX_DISCARD_MS, () => stop("time"));
  answer.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_DISCARDED_BYTES) stop("bytes");
  });
  answer.on("error", () => {});
  answer.on("close", () => timer.close());
}
