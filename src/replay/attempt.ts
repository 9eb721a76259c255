/**
 * Makes one attempt of a replay's caller at one VM, with the same protocol that every caller uses.
 *
 * @module
 */

import { createParser } from "eventsource-parser";
import { Agent } from "node:http";
import got, { type Request } from "got";
import { type Ran, secretDigest } from "../base/mod.ts";
import { checkAnswer } from "../standins/mod.ts";
import { buildPrompt } from "./prompt.ts";
import type { AttemptRecord } from "./request_record.ts";
import type { TraceRequest } from "./trace.ts";

/** Options of an attempt. */
export interface AttemptOptions {
  readonly url: string;
  readonly key: string;
  /** Tag in the prompt, unique for each attempt. */
  readonly nonce: string;
  /** Wall-clock time. */
  readonly deadlineMs: number;
  /** Wall-clock time at which the caller closes the connection. */
  readonly hangUpAtMs: number;
}

interface ErrorBody {
  readonly code?: unknown;
  readonly ran?: unknown;
  readonly retryAtMs?: unknown;
  readonly goTo?: unknown;
}

/** Connection pool of all callers. Connections are kept alive, as real clients do. */
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

/** Builds the body of a plain call. It depends on the idempotency key, so that a retry has the same body. */
export function buildPlainBody(request: TraceRequest): string {
  const seed = request.idempotencyKey ?? `${request.arrivalMs}`;
  return JSON.stringify({
    entry: seed,
    note: "x".repeat(request.promptTokens),
  });
}

/** Makes one attempt; never throws. */
export async function makeAttempt(
  request: TraceRequest,
  options: AttemptOptions,
): Promise<AttemptRecord> {
  const isChat = request.kind === "chat";
  const body = isChat
    ? buildChatBody(request, options.nonce)
    : buildPlainBody(request);
  const result: AttemptRecord = {
    nonce: isChat ? options.nonce : secretDigest(body),
    url: options.url,
    sentAtMs: Date.now(),
    endedAtMs: 0,
    end: "broken",
    httpStatus: 0,
  };
  const path = isChat
    ? "/v1/chat/completions"
    : `/services/${request.service}/entries`;
  const stream = got.stream.post(options.url + path, {
    body,
    headers: buildHeaders(request, options),
    agent: { http: agent },
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    timeout: { connect: 1000 },
  });
  const hangUp = setTimeout(() => {
    result.end = "timeout";
    stream.destroy();
  }, Math.max(1, options.hangUpAtMs - Date.now()));
  try {
    await readResponse(stream, result);
  } catch {
    // The connection broke, or the caller closed it. `end` already says so.
  }
  clearTimeout(hangUp);
  result.endedAtMs = Date.now();
  return result;
}

function buildChatBody(request: TraceRequest, nonce: string): string {
  return JSON.stringify({
    model: request.service,
    messages: [{ role: "user", content: buildPrompt(request, nonce) }],
    max_tokens: request.outputTokens,
    stream: true,
  });
}

function buildHeaders(
  request: TraceRequest,
  options: AttemptOptions,
): Record<string, string> {
  return {
    "content-type": "application/json",
    authorization: `Bearer ${options.key}`,
    "x-ibisgap-workspace": request.workspace,
    "x-ibisgap-priority": String(request.priority),
    "x-ibisgap-deadline": String(Math.round(options.deadlineMs)),
    ...(request.idempotencyKey
      ? { "idempotency-key": request.idempotencyKey }
      : {}),
  };
}

async function readResponse(
  stream: Request,
  result: AttemptRecord,
): Promise<void> {
  stream.on("response", (response) => {
    result.httpStatus = response.statusCode;
    result.region = response.headers["x-ibisgap-region"];
    result.vm = response.headers["x-ibisgap-vm"];
  });
  const events = new StreamedAnswer(result);
  let raw = "";
  for await (const chunk of stream) {
    const text = chunk.toString();
    if (isEventStream(stream)) events.feed(text);
    else raw += text;
  }
  if (isEventStream(stream)) events.end();
  else readWholeAnswer(raw, result);
}

function isEventStream(stream: Request): boolean {
  const type = stream.response?.headers["content-type"] ?? "";
  return type.startsWith("text/event-stream");
}

/** Reads a response that is not streamed: a plain service's answer, or an error. */
function readWholeAnswer(raw: string, result: AttemptRecord): void {
  const body = parseJson(raw);
  if (result.httpStatus >= 400) {
    return recordFailure(body?.error as ErrorBody, result);
  }
  result.end = "answered";
  result.firstTokenAtMs = Date.now();
  result.check = body?.bodyDigest === result.nonce ? "complete" : "foreign";
}

function recordFailure(
  error: ErrorBody | undefined,
  result: AttemptRecord,
): void {
  result.end = "failed";
  result.code = Number(error?.code ?? 0);
  if (error?.ran !== undefined) result.ran = error.ran as Ran;
  if (typeof error?.retryAtMs === "number") result.retryAtMs = error.retryAtMs;
  if (Array.isArray(error?.goTo)) result.goTo = error.goTo;
}

function parseJson(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Parses a streamed answer and records it in the attempt. */
class StreamedAnswer {
  readonly #result: AttemptRecord;
  readonly #parser = createParser({
    onEvent: (e) => this.#handleEvent(e.data),
  });
  #text = "";
  #hasDoneEvent = false;

  constructor(result: AttemptRecord) {
    this.#result = result;
  }

  feed(text: string): void {
    this.#parser.feed(text);
  }

  /** Handles a clean end of the connection. Without `[DONE]` or an error event before it, the answer counts as cut. */
  end(): void {
    if (this.#result.end === "failed") return;
    this.#result.end = "answered";
    const check = checkAnswer(this.#text, this.#result.nonce);
    this.#result.check = this.#hasDoneEvent || check === "foreign"
      ? check
      : "cut";
  }

  #handleEvent(data: string): void {
    if (data === "[DONE]") return void (this.#hasDoneEvent = true);
    const event = parseJson(data);
    if (event?.error) {
      return recordFailure(event.error as ErrorBody, this.#result);
    }
    const [choice] = (event?.choices ?? []) as {
      delta?: { content?: string };
    }[];
    const content = choice?.delta?.content ?? "";
    if (content !== "") this.#result.firstTokenAtMs ??= Date.now();
    this.#text += content;
  }
}
