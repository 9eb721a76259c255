/**
 * Requests to upstreams and what their answers say.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Headers of one connection only, which are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
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

/** The caller's key, which no upstream may see, and the name of its workspace, which only the gateway may set. */
const CALLER_HEADERS = new Set(["authorization", "tenant"]);

/** Headers between VMs begin so, and go no further. */
export const PEER_HEADER_PREFIX = "ibisgap-";

/** Copies raw headers, less those of one connection and those that `isLeftOut` names, in lower case. */
function copyHeaders(
  raw: readonly string[],
  isExcluded: (name: string) => boolean,
): string[] {
  const connectionHeaders = new Set<string>();
  for (let at = 0; at < raw.length; at += 2) {
    if (raw[at].toLowerCase() !== "connection") continue;
    for (const name of raw[at + 1].split(",")) {
      connectionHeaders.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at < raw.length; at += 2) {
    const name = raw[at].toLowerCase();
    if (
      HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name) ||
      isExcluded(name)
    ) continue;
    kept.push(raw[at], raw[at + 1]);
  }
  return kept;
}

/** Who calls, as an upstream is told. */
export interface ForwardedCaller {
  /** Absent if nobody's key was asked for. */
  readonly workspace: string | undefined;
}

/**
 * A caller's headers as any upstream gets them; see {@link addSendHeaders} for what each send adds. `caller` is absent where
 * the configuration has no workspaces: a key then means nothing here and is the upstream's own matter.
 */
export function forwardedHeaders(
  raw: readonly string[],
  caller: ForwardedCaller | undefined,
): string[] {
  const kept = copyHeaders(
    raw,
    (name) =>
      GATEWAY_HEADERS.has(name) || name.startsWith(PEER_HEADER_PREFIX) ||
      (caller !== undefined && CALLER_HEADERS.has(name)),
  );
  if (caller?.workspace !== undefined) kept.push("Tenant", caller.workspace);
  return kept;
}

/** What one send tells its upstream besides the caller's own headers. */
export interface SendHeaderOptions {
  /** The upstream that is meant; any other one turns the request away. */
  readonly upstreamId: string;
  /** How long it may work, in ms from its arrival. */
  readonly workMs: number;
  /** `IP:PORT` of an engine that it may copy the prompt's shared parts from. */
  readonly fetchFrom?: string;
  /** `IP:PORT/HANDLE` of the memory that the stream goes on from; see {@link StoppedRun}. */
  readonly goesOnFrom?: string;
  /** From 0, which is admitted first, to 9. */
  readonly urgency?: number;
}

/** The headers of one send. */
export function addSendHeaders(
  forwarded: readonly string[],
  { upstreamId, workMs, fetchFrom, goesOnFrom, urgency }: SendHeaderOptions,
): string[] {
  return [
    ...forwarded,
    ...(fetchFrom === undefined ? [] : ["Kv-Fetch", fetchFrom]),
    ...(goesOnFrom === undefined ? [] : ["Kv-From", goesOnFrom]),
    ...(urgency === undefined ? [] : ["Request-Urgency", String(urgency)]),
    "Deadline-Ms",
    String(Math.max(1, Math.floor(workMs))),
    "Expect-Instance",
    upstreamId,
  ];
}

/** Path on which an engine moves the memory of a run. */
export const MOVE_PATH = "/api/kv-move";

/**
 * Asks an engine to stop a run and to copy its memory to the engine at `target` (`IP:PORT`). The run's stream ends
 * without its end.
 */
export function encodeMove(attemptId: string, target: string): string {
  return JSON.stringify({ id: attemptId, target, last: true });
}

/** An engine stopped a run. */
export interface StoppedRun {
  /** Names the copy, once. */
  readonly handle: string;
  /** Whether the memory is at the target; otherwise only the source still has it. */
  readonly isAtTarget: boolean;
}

/** Decodes the answer to a move; `undefined` if the run was not stopped. */
export function decodeMove(
  status: number,
  text: string,
): StoppedRun | undefined {
  if (status !== 200 && status !== 503) return undefined;
  try {
    const { handle } = JSON.parse(text) as { handle?: unknown };
    return typeof handle === "string" || typeof handle === "number"
      ? { handle: String(handle), isAtTarget: status === 200 }
      : undefined;
  } catch {
    return undefined;
  }
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
    headers: copyHeaders(answer.rawHeaders, () => false),
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
export function addResumeHeader(
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
