/**
 * Which headers pass through the gateway.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";

/** Headers of one connection, by HTTP's definition, and those the edge sets anew. */
const DROPPED_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "expect",
  "x-request-id",
  "last-event-id",
  // The caller's key is for the gateway; an upstream never sees it.
  "authorization",
]);

/**
 * The headers of `headers` that go on to the other side. Names that the gateway itself gives a meaning to are dropped:
 * a caller that sends them must not pass for the gateway.
 */
export function selectForwardedHeaders(
  headers: IncomingHttpHeaders | Readonly<Record<string, string>>,
): Record<string, string> {
  const connectionHeaders = new Set(
    (String(headers.connection ?? "")).toLowerCase().split(/\s*,\s*/),
  );
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (
      value === undefined || DROPPED_HEADERS.has(name) ||
      connectionHeaders.has(name) ||
      name.startsWith("x-ibisgap-")
    ) continue;
    forwarded[name] = Array.isArray(value) ? value.join(", ") : value as string;
  }
  return forwarded;
}
