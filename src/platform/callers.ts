/**
 * What callers send to the gateway and what they are told, beside the route's own bytes.
 *
 * @module
 */

import { codes, type Failure, secretDigest } from "../base/mod.ts";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { PromptPart } from "../routing/mod.ts";

/** What the head of a caller's request says, decoded once. */
export interface CallerHead {
  /** Names this attempt of the caller; a second attempt has another. */
  readonly attemptId: string;
  readonly host: string;
  /** Path with the query, as sent. */
  readonly target: string;
  /** How long the caller waits, from the arrival of the head, in ms. Not a point in time. */
  readonly waitMs: number | undefined;
  /** Parts of the prompt in order; the last is the request's own or its session's. */
  readonly promptParts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Most tokens of the answer. */
  readonly outputTokens: number;
  /** Tokens that the answer will have, as the caller guesses; often far off, and never above the most. */
  readonly expectedOutputTokens: number;
  /** Set if the caller continues a broken stream after this event. */
  readonly resumesAfter: string | undefined;
  /** SHA-256 digest of its key, in hex; the key itself is kept nowhere. `undefined` if it sends none that can be read. */
  readonly keyDigest: string | undefined;
}

/** Paths that the gateway answers itself, by the listener they belong to. */
export const LOOKUP_PATH = "/api/lookup";
/** Asked every second by the platform. */
export const READY_PATH = "/api/ready";

/** What a directory question names. */
export interface LookupQuery {
  readonly region: string;
  readonly failureDomain: string;
}

/** Decodes the query of a directory question. */
export function decodeLookup(url: URL): LookupQuery {
  return {
    region: url.searchParams.get("region") ?? "",
    failureDomain: url.searchParams.get("zone") ?? "",
  };
}

/** The answer to a directory question, as JSON text. */
export function encodeLookup(
  addresses: readonly string[],
  ttlS: number,
): string {
  return JSON.stringify({ addresses, ttl_s: ttlS });
}

function decodePrompt(text: string | undefined): PromptPart[] {
  if (!text) return [];
  const parts: PromptPart[] = [];
  for (const item of text.split(",")) {
    const colon = item.lastIndexOf(":");
    const tokens = Number(item.slice(colon + 1));
    if (colon < 1 || !Number.isInteger(tokens) || tokens < 0) return [];
    parts.push({ id: item.slice(0, colon).trim(), tokens });
  }
  return parts;
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function decodeWaitMs(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const ms = Number(text);
  return Number.isFinite(ms) && ms >= 0 ? ms : undefined;
}

function decodeTokenCounts(headers: IncomingHttpHeaders): [number, number] {
  const [prompt, output] = (firstValue(headers["token-counts"]) ?? "").split(
    ",",
  );
  return [Math.max(0, Number(prompt) || 0), Math.max(0, Number(output) || 0)];
}

/** A key goes in the one way that the platform names; whoever sends two, or two headers, has none. */
const KEY_HEADER = /^authorization$/i;
const BEARER = /^Bearer +(\S+) *$/i;

function decodeKeyDigest(request: IncomingMessage): string | undefined {
  const sent = request.headers.authorization;
  if (sent === undefined) return undefined;
  let count = 0;
  for (let at = 0; at < request.rawHeaders.length; at += 2) {
    if (KEY_HEADER.test(request.rawHeaders[at])) count++;
  }
  const key = count === 1 ? BEARER.exec(sent)?.[1] : undefined;
  return key === undefined ? undefined : secretDigest(key);
}

/** Decodes a caller's head. A malformed prompt or count is forwarded as it is and only not used for placing. */
export function decodeHead(request: IncomingMessage): CallerHead {
  const { headers } = request;
  const [promptTokens, outputTokens] = decodeTokenCounts(headers);
  return {
    attemptId: firstValue(headers["attempt-id"]) ?? "",
    host: (headers.host ?? "").toLowerCase().replace(/:\d+$/, ""),
    target: request.url ?? "/",
    waitMs: decodeWaitMs(firstValue(headers["deadline-ms"])),
    promptParts: decodePrompt(firstValue(headers["prompt-prefix"])),
    promptTokens,
    outputTokens,
    expectedOutputTokens: Math.min(
      outputTokens,
      Number(firstValue(headers["length-hint"])) || outputTokens,
    ),
    resumesAfter: firstValue(headers["last-event-id"]),
    keyDigest: decodeKeyDigest(request),
  };
}

/** Statuses that promise a caller that its request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Our own failure as a caller reads it. `comeBackMs` of 0 names no time. What has not run says so by its status, and what
 * may have run never does.
 */
export function encodeFailure(
  failure: Failure,
  retryAfterMs: number,
): { status: number; headers: string[]; body: string } {
  const { code, httpStatus, retryable } = codes[failure.code];
  const isNotRunStatus = NOT_RUN_STATUSES.has(httpStatus);
  const status = failure.ran === "no"
    ? (retryable && !isNotRunStatus ? 503 : httpStatus)
    : (isNotRunStatus ? 502 : httpStatus);
  const body = JSON.stringify({
    error: {
      code,
      name: failure.code,
      ran: failure.ran,
      message: failure.message,
    },
  });
  const headers = [
    "Content-Type",
    "application/json",
    "Content-Length",
    String(Buffer.byteLength(body)),
  ];
  if (retryAfterMs > 0) {
    headers.push("Retry-After", (retryAfterMs / 1000).toFixed(2));
  }
  return { status, headers, body };
}
