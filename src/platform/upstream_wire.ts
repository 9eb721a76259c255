/**
 * Encoding of requests to upstreams and decoding of their answers.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { areHeaders, hasBody } from "../base/mod.ts";

/** Headers that apply to one connection only and are not forwarded. */
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
 * Headers to upstreams that only the gateway may set. If a caller could set them, it could reserve, pin or copy an engine's
 * memory on the gateway's account.
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

/** Headers with the caller's key, which no upstream may see, and its workspace, which only the gateway may set. */
const CALLER_HEADERS = new Set(["authorization", "tenant"]);

/** Prefix of the headers between VMs, which are not forwarded to upstreams. */
export const PEER_HEADER_PREFIX = "ibisgap-";

/** Copies raw headers, except those of one connection and those whose lower-case name `isExcluded` accepts. */
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

/** The caller as it is described to an upstream. */
export interface ForwardedCaller {
  /** `undefined` if no key was required. */
  readonly workspace: string | undefined;
}

/**
 * The caller's headers that are forwarded to any upstream; {@link addSendHeaders} adds those of each send. `caller` is
 * `undefined` if the configuration has no workspaces. The gateway then does not interpret keys and forwards them.
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
  if (caller?.workspace !== undefined) {
    // Node writes headers as latin-1, and refuses any other character.
    const bytes = Buffer.from(caller.workspace, "utf8");
    kept.push("Tenant", bytes.toString("latin1"));
  }
  return kept;
}

/** Values of the headers that one send adds to the caller's headers. */
export interface SendHeaderOptions {
  /** The upstream that the request is for; any other one refuses it. */
  readonly upstreamId: string;
  /** How long the upstream may work on the request, in ms from its arrival. */
  readonly workMs: number;
  /** `IP:PORT` of an engine from which the upstream may copy the prompt's shared parts. */
  readonly fetchFrom?: string;
  /** `IP:PORT/HANDLE` of the memory from which the stream continues; see {@link StoppedRun}. */
  readonly goesOnFrom?: string;
  /** From 0, which is admitted first, to 9. */
  readonly urgency?: number;
}

/** Adds the headers of one send to the forwarded ones. */
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

/** Path of the request that moves the memory of a run to another engine. */
export const MOVE_PATH = "/api/kv-move";

/**
 * Encodes the request that makes an engine stop a run and copy its memory to the engine at `target` (`IP:PORT`). The
 * stream of the stopped run breaks off without an end event.
 */
export function encodeMove(attemptId: string, target: string): string {
  return JSON.stringify({ id: attemptId, target, last: true });
}

/** A run that an engine stopped in order to move it. */
export interface StoppedRun {
  /** Name of the copy; it can be used once. */
  readonly handle: string;
  /** Whether the memory is at the target; if not, only the source has it. */
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

/** What a refusal says of how long its upstream wants no further request from this VM. */
export interface RestRequest {
  /** `undefined` if the value is not a number of seconds. */
  readonly ms: number | undefined;
  /** The value as sent. */
  readonly text: string;
}

/** The decoded head of an upstream's answer. */
export interface UpstreamAnswer {
  readonly status: number;
  /** Headers to pass on to the caller. */
  readonly headers: readonly string[];
  /** Whether all headers are well-formed; Node.js lets some pass that are not. */
  readonly isWellFormed: boolean;
  /** Whether the upstream proves that it made this answer. A success without proof is not passed on to the caller. */
  readonly signed: boolean;
  /** Whether the answer states that the request was not run and never will be. */
  readonly notRun: boolean;
  /** Whether another process now has the address of the upstream. */
  readonly wrongUpstream: boolean;
  /** Whether it answers this attempt; late answers to earlier attempts can appear on reused connections. */
  readonly matches: boolean;
  /** Whether the upstream closes the connection after this answer, because it drains or is about to. */
  readonly closes: boolean;
  /** Whether the upstream says that it is about to stop. */
  readonly isLeaving: boolean;
  /** Set if it turned the request away and asks for rest. */
  readonly rest: RestRequest | undefined;
  /** Length of the body, if the answer states it and may have one. */
  readonly bodyBytes: number | undefined;
}

/** The statuses that an answer may end with; others are of no answer, or of one that something else follows. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Why what came in the place of an answer can't be used as one. */
export type AnswerFault = "status" | "headers" | "attempt" | "unsigned";

/** Checks that an upstream made an answer, and for the attempt that it was asked for. */
export function findAnswerFault(
  { status, isWellFormed, matches, signed, notRun }: UpstreamAnswer,
): AnswerFault | undefined {
  if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS) return "status";
  if (!isWellFormed) return "headers";
  if (!matches) return "attempt";
  return signed || notRun ? undefined : "unsigned";
}

/** Seconds, whole or with a fraction; the platform does not send dates. */
const SECONDS = /^\d+(?:\.\d+)?$/;

function decodeRest(
  status: number,
  text: string | undefined,
): RestRequest | undefined {
  if (status !== 503 || text === undefined) return undefined;
  return { ms: SECONDS.test(text) ? Number(text) * 1_000 : undefined, text };
}

/** Whether headers that are passed on have a stamp that says something. */
function hasStamp(headers: readonly string[]): boolean {
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at].toLowerCase() !== "response-stamp") continue;
    if (headers[at + 1].trim() !== "") return true;
  }
  return false;
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
  const kept = copyHeaders(
    answer.rawHeaders,
    (name) => name.startsWith(PEER_HEADER_PREFIX),
  );
  return {
    status,
    headers: kept,
    isWellFormed: areHeaders(answer.rawHeaders),
    signed: hasStamp(kept),
    notRun: headers["not-executed"] !== undefined || wrongUpstream,
    wrongUpstream,
    matches: echoed === undefined
      ? !headers["response-stamp"]
      : echoed === attemptId,
    closes: headers.connection === "close",
    isLeaving: headers["server-leaving"] === "1",
    rest: decodeRest(status, headers["retry-after"]),
    bodyBytes: decodeLength(status, headers["content-length"]),
  };
}

function decodeLength(
  status: number,
  text: string | undefined,
): number | undefined {
  return text === undefined || !hasBody(status) ? undefined : Number(text);
}

/** Adds the header that asks an upstream to continue a stream after an event, in place of any that the caller sent. */
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
