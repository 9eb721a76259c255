/**
 * What is told of one request: a log line for each decision, and its metrics.
 *
 * @module
 */

import type { CodeName } from "../base/mod.ts";
import type { RefusedOn } from "../routing/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { GatewayContext } from "./context.ts";

/** See the module. */
export class CallRecord {
  /** The upstream or VM that it was sent to last. */
  place = "";
  /** Upstreams that got it and took it for their own. */
  sends = 0;
  /** Upstreams that it came to, those included that turned it away: each beyond the first is a repeat. */
  arrivals = 0;
  /** Sends that were tried, connections that failed included. */
  tries = 0;
  #refusal: Readonly<Record<string, unknown>> = {};
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: string;
  readonly #arrivedMonoMs: number;
  #firstByteMs: number | undefined;

  constructor(
    context: GatewayContext,
    input: CallInput,
    service: string,
    arrivedMonoMs: number,
  ) {
    this.#context = context;
    this.#input = input;
    this.#service = service;
    this.#arrivedMonoMs = arrivedMonoMs;
  }

  /** Notes that bytes of an answer came. */
  noteChunk(): void {
    if (this.#firstByteMs !== undefined) return;
    const ms = this.#context.clock.monoMs() - this.#arrivedMonoMs;
    this.#firstByteMs = Math.round(ms);
    this.#context.metrics.time("first_byte", `service="${this.#service}"`, ms);
  }

  /** It is refused; `here` and `elsewhere` are what that was decided on. */
  noteRefused({ here, elsewhere }: RefusedOn): void {
    this.#refusal = {
      here,
      elsewhere:
        elsewhere.map(({ region, free, queue }) => `${region}:${free}/${queue}`)
          .join(",") || "nobody",
    };
  }

  /** The request is sent once more. */
  sentAgain(reason: string): void {
    this.#context.log.warn("sent again", this.#fields({ reason }));
    this.#context.metrics.count("sent_again", `service="${this.#service}"`);
  }

  /** A fault of this program. */
  fault(error: unknown): void {
    const reason = (error as Error).stack ?? String(error);
    this.#context.log.error("request failed inside", this.#fields({ reason }));
  }

  /** The request is over. */
  finish(
    outcome: CodeName | "ok",
    reason: string | undefined,
    comeBackMs: number | undefined,
  ): void {
    const { log, metrics, clock } = this.#context;
    const { route, relayed } = this.#input;
    const totalMs = clock.monoMs() - this.#arrivedMonoMs;
    const labels =
      `service="${this.#service}",kind="${route.kind}",relayed="${relayed}"`;
    metrics.count("requests", `${labels},outcome="${outcome}"`);
    metrics.time("total", labels, totalMs);
    const fields = this.#fields({
      outcome,
      reason,
      comeBackMs,
      totalMs: Math.round(totalMs),
    });
    // What was sent again was warned of already: its end must not be sampled away.
    if (outcome === "ok" && this.tries <= 1) log.info("request", fields);
    else log.warn("request", fields);
  }

  #fields(more: Record<string, unknown>): Record<string, unknown> {
    const { head, route, config, relayed, deadlineMonoMs } = this.#input;
    return {
      attempt: head.attemptId,
      route: route.name,
      kind: route.kind,
      service: this.#service,
      configVersion: config.version,
      relayed,
      place: this.place,
      sends: this.sends,
      tries: this.tries,
      leftMs: Math.round(deadlineMonoMs - this.#context.clock.monoMs()),
      firstByteMs: this.#firstByteMs,
      ...this.#refusal,
      ...more,
    };
  }
}
