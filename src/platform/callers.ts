/**
 * Decoding of callers' request heads, and encoding of the gateway's own answers to callers.
 *
 * @module
 */

import { codes, type Failure, secretDigest } from "../base/mod.ts";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { PromptPart } from "../routing/mod.ts";

/** The decoded head of a caller's request. */
export interface CallerHead {
  /** Identifies this attempt of the caller; a further attempt has another id. */
  readonly attemptId: string;
  readonly host: string;
  /** Path with the query, as sent. */
  readonly target: string;
  /** How long the caller waits, in ms from the arrival of the head. It is a duration, not a point in time. */
  readonly waitMs: number | undefined;
  /** Parts of the prompt in order; the last one belongs to this request or its session alone. */
  readonly promptParts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Maximum tokens of the answer. */
  readonly outputTokens: number;
  /** The caller's estimate of the answer's tokens. It is often far off, and capped at the maximum. */
  readonly expectedOutputTokens: number;
  /** Id of the event after which the caller continues a broken stream, if it does. */
  readonly resumesAfter: string | undefined;
  /**
   * Id of the caller's attempt that brought the first event of the stream that it continues; `undefined` if it names none,
   * or what it names is no single id.
   */
  readonly firstAttemptId: string | undefined;
  /** SHA-256 digest of the caller's key, in hex; the key itself is not kept. `undefined` if no readable key was sent. */
  readonly keyDigest: string | undefined;
}

/** Path of directory queries, which the gateway answers itself. */
export const LOOKUP_PATH = "/api/lookup";
/** Path of the readiness check that the platform calls every second. */
export const READY_PATH = "/api/ready";

/** The parameters of a directory query. */
export interface LookupQuery {
  readonly region: string;
  readonly failureDomain: string;
}

/** Decodes a directory query. */
export function decodeLookup(url: URL): LookupQuery {
  return {
    region: url.searchParams.get("region") ?? "",
    failureDomain: url.searchParams.get("zone") ?? "",
  };
}

/** Encodes the answer to a directory query as JSON text. */
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

/** The platform defines one way to send a key. A caller that sends two keys, or two headers, counts as having none. */
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

/** An id of an attempt. A comma stands between several, also if they came in several headers. */
const ATTEMPT_ID = /^[\w.:~-]{1,128}$/;

function decodeFirstAttempt(
  sent: string | string[] | undefined,
): string | undefined {
  return typeof sent === "string" && ATTEMPT_ID.test(sent) ? sent : undefined;
}

/** Decodes a caller's head. Malformed prompt parts or counts are forwarded unchanged, but not used for placing. */
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
    firstAttemptId: decodeFirstAttempt(headers["resumes"]),
    keyDigest: decodeKeyDigest(request),
  };
}

/** Statuses that guarantee to a caller that its request was not run and never will be. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Encodes a failure of the gateway for a caller. If `retryAfterMs` is 0, there is no `Retry-After` header. A request that
 * was not run and may be retried gets a status that guarantees this; one that may have run never gets such a status.
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
