/**
 * Selects the headers that the gateway forwards.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";

/** Headers that are not forwarded: HTTP's hop-by-hop headers, and those that the edge sets itself. */
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
  // The caller's key is meant for the gateway. It must not reach an upstream.
  "authorization",
]);

/**
 * Returns the headers that are forwarded to the upstream or back to the caller. The gateway's own headers
 * (`x-ibisgap-*`) are dropped, so that a caller that sends them is not mistaken for the gateway.
 */
export function selectForwardedHeaders(
  headers: IncomingHttpHeaders | Readonly<Record<string, string>>,
): Record<string, string> {
  const connectionHeaders = new Set(
    String(headers.connection ?? "").split(",")
      .map((name) => name.trim().toLowerCase()),
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
