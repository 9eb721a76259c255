/**
 * Measurements of one request, for the lead's estimates and for the metrics.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import { codes, type Failure } from "../base/mod.ts";
import { setVmHeaders } from "./answer.ts";
import type { Attempt } from "./attempts.ts";
import type { Call } from "./call.ts";
import type { EdgeContext } from "./context.ts";

/** Maximum number of gaps kept of one answer: enough for percentiles, with bounded memory for long answers. */
const MAX_GAPS = 512;

/** Collects the measurements of one request. */
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
  #hasFinished = false;

  constructor(context: EdgeContext, call: Call) {
    this.#context = context;
    this.#call = call;
    this.#region = context.vm.region;
  }

  /** Whether any part of an answer was forwarded to the caller. */
  get hasStarted(): boolean {
    return this.firstTokenAtMs !== undefined;
  }

  /** Records that a slot was granted. */
  recordGrant(attempt: Attempt): void {
    this.#queuedMs = attempt.grant.queuedMs;
  }

  /** Returns the row of the attempt's upstream, in the version of the table that this request uses. */
  findUpstreamRow(attempt: Attempt): UpstreamRow | undefined {
    return this.#call.table.get(`upstream/${attempt.grant.upstreamId}`)?.row as
      | UpstreamRow
      | undefined;
  }

  /** Records the region of the upstream that answers, and sets it in the response's headers. */
  setServingUpstream(attempt: Attempt): void {
    this.#region = this.findUpstreamRow(attempt)?.region ?? this.#region;
    setVmHeaders(this.#call.response, {
      ...this.#context.vm,
      region: this.#region,
    });
  }

  /** Records that one event of a stream, or a whole answer, is forwarded. */
  recordEvent(atMs: number): void {
    if (this.firstTokenAtMs === undefined) this.firstTokenAtMs = atMs;
    else if (this.#gapsMs.length < MAX_GAPS) {
      this.#gapsMs.push(atMs - this.#lastAtMs);
    }
    this.#lastAtMs = atMs;
    this.outputTokens++;
  }

  /** Takes the token counts from the engine's `usage` object, where it has them. */
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

  /** Records that the request ended with a failure that was sent to the caller. */
  fail(error: Failure): void {
    this.finish(codes[error.code].code);
  }

  /** Reports the ended request to the metrics, once: how it ended first counts. `code` is 0 for success. */
  finish(code: number): void {
    if (this.#hasFinished) return;
    this.#hasFinished = true;
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
