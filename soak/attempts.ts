/**
 * Requests of callers: what a caller sends, and what it sees of the answer.
 *
 * @module
 */

import { type Agent, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import type { Endpoint } from "./proxy.ts";

/** Kind of a caller's request; each has a route of its own. */
export type RequestKind =
  | "safe"
  | "once"
  | "stream"
  | "streamonce"
  | "south"
  | LongKind;

/** Kinds whose callers wait for longer than a VM may take to stop. */
export type LongKind =
  | "longsafe"
  | "longonce"
  | "longstream"
  | "longstreamonce"
  /** Relayed to the south if it comes to another region. */
  | "longsouth"
  /** An answer of {@link LARGE_ANSWER_BYTES}, which its caller reads slowly. */
  | "large";

/** One attempt, as its caller observed it. Times are on the world's clock. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** The last event that the caller has of the stream that it takes up again; 0 if the request is new. */
  readonly lastEventId: number;
  /** Id of the attempt that brought the first event of that stream. */
  readonly resumes: string | undefined;
  /** Index of the VM whose address the caller used. */
  readonly vmIndex: number;
  readonly sentMs: number;
  /** When the caller's deadline or the route's timeout is reached, whichever comes first. */
  readonly deadlineMs: number;
  /** Since when a connection to the VM itself carried it; `Infinity` for one through a proxy, where that isn't known. */
  connectedMs: number;
  endMs: number;
  /** HTTP status; 0 if the connection ended without an answer. */
  status: number;
  /** The attempt id in the answer's headers. */
  answerAttemptId: string | undefined;
  stamp: string | undefined;
  text: string;
  /** Whether the answer arrived completely. */
  isComplete: boolean;
  /** When the caller canceled the request, if it did. */
  canceledMs: number | undefined;
}

/** What is drawn of an attempt. */
export interface AttemptDraft
  extends Pick<Attempt, "id" | "kind" | "vmIndex" | "sentMs" | "deadlineMs"> {
  /** How often the body is repeated. */
  readonly bodyParts: number;
}

/** An attempt whose answer isn't over. */
export interface OpenAttempt {
  /** Resolves when the answer or its connection has ended. */
  readonly ended: Promise<void>;
  /** Leaves, as a caller that no longer waits. */
  cancel(): void;
}

/** How an attempt is sent. */
export interface SendOptions {
  readonly agent: Agent;
  readonly to: Endpoint;
  /** Whether `to` is the VM's own address, and not a proxy's. */
  readonly isDirect?: boolean;
  readonly nowMs: () => number;
  /** Called with the answer before any of its body has come. */
  readonly onAnswer?: (answer: IncomingMessage) => void;
}

/** Size of large answers: more than the buffers of a connection hold. */
export const LARGE_ANSWER_BYTES = 12_000_000;
/** Deadline of requests of {@link LongKind}: longer than VMs may take to stop. */
export const LONG_DEADLINE_MS = 8_000;
/** Timeout of their routes. */
export const LONG_TIMEOUT_MS = 10_000;
/** Fills a large answer up to its size. */
const FILLER = /\.+$/;
/** Time after its deadline when a caller without a final answer gives up; it is much longer than the gateway may take. */
const GIVE_UP_MS = 3_500;

/** Whether requests of a kind are answered by a stream of events. */
export function isStreamKind(kind: RequestKind): boolean {
  return kind.includes("stream");
}

/** Whether callers of a kind wait for longer than a VM may take to stop. */
export function isLongKind(kind: RequestKind): boolean {
  return kind === "large" || kind.startsWith("long");
}

/** Whether requests of a kind may run more than once. */
export function isRepeatableKind(kind: RequestKind): boolean {
  return kind.endsWith("safe") || kind.endsWith("stream") || kind === "large";
}

/** Maximum number of upstreams that an attempt may reach, as the world's routes limit it. */
export function maxUpstreamsOf(kind: RequestKind): number {
  return kind.endsWith("streamonce") ? 1 : 2;
}

/** Makes an attempt that has not been sent. */
export function newAttempt({ bodyParts, ...draft }: AttemptDraft): Attempt {
  const { id, kind } = draft;
  const hasBody = kind !== "safe";
  return {
    ...draft,
    method: hasBody ? "POST" : "GET",
    target: `/${kind}/${id}`,
    body: hasBody ? `body of ${id}`.repeat(bodyParts) : "",
    lastEventId: 0,
    resumes: undefined,
    ...newAnswer(),
  };
}

/** What is known of an answer before it arrives. */
export function newAnswer(): Pick<
  Attempt,
  | "connectedMs"
  | "endMs"
  | "status"
  | "answerAttemptId"
  | "stamp"
  | "text"
  | "isComplete"
  | "canceledMs"
> {
  return {
    connectedMs: Infinity,
    endMs: Infinity,
    status: 0,
    answerAttemptId: undefined,
    stamp: undefined,
    text: "",
    isComplete: false,
    canceledMs: undefined,
  };
}

/** Sends an attempt and records its answer in it. */
export function sendAttempt(
  attempt: Attempt,
  { agent, to, isDirect, nowMs, onAnswer }: SendOptions,
): OpenAttempt {
  const call = request({
    agent,
    host: to.host,
    port: to.port,
    path: attempt.target,
    method: attempt.method,
    headers: {
      host: ROUTE_HOST,
      "attempt-id": attempt.id,
      "deadline-ms": String(Math.round(attempt.deadlineMs - attempt.sentMs)),
      ...resumeHeaders(attempt),
    },
  });
  const ended = new Promise<void>((resolve) => {
    const finish = () => {
      if (attempt.endMs < Infinity) return;
      attempt.endMs = nowMs();
      clearTimeout(giveUpTimer);
      resolve();
    };
    const giveUpTimer = setTimeout(
      () => call.destroy(),
      attempt.deadlineMs + GIVE_UP_MS - attempt.sentMs,
    );
    call.on("response", (answer) => {
      readAnswer(attempt, answer, finish);
      onAnswer?.(answer);
    });
    call.on("error", finish);
  });
  if (isDirect) noteConnection(attempt, call, nowMs);
  call.end(attempt.body);
  return {
    ended,
    cancel: () => {
      if (attempt.endMs < Infinity || attempt.canceledMs) return;
      attempt.canceledMs = nowMs();
      call.destroy();
    },
  };
}

function noteConnection(
  attempt: Attempt,
  call: ReturnType<typeof request>,
  nowMs: () => number,
): void {
  const note = () => void (attempt.connectedMs = nowMs());
  call.on("socket", (socket: Socket) => {
    if (socket.connecting) socket.once("connect", note);
    else note();
  });
}

function resumeHeaders(
  { lastEventId, resumes }: Attempt,
): Record<string, string> {
  return resumes === undefined
    ? {}
    : { "last-event-id": String(lastEventId), resumes };
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function readAnswer(
  attempt: Attempt,
  answer: IncomingMessage,
  finish: () => void,
): void {
  attempt.status = answer.statusCode ?? 0;
  attempt.answerAttemptId = firstValue(answer.headers["attempt-id"]);
  attempt.stamp = firstValue(answer.headers["response-stamp"]);
  let bytes = 0;
  answer.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    attempt.text += attempt.kind === "large"
      ? chunk.toString("latin1").replace(FILLER, "")
      : chunk;
  });
  answer.on("error", () => {});
  answer.on("close", () => {
    attempt.isComplete = answer.complete;
    if (attempt.kind === "large" && attempt.stamp && answer.complete) {
      noteSize(attempt, bytes);
    }
    finish();
  });
}

/** A whole answer of another size differs from the expected one by this note. */
function noteSize(attempt: Attempt, bytes: number): void {
  if (attempt.status === 200 && bytes !== LARGE_ANSWER_BYTES) {
    attempt.text += ` in ${bytes} bytes`;
  }
}
