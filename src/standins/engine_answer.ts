/**
 * Writes one answer of a stand-in engine, as JSON or as server-sent events, and applies the request's faults to it.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { estimateTokens, formatToken } from "./answer.ts";
import type { EngineFault } from "./faults.ts";
import type { FaultSet } from "./faults.ts";

/** A parsed request, from which the answer is made. */
export interface AnswerRequest {
  readonly kind: "chat" | "completion";
  readonly isStream: boolean;
  /** Whether the last event carries the usage. */
  readonly includeUsage: boolean;
  /** Whether every event carries the usage so far, as vLLM's `continuous_usage_stats` requests it. */
  readonly includeRunningUsage: boolean;
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly nonce: string;
  /** Tokens of the whole answer, including those before `resumeFrom`. */
  readonly outputTokens: number;
  /** Index of the first token to send; 0 unless the request resumes a stream. */
  readonly resumeFrom: number;
  /** Whether each event carries its index in the answer as its `id`. */
  readonly hasEventIds: boolean;
}

/** The parts of a request that identify its answer. */
export type AnswerIdentity = Pick<AnswerRequest, "requestId" | "nonce">;

/** Writes one answer as its tokens are generated. */
export class AnswerWriter {
  readonly #request: AnswerRequest;
  readonly #res: ServerResponse;
  readonly #faults: FaultSet<EngineFault>;
  readonly #other: AnswerIdentity;
  readonly #created = Math.floor(Date.now() / 1000);
  #generated: number;
  #eventId: number;
  #sent: number;
  #text = "";
  #isPaused = false;
  #hasPaused = false;
  #cachedTokens = 0;

  /** `other` is the request whose answer is sent if the fault `crossed` applies. */
  constructor(
    request: AnswerRequest,
    res: ServerResponse,
    faults: FaultSet<EngineFault>,
    other: AnswerIdentity,
  ) {
    this.#request = request;
    this.#res = res;
    this.#faults = faults;
    this.#other = other;
    this.#generated = this.#sent = this.#eventId = request.resumeFrom;
  }

  /** Sets the number of cached prompt tokens that the usage reports. */
  setCachedTokens(tokens: number): void {
    this.#cachedTokens = tokens;
  }

  /** Adds newly generated tokens and writes what can be sent. */
  addTokens(tokens: number): void {
    this.#generated += tokens;
    this.#writeReady();
  }

  #writeReady(): void {
    if (this.#isPaused || this.#res.destroyed) return;
    if (!this.#res.headersSent && this.#request.isStream) this.#openStream();
    if (this.#pauseForLate()) return;
    let out = "";
    while (this.#sent < this.#generated) {
      if (this.#isCutPoint("cut")) return this.#breakConnection(out);
      if (this.#isCutPoint("truncate")) return void this.#res.end(out);
      if (this.#pauseForStall()) break;
      out += this.#nextTokenEvent();
      this.#sent++;
    }
    if (this.#sent < this.#request.outputTokens) return this.#write(out);
    this.#res.end(
      this.#request.isStream
        ? out + this.#formatLastEvents()
        : this.#openJson(),
    );
  }

  #write(out: string): void {
    if (out !== "" && this.#request.isStream) this.#res.write(out);
  }

  #openStream(): void {
    this.#res.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      ...this.#headers(),
    });
  }

  #headers(): Record<string, string> {
    const { resumeFrom } = this.#request;
    return {
      "x-request-id": this.#identityAt(0).requestId,
      ...(resumeFrom > 0 ? { "x-resumed-from": String(resumeFrom) } : {}),
    };
  }

  /** The request to whose answer the token `index` belongs. */
  #identityAt(index: number): AnswerIdentity {
    const crossed = this.#faults.get("crossed");
    return crossed && index >= (crossed.afterTokens ?? 0)
      ? this.#other
      : this.#request;
  }

  #isCutPoint(type: "cut" | "truncate"): boolean {
    return this.#faults.get(type)?.afterTokens === this.#sent;
  }

  #breakConnection(out: string): void {
    const destroy = () => this.#res.socket?.resetAndDestroy();
    if (out === "" || !this.#request.isStream) return void destroy();
    // A reset would discard the data that was written before it.
    this.#res.write(out, () => setTimeout(() => this.#res.destroy(), 5));
    this.#isPaused = true;
  }

  #pauseForStall(): boolean {
    const stall = this.#faults.get("stall");
    if (!stall || this.#hasPaused || stall.afterTokens !== this.#sent) {
      return false;
    }
    this.#hasPaused = true;
    this.#pause(stall.stallMs);
    return true;
  }

  #pauseForLate(): boolean {
    const late = this.#faults.get("late");
    if (!late || this.#hasPaused) return false;
    if (this.#generated < this.#request.outputTokens) return true;
    this.#hasPaused = true;
    this.#pause(late.delayMs);
    return true;
  }

  #pause(pauseMs: number): void {
    this.#isPaused = true;
    const timer = setTimeout(() => {
      this.#isPaused = false;
      this.#writeReady();
    }, pauseMs);
    // A timer that outlives its answer would keep the process from exiting.
    this.#res.once("close", () => clearTimeout(timer));
  }

  #nextTokenEvent(): string {
    const { kind, isStream, outputTokens } = this.#request;
    const identity = this.#identityAt(this.#sent);
    const token = formatToken(identity.nonce, this.#sent, outputTokens);
    this.#text += token;
    if (!isStream) return "";
    const delta = kind === "chat"
      ? {
        delta: this.#sent === this.#request.resumeFrom
          ? { role: "assistant", content: token }
          : { content: token },
      }
      : { text: token };
    const event = this.#formatEvent(
      [{ index: 0, ...delta, logprobs: null, finish_reason: null }],
      this.#request.includeRunningUsage
        ? this.#usageFields(this.#sent + 1)
        : undefined,
    );
    this.#eventId++;
    return this.#faults.get("duplicate") ? event + event : event;
  }

  #formatLastEvents(): string {
    const end = this.#request.kind === "chat" ? { delta: {} } : { text: "" };
    const usage = this.#usageFields(this.#sent);
    let out = this.#formatEvent(
      [{ index: 0, ...end, logprobs: null, finish_reason: "stop" }],
      this.#request.includeRunningUsage ? usage : undefined,
    );
    this.#eventId++;
    if (this.#request.includeUsage) out += this.#formatEvent([], usage);
    return `${out}data: [DONE]\n\n`;
  }

  #formatEvent(choices: readonly unknown[], usage?: unknown): string {
    const object = this.#request.kind === "chat"
      ? "chat.completion.chunk"
      : "text_completion";
    const body = { ...this.#commonFields(object), choices, usage };
    const idLine = this.#request.hasEventIds ? `id: ${this.#eventId}\n` : "";
    return `${idLine}data: ${JSON.stringify(body)}\n\n`;
  }

  #commonFields(object: string): Record<string, unknown> {
    const prefix = this.#request.kind === "chat" ? "chatcmpl" : "cmpl";
    return {
      id: `${prefix}-${this.#identityAt(this.#sent).requestId}`,
      object,
      created: this.#created,
      model: this.#request.model,
    };
  }

  #usageFields(completionTokens: number): Record<string, unknown> {
    const promptTokens = estimateTokens(this.#request.prompt);
    return {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
      prompt_tokens_details: { cached_tokens: this.#cachedTokens },
    };
  }

  /** Writes the response head and returns the JSON body. */
  #openJson(): string {
    const isChat = this.#request.kind === "chat";
    const content = isChat
      ? { message: { role: "assistant", content: this.#text } }
      : { text: this.#text };
    const body = JSON.stringify({
      ...this.#commonFields(isChat ? "chat.completion" : "text_completion"),
      choices: [{
        index: 0,
        ...content,
        logprobs: null,
        finish_reason: "stop",
      }],
      usage: this.#usageFields(this.#sent),
    });
    this.#res.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      ...this.#headers(),
    });
    return body;
  }
}
