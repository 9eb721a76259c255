/**
 * One answer of a stand-in engine: writes generated tokens as JSON or as server-sent events, with the request's faults.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { tokenAt, tokensOf } from "./answer.ts";
import type { EngineFault } from "./faults.ts";
import type { FaultSet } from "./faults.ts";

/** What the answer is made from. */
export interface AnswerRequest {
  readonly kind: "chat" | "completion";
  readonly stream: boolean;
  /** Whether the last event carries the usage. */
  readonly includeUsage: boolean;
  /** Whether every event carries the usage so far, as vLLM's `continuous_usage_stats` asks. */
  readonly continuousUsage: boolean;
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly nonce: string;
  /** Tokens of the whole answer, those before a resume counted. */
  readonly count: number;
  readonly resumeFrom: number;
  /** Whether each event carries its place in the answer as its `id`. */
  readonly numbered: boolean;
}

/** Another request, whose answer a crossed one carries. */
export type OtherRequest = Pick<AnswerRequest, "requestId" | "nonce">;

/** Writes one answer. */
export class AnswerWriter {
  readonly #request: AnswerRequest;
  readonly #res: ServerResponse;
  readonly #faults: FaultSet<EngineFault>;
  readonly #other: OtherRequest;
  readonly #created = Math.floor(Date.now() / 1000);
  #ready: number;
  #place: number;
  #sent: number;
  #text = "";
  #held = false;
  #stalled = false;
  #warm = 0;

  /** `other` is whose answer is sent if the request is struck by the fault `crossed`. */
  constructor(
    request: AnswerRequest,
    res: ServerResponse,
    faults: FaultSet<EngineFault>,
    other: OtherRequest,
  ) {
    this.#request = request;
    this.#res = res;
    this.#faults = faults;
    this.#other = other;
    this.#ready = this.#sent = this.#place = request.resumeFrom;
  }

  /** Prompt tokens that were warm, for the usage. */
  setWarm(tokens: number): void {
    this.#warm = tokens;
  }

  /** More tokens were generated. */
  push(tokens: number): void {
    this.#ready += tokens;
    this.#pump();
  }

  #pump(): void {
    if (this.#held || this.#res.destroyed) return;
    if (!this.#res.headersSent && this.#request.stream) this.#openStream();
    if (this.#holdsForLate()) return;
    let out = "";
    while (this.#sent < this.#ready) {
      if (this.#strikes("cut")) return this.#cut(out);
      if (this.#strikes("truncate")) return void this.#res.end(out);
      if (this.#holdsForStall()) break;
      out += this.#tokenEvent();
      this.#sent++;
    }
    if (this.#sent < this.#request.count) return this.#write(out);
    this.#res.end(
      this.#request.stream ? out + this.#lastEvents() : this.#json(),
    );
  }

  #write(out: string): void {
    if (out !== "" && this.#request.stream) this.#res.write(out);
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
      "x-request-id": this.#as(0).requestId,
      ...(resumeFrom > 0 ? { "x-resumed-from": String(resumeFrom) } : {}),
    };
  }

  /** Whose answer token `index` belongs to. */
  #as(index: number): OtherRequest {
    const crossed = this.#faults.get("crossed");
    return crossed && index >= (crossed.afterTokens ?? 0)
      ? this.#other
      : this.#request;
  }

  #strikes(type: "cut" | "truncate"): boolean {
    return this.#faults.get(type)?.afterTokens === this.#sent;
  }

  #cut(out: string): void {
    const destroy = () => this.#res.socket?.resetAndDestroy();
    if (out === "" || !this.#request.stream) return void destroy();
    // A reset would throw away what was written before it.
    this.#res.write(out, () => setTimeout(() => this.#res.destroy(), 5));
    this.#held = true;
  }

  #holdsForStall(): boolean {
    const stall = this.#faults.get("stall");
    if (!stall || this.#stalled || stall.afterTokens !== this.#sent) {
      return false;
    }
    this.#stalled = true;
    this.#hold(stall.stallMs);
    return true;
  }

  #holdsForLate(): boolean {
    const late = this.#faults.get("late");
    if (!late || this.#stalled) return false;
    if (this.#ready < this.#request.count) return true;
    this.#stalled = true;
    this.#hold(late.delayMs);
    return true;
  }

  #hold(holdMs: number): void {
    this.#held = true;
    const timer = setTimeout(() => {
      this.#held = false;
      this.#pump();
    }, holdMs);
    // A timer that outlives its answer keeps the process from ending.
    this.#res.once("close", () => clearTimeout(timer));
  }

  #tokenEvent(): string {
    const { kind, stream, count } = this.#request;
    const as = this.#as(this.#sent);
    const token = tokenAt(as.nonce, this.#sent, count);
    this.#text += token;
    if (!stream) return "";
    const delta = kind === "chat"
      ? {
        delta: this.#sent === this.#request.resumeFrom
          ? { role: "assistant", content: token }
          : { content: token },
      }
      : { text: token };
    const event = this.#event(
      [{ index: 0, ...delta, logprobs: null, finish_reason: null }],
      this.#request.continuousUsage ? this.#usage(this.#sent + 1) : undefined,
    );
    this.#place++;
    return this.#faults.get("duplicate") ? event + event : event;
  }

  #lastEvents(): string {
    const end = this.#request.kind === "chat" ? { delta: {} } : { text: "" };
    const usage = this.#usage(this.#sent);
    let out = this.#event(
      [{ index: 0, ...end, logprobs: null, finish_reason: "stop" }],
      this.#request.continuousUsage ? usage : undefined,
    );
    this.#place++;
    if (this.#request.includeUsage) out += this.#event([], usage);
    return `${out}data: [DONE]\n\n`;
  }

  #event(choices: readonly unknown[], usage?: unknown): string {
    const object = this.#request.kind === "chat"
      ? "chat.completion.chunk"
      : "text_completion";
    const body = { ...this.#head(object), choices, usage };
    const place = this.#request.numbered ? `id: ${this.#place}\n` : "";
    return `${place}data: ${JSON.stringify(body)}\n\n`;
  }

  #head(object: string): Record<string, unknown> {
    const prefix = this.#request.kind === "chat" ? "chatcmpl" : "cmpl";
    return {
      id: `${prefix}-${this.#as(this.#sent).requestId}`,
      object,
      created: this.#created,
      model: this.#request.model,
    };
  }

  #usage(completion: number): Record<string, unknown> {
    const prompt = tokensOf(this.#request.prompt);
    return {
      prompt_tokens: prompt,
      completion_tokens: completion,
      total_tokens: prompt + completion,
      prompt_tokens_details: { cached_tokens: this.#warm },
    };
  }

  #json(): string {
    const isChat = this.#request.kind === "chat";
    const content = isChat
      ? { message: { role: "assistant", content: this.#text } }
      : { text: this.#text };
    const body = JSON.stringify({
      ...this.#head(isChat ? "chat.completion" : "text_completion"),
      choices: [{
        index: 0,
        ...content,
        logprobs: null,
        finish_reason: "stop",
      }],
      usage: this.#usage(this.#sent),
    });
    this.#res.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      ...this.#headers(),
    });
    return body;
  }
}
