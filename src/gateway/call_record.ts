/**
 * What is told of one request: a log line for each decision, and its metrics.
 *
 * @module
 */

import type { CodeName } from "../base/mod.ts";
import type { RefusalDetails } from "../routing/mod.ts";
import type { SuspectStatus } from "../suspects/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { GatewayContext } from "./context.ts";
import type { CountedBy } from "./quotas.ts";
import type { Loss } from "./losses.ts";

/** The longest time between two pieces of an answer. */
interface LongestPause {
  readonly ms: number;
  /** Pieces that came before it. */
  readonly afterChunks: number;
  /** Prompt tokens that waited at the upstream at its end. */
  readonly waitingTokens: number;
}

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
  /** The upstream that ended as the request began to run there. */
  crashedUpstream: string | undefined;
  /** Times that the stream went on at another engine, with its memory. */
  moves = 0;
  #refusalFields: Readonly<Record<string, unknown>> = {};
  #quotaFields: Readonly<Record<string, unknown>> = {};
  #lossFields: Readonly<Record<string, unknown>> = {};
  #suspicionFields: Readonly<Record<string, unknown>> = {};
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: string;
  readonly #arrivedMonoMs: number;
  #firstByteMs: number | undefined;
  #lastChunkMonoMs = -Infinity;
  #longestPause: LongestPause = { ms: 0, afterChunks: 0, waitingTokens: 0 };
  #chunks = 0;

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

  /** Notes that an upstream took the request for its own. */
  noteAccepted(): void {
    this.sends++;
    this.arrivals++;
  }

  /** Notes that bytes of an answer came. */
  noteChunk(): void {
    const nowMs = this.#context.clock.monoMs();
    if (this.#firstByteMs === undefined) {
      const ms = nowMs - this.#arrivedMonoMs;
      this.#firstByteMs = Math.round(ms);
      const labels = `service="${this.#service}"`;
      this.#context.metrics.recordTime("first_byte", labels, ms);
    } else this.#notePause(nowMs - this.#lastChunkMonoMs);
    this.#lastChunkMonoMs = nowMs;
    this.#chunks++;
  }

  #notePause(ms: number): void {
    if (ms <= this.#longestPause.ms) return;
    this.#longestPause = {
      ms,
      afterChunks: this.#chunks,
      waitingTokens: this.#context.upstreams.waitingTokens(this.place),
    };
  }

  /** It is refused; `here` and `elsewhere` are what that was decided on. */
  noteRefused({ here, elsewhere }: RefusalDetails): void {
    this.#refusalFields = {
      here,
      elsewhere:
        elsewhere.map(({ region, free, queue }) => `${region}:${free}/${queue}`)
          .join(",") || "nobody",
    };
  }

  /** Its use of its workspace's limit was looked at, and counted or refused. */
  noteQuota({ units }: QuotaUse, countedBy: CountedBy): void {
    this.#quotaFields = { quotaUnits: units, countedBy };
  }

  /** An upstream's connection broke under it; `digest` names the request under any attempt. */
  noteLoss({ sentAgoMs, beganAgoMs }: Loss, digest: string): void {
    this.#lossFields = {
      request: digest,
      lostAfterMs: Math.round(sentAgoMs),
      lostAfterBeginMs: beganAgoMs && Math.round(beganAgoMs),
    };
  }

  /** Upstreams ended under it before. */
  noteSuspect(
    status: SuspectStatus,
    digest: string,
    crashes: readonly string[],
  ): void {
    this.#suspicionFields = {
      request: digest,
      standing: status,
      ends: crashes.join(),
    };
  }

  /** The request is sent once more. */
  noteRetry(reason: string): void {
    this.#context.log.warn("sent again", this.#logFields({ reason }));
    this.#context.metrics.count("sent_again", `service="${this.#service}"`);
  }

  /** A fault of this program. */
  noteInternalError(error: unknown): void {
    const reason = (error as Error).stack ?? String(error);
    this.#context.log.error(
      "request failed inside",
      this.#logFields({ reason }),
    );
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
    metrics.recordTime("total", labels, totalMs);
    const fields = this.#logFields({
      outcome,
      reason,
      comeBackMs,
      totalMs: Math.round(totalMs),
    });
    // What was sent again was warned of already: its end must not be sampled away.
    if (outcome === "ok" && this.tries <= 1) log.info("request", fields);
    else log.warn("request", fields);
  }

  #logFields(more: Record<string, unknown>): Record<string, unknown> {
    const { head, route, config, caller, relayed, deadlineMonoMs } =
      this.#input;
    const { ms, afterChunks, waitingTokens } = this.#longestPause;
    const pauseFields = ms === 0 ? {} : {
      longestPauseMs: Math.round(ms),
      pauseAfter: afterChunks,
      pauseBeside: waitingTokens,
    };
    return {
      attempt: head.attemptId,
      route: route.name,
      kind: route.kind,
      workspace: caller.workspace?.name,
      priority: caller.priority,
      service: this.#service,
      configVersion: config.version,
      relayed,
      place: this.place,
      sends: this.sends,
      tries: this.tries,
      leftMs: Math.round(deadlineMonoMs - this.#context.clock.monoMs()),
      firstByteMs: this.#firstByteMs,
      promptTokens: head.promptTokens,
      outputTokens: head.expectedOutputTokens,
      objectiveMs: route.objectiveMs,
      gapMs: route.eventGapMs,
      moves: this.moves,
      ...pauseFields,
      ...this.#quotaFields,
      ...this.#suspicionFields,
      ...this.#lossFields,
      ...this.#refusalFields,
      ...more,
    };
  }
}
