/**
 * Requests to upstreams and what their answers say.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Headers of one connection only, which are not forwarded. */
const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
]);

/**
 * Headers that only the gateway may set towards an upstream. A caller's own would reserve, pin or copy an engine's
 * memory on our account.
 */
const GATEWAY_HEADERS = new Set([
  "deadline-ms",
  "expect-instance",
  "expect-version",
  "request-urgency",
  "hold",
  "pin-ms",
  "kv-backup",
  "kv-from",
  "kv-fetch",
]);

/** Copies raw headers, less those of one connection and those in `without`. */
function copyHeaders(
  raw: readonly string[],
  without: ReadonlySet<string> | undefined,
): string[] {
  const named = new Set<string>();
  for (let at = 0; at < raw.length; at += 2) {
    if (raw[at].toLowerCase() !== "connection") continue;
    for (const name of raw[at + 1].split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at < raw.length; at += 2) {
    const name = raw[at].toLowerCase();
    if (HOP_HEADERS.has(name) || named.has(name) || without?.has(name)) {
      continue;
    }
    kept.push(raw[at], raw[at + 1]);
  }
  return kept;
}

/** A caller's headers as any upstream gets them; see {@link addressTo} for what each send adds. */
export function forwardedHeaders(raw: readonly string[]): string[] {
  return copyHeaders(raw, GATEWAY_HEADERS);
}

/**
 * Headers of one send: which upstream it is meant for, how long it may work, in ms from its arrival, and the `IP:PORT`
 * of an engine that it may copy the prompt's shared parts from.
 */
export function addressTo(
  forwarded: readonly string[],
  upstreamId: string,
  workMs: number,
  fetchFrom?: string,
): string[] {
  return [
    ...forwarded,
    ...(fetchFrom === undefined ? [] : ["Kv-Fetch", fetchFrom]),
    "Deadline-Ms",
    String(Math.max(1, Math.floor(workMs))),
    "Expect-Instance",
    upstreamId,
  ];
}

/** How an upstream's answer reads. */
export interface UpstreamAnswer {
  readonly status: number;
  /** Headers to pass on to the caller. */
  readonly headers: readonly string[];
  /** Whether the upstream proves that it made this answer; no success goes to a caller without. */
  readonly signed: boolean;
  /** Whether the answer says that the request was not run and never will be. */
  readonly notRun: boolean;
  /** Whether another process has the address now. */
  readonly wrongUpstream: boolean;
  /** Whether it answers this very attempt; late answers of earlier ones turn up on reused connections. */
  readonly matches: boolean;
  /** Whether the upstream ends the connection after this answer: it leaves, or is about to. */
  readonly closes: boolean;
  /** Length of the body, if the answer names it. */
  readonly bodyBytes: number | undefined;
}

/** Decodes the head of an answer to the attempt `attemptId`. */
export function decodeAnswer(
  answer: IncomingMessage,
  attemptId: string,
): UpstreamAnswer {
  const status = answer.statusCode ?? 0;
  const { headers } = answer;
  const echoed = headers["attempt-id"];
  const wrongUpstream = status === 421;
  return {
    status,
    headers: copyHeaders(answer.rawHeaders, undefined),
    signed: headers["response-stamp"] !== undefined,
    notRun: headers["not-executed"] !== undefined || wrongUpstream,
    wrongUpstream,
    matches: echoed === undefined
      ? !headers["response-stamp"]
      : echoed === attemptId,
    closes: headers.connection === "close",
    bodyBytes: headers["content-length"] === undefined
      ? undefined
      : Number(headers["content-length"]),
  };
}

/** Headers that ask an upstream to go on with a stream after an event. */
export function resumedAfter(
  forwarded: readonly string[],
  eventId: string,
): string[] {
  const kept: string[] = [];
  for (let at = 0; at < forwarded.length; at += 2) {
    if (forwarded[at].toLowerCase() === "last-event-id") continue;
    kept.push(forwarded[at], forwarded[at + 1]);
  }
  return [...kept, "Last-Event-Id", eventId];
}
