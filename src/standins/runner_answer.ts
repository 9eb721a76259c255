/**
 * The answers of a stand-in runner: plain bodies and event streams, and the ways in which they are framed and end.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";

/** How a runner treats its requests. */
export type RunnerBehavior =
  /** Answers normally. */
  | "well"
  /** Refuses the request with 503 because it is full, without running it. */
  | "shed"
  /** Runs the request and answers with an error of its own. */
  | "error"
  /** Runs the request and never answers. */
  | "silent"
  /** Runs the request and sends nothing but the head of a stream. */
  | "headOnly"
  /** Runs the request and resets the connection. */
  | "reset"
  /** Answers without a content length and resets the connection in the middle of the body. */
  | "resetUnframed"
  /** Answers, and then sends a second response on the same connection. */
  | "surplus"
  /** Answers with the id of another attempt. */
  | "crossed"
  /** Answers without the header that identifies the runner. */
  | "unsigned"
  /** Streams half of its events, stops in the middle of the next, and resets the connection. */
  | "halfStream";

/** How an answer tells where its body ends. */
export type AnswerFraming =
  /** By a length, or by chunks for a stream. */
  | "framed"
  /** By neither: the body ends with its connection. */
  | "unframed";

/** How an answer ends. One that ends early has sent half of its events, or half of a plain body. */
export type AnswerEnding =
  /** After its last byte, in order. */
  | "whole"
  /** Early and in order, after a whole event. */
  | "closeAfterEvent"
  /** Early and in order, inside an event. */
  | "closeInEvent"
  /** Early by a reset of the connection, after a whole event. */
  | "resetAfterEvent"
  /** Early by a reset of the connection, inside an event. */
  | "resetInEvent";

/** How a crash ends the connections of a runner. */
export type CrashEnding = "close" | "reset";

/** Default number of events in a whole stream. */
export const DEFAULT_STREAM_EVENTS = 6;

/** Default number of bytes that are sent of the event inside which a stream ends. */
export const DEFAULT_PARTIAL_EVENT_BYTES = 8;

/** Fills plain answers up to their size. */
const FILLER = ".";

function formatEvent(id: number, version: string | undefined): string {
  const by = version === undefined ? "" : ` by ${version}`;
  return `id: ${id}\ndata: piece ${id}${by}\n\n`;
}

/** Returns the body of a whole stream after event `after`, as a runner of a software version writes it. */
export function formatStream(
  after = 0,
  events = DEFAULT_STREAM_EVENTS,
  version?: string,
): string {
  let text = "";
  for (let id = after + 1; id <= events; id++) {
    text += formatEvent(id, version);
  }
  return text;
}

/** What decides how a runner answers. It is read again for each event of a stream. */
export interface AnswerSettings {
  readonly id: string;
  /** The version of the runner's software, which its events name; absent: they name none. */
  readonly version: string | undefined;
  readonly behavior: RunnerBehavior;
  readonly framing: AnswerFraming;
  /** How streams end. */
  readonly ending: AnswerEnding;
  /** How plain answers end. */
  readonly plainEnding: AnswerEnding;
  /** Bytes that are sent of the event inside which a stream ends; at most all but its last byte. */
  readonly partialEventBytes: number;
  /** Number of bytes of the plain answer to a target at least. */
  plainBytesOf(target: string): number;
  /** Number of events of each stream. */
  readonly streamEvents: number;
  /** Time between two events of a stream. */
  readonly eventGapMs: number;
  /** What a stream that ends early waits for before it does. */
  readonly earlyEnd: Promise<void>;
}

/** The headers that identify the runner of an answer and the attempt that it belongs to. */
export function stampHeaders(
  { id, behavior }: AnswerSettings,
  { headers }: IncomingMessage,
): Record<string, string> {
  const attemptId = behavior === "crossed"
    ? "another"
    : String(headers["attempt-id"]);
  return {
    "attempt-id": attemptId,
    ...(behavior === "unsigned" ? {} : { "response-stamp": `stamp-${id}` }),
  };
}

/** Makes a response end with its connection instead of a length or chunks. */
function applyFraming(response: ServerResponse, framing: AnswerFraming): void {
  if (framing === "framed") return;
  response.shouldKeepAlive = false;
  for (const name of ["content-length", "transfer-encoding", "connection"]) {
    response.removeHeader(name);
  }
}

/** Ends an answer before its end, in order or by a reset. */
function endEarly(
  request: IncomingMessage,
  response: ServerResponse,
  ending: AnswerEnding,
  lastBytes: string,
): void {
  const isReset = ending === "resetAfterEvent" || ending === "resetInEvent";
  if (!isReset) return void response.end(lastBytes);
  if (lastBytes === "") return void request.socket.resetAndDestroy();
  response.write(lastBytes, () => request.socket.resetAndDestroy());
}

/** Whether a runner that behaves like this sends no answer, or nothing but a head. */
export function isIgnoring(behavior: RunnerBehavior): boolean {
  return behavior === "silent" || behavior === "headOnly";
}

/** Sends a plain answer. */
export function sendPlain(
  settings: AnswerSettings,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { framing, plainEnding: ending } = settings;
  const body = `served by ${settings.id}`
    .padEnd(settings.plainBytesOf(request.url ?? ""), FILLER);
  const length = framing === "framed" ? { "content-length": body.length } : {};
  applyFraming(response, framing);
  response.writeHead(200, { ...stampHeaders(settings, request), ...length });
  if (ending === "whole") return void response.end(body);
  endEarly(request, response, ending, body.slice(0, body.length / 2));
  // Node keeps the connection of a body that is shorter than its length.
  if (framing === "framed") request.socket.destroySoon();
}

/** Sends the head of a stream. */
export function sendStreamHead(
  settings: AnswerSettings,
  request: IncomingMessage,
  response: ServerResponse,
): ServerResponse {
  applyFraming(response, settings.framing);
  return response.writeHead(200, {
    ...stampHeaders(settings, request),
    "content-type": "text/event-stream",
  });
}

/** A stream that a runner is sending. */
export class RunnerStream {
  readonly #settings: AnswerSettings;
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  #nextId: number;
  #isStopped = false;

  constructor(
    settings: AnswerSettings,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#settings = settings;
    this.#request = request;
    this.#response = response;
    this.#nextId = Number(request.headers["last-event-id"] ?? 0) + 1;
  }

  /** Sends the stream; returns when it has ended in one way or another. */
  async send(): Promise<void> {
    const settings = this.#settings;
    sendStreamHead(settings, this.#request, this.#response);
    while (this.#nextId <= settings.streamEvents) {
      if (
        this.#nextId > settings.streamEvents / 2 && await this.#endEarly()
      ) return;
      if (this.#isStopped || this.#response.destroyed) return;
      const event = formatEvent(this.#nextId++, settings.version);
      this.#response.write(event);
      await new Promise((resolve) => setTimeout(resolve, settings.eventGapMs));
    }
    if (!this.#isStopped) this.#response.end();
  }

  /** Closes the connection before the stream's end. */
  stop(): void {
    this.#isStopped = true;
    this.#response.destroy();
  }

  /** Stops inside the next event, if there is one, and closes the connection in order. */
  closeInEvent(): void {
    this.#isStopped = true;
    const isOver = this.#nextId > this.#settings.streamEvents;
    if (!isOver) this.#response.write(this.#partialEvent());
    this.#request.socket.destroySoon();
  }

  #partialEvent(): string {
    const { partialEventBytes, version } = this.#settings;
    const event = formatEvent(this.#nextId, version);
    return event.slice(0, Math.min(partialEventBytes, event.length - 1));
  }

  /** Ends the stream here if the runner's settings say so. */
  async #endEarly(): Promise<boolean> {
    const { behavior, ending } = this.#settings;
    const current = behavior === "halfStream" ? "resetInEvent" : ending;
    if (current === "whole") return false;
    await this.#settings.earlyEnd;
    const isInEvent = current === "closeInEvent" || current === "resetInEvent";
    const lastBytes = isInEvent ? this.#partialEvent() : "";
    endEarly(this.#request, this.#response, current, lastBytes);
    return true;
  }
}
