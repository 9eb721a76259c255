/**
 * What was seen of one request, for the lead's learning and for the metrics.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import { codes, type Failure } from "../base/mod.ts";
import { setVmHeaders } from "./answer.ts";
import type { Attempt } from "./attempts.ts";
import type { Call } from "./call.ts";
import type { EdgeContext } from "./context.ts";

/** Gaps kept of one answer: enough for its percentiles, bounded for long answers. */
const MAX_GAPS = 512;

/** The record of one request. */
export class RequestStats {
  service = "";
  outputTokens = 0;
  firstTokenAtMs?: number;
  cachedTokens?: number;
  readonly #context: EdgeContext;
  readonly #call: Call;
  readonly #gapsMs: number[] = [];
  #lastAtMs = 0;
  #queuedMs?: number;
  #region: string;

  constructor(context: EdgeContext, call: Call) {
    this.#context = context;
    this.#call = call;
    this.#region = context.vm.region;
  }

  /** Whether anything of an answer was passed on to the caller. */
  get hasStarted(): boolean {
    return this.firstTokenAtMs !== undefined;
  }

  /** A slot was granted. */
  recordGrant(attempt: Attempt): void {
    this.#queuedMs = attempt.grant.queuedMs;
  }

  /** The row of the attempt's upstream, in the version this request is decided on. */
  findUpstreamRow(attempt: Attempt): UpstreamRow | undefined {
    return this.#call.table.get(`upstream/${attempt.grant.upstreamId}`)?.row as
      | UpstreamRow
      | undefined;
  }

  /** Marks the answer with the region of the upstream that gives it. */
  setServingUpstream(attempt: Attempt): void {
    this.#region = this.findUpstreamRow(attempt)?.region ?? this.#region;
    setVmHeaders(this.#call.response, {
      ...this.#context.vm,
      region: this.#region,
    });
  }

  /** One event, or the whole answer, passes on. */
  recordEvent(atMs: number): void {
    if (this.firstTokenAtMs === undefined) this.firstTokenAtMs = atMs;
    else if (this.#gapsMs.length < MAX_GAPS) {
      this.#gapsMs.push(atMs - this.#lastAtMs);
    }
    this.#lastAtMs = atMs;
    this.outputTokens++;
  }

  /** What the engine says of its answer's tokens, where it says it. */
  recordUsage(value: unknown): void {
    const usage = value as {
      completion_tokens?: unknown;
      prompt_tokens_details?: { cached_tokens?: unknown };
    } | undefined;
    if (typeof usage?.completion_tokens === "number") {
      this.outputTokens = usage.completion_tokens;
    }
    const cached = usage?.prompt_tokens_details?.cached_tokens;
    if (typeof cached === "number") this.cachedTokens = cached;
  }

  /** The request ended with a failure that the caller was told. */
  fail(error: Failure): void {
    this.finish(codes[error.code].code);
  }

  /** The request ended; `code` is 0 for success. */
  finish(code: number): void {
    void this.#context.metrics.ask("request", {
      service: this.service || "none",
      region: this.#region,
      code,
      outputTokens: this.outputTokens,
      gapsMs: this.#gapsMs,
      servedElsewhere: this.#region !== this.#context.vm.region,
      ...(this.#queuedMs === undefined ? {} : { queuedMs: this.#queuedMs }),
      ...(this.firstTokenAtMs === undefined
        ? {}
        : { firstTokenMs: this.firstTokenAtMs - this.#call.arrivedAtMs }),
    });
  }
}
