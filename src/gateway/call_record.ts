/**
 * The log lines and metrics of one request: a line for each decision.
 *
 * @module
 */

import type { CodeName } from "../base/mod.ts";
import type { RefusalDetails } from "../routing/mod.ts";
import type { Blame, Traits } from "../suspects/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { GatewayContext } from "./context.ts";
import type { CountedBy } from "./quotas.ts";
import type { Loss } from "./losses.ts";
import type { BodyReport } from "./pipe.ts";
import type { ProcessVerdict } from "./process_proof.ts";
import { type AnswerSource, RunVersion } from "./run_version.ts";

/** The longest time between two chunks of an answer. */
interface LongestPause {
  readonly ms: number;
  /** Chunks that came before it. */
  readonly afterChunks: number;
  /** Prompt tokens that were waiting at the upstream when the pause ended. */
  readonly waitingTokens: number;
}

/** How a request goes to another place than the one it was sent to. */
export type RetryWay =
  /** After a failed answer of an upstream. */
  | "failedAnswer"
  /** After a refusal of an upstream, which says that it did not run the request. */
  | "refused"
  /** After a connection that broke, or an answer that did not come. */
  | "lost"
  /** After a VM of another region did not get it served. */
  | "relayFailed"
  /** A stream goes on at another upstream after a break. */
  | "resumption"
  /** A running stream moves to another upstream. */
  | "move";

/** What the retry budget said to one more send. */
export interface BudgetAnswer {
  /** Whether the send took from the budget; the first arrival at an upstream does not. */
  readonly isCounted: boolean;
  /** Retries that were left before, as a fraction. */
  readonly left: number;
  /** Number of VMs that the budget was taken to be shared by. */
  readonly sharers: number;
}

/** Collects what happens to one request, and writes its log lines and metrics. */
export class CallRecord {
  /** The upstream or VM that the request was last sent to. */
  place = "";
  /** Upstreams that received the request and accepted it as addressed to them. */
  sends = 0;
  /** Upstreams that received the request, including those that refused it. Each beyond the first is a retry. */
  arrivals = 0;
  /** Sends of the request, including failed connects. */
  tries = 0;
  /** The upstream that crashed as the request began to run there. */
  crashedUpstream: string | undefined;
  /** Times that the stream moved to another engine together with its memory. */
  moves = 0;
  /** Which process of its upstream the last send reached, if that was asked. */
  process: ProcessVerdict | undefined;
  readonly run = new RunVersion();
  #refusalFields: Readonly<Record<string, unknown>> = {};
  #quotaFields: Readonly<Record<string, unknown>> = {};
  #lossFields: Readonly<Record<string, unknown>> = {};
  #bodyFields: Readonly<Record<string, unknown>> = {};
  #suspicionFields: Readonly<Record<string, unknown>> = {};
  #originFields: Readonly<Record<string, unknown>> = {};
  #budgetFields: Readonly<Record<string, unknown>> = {};
  #queuedMs = 0;
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

  /** Notes that an upstream received the request and accepted it as addressed to it. */
  noteAccepted(): void {
    this.sends++;
    this.arrivals++;
  }

  /** Notes that the body of an answer is about to be forwarded; see {@link RunVersion.noteAnswer}. */
  noteAnswer(source: AnswerSource, hasEvents: boolean): void {
    this.run.noteAnswer(source, this.place, hasEvents);
  }

  /** Notes that a chunk of the answer arrived. */
  noteChunk(nowMs: number): void {
    if (this.#firstByteMs === undefined) {
      const ms = nowMs - this.#arrivedMonoMs;
      this.#firstByteMs = Math.round(ms);
      const labels = `service="${this.#service}"`;
      this.#context.metrics.recordTime("first_byte", labels, ms);
    } else this.#notePause(nowMs - this.#lastChunkMonoMs);
    this.#lastChunkMonoMs = nowMs;
    this.#chunks++;
  }

  /** Notes how an answer's body ended. What a relayed answer's VM concluded stands in the line of that VM. */
  noteBody(report: BodyReport | undefined): void {
    if (!report) return;
    this.#bodyFields = {
      framing: report.framing,
      bodyEnd: report.end,
      bodyBytes: report.forwardedBytes,
      ...(report.events === undefined ? {} : { events: report.events }),
      ...(report.heldBytes > 0 ? { heldBytes: report.heldBytes } : {}),
      ...(report.isInsideEvent ? { insideEvent: true } : {}),
      concluded: report.conclusion,
    };
    const { framing, end, conclusion } = report;
    const labels =
      `framing="${framing}",end="${end}",inside_event="${report.isInsideEvent}",concluded="${conclusion}"`;
    this.#context.metrics.count("answer_ends", labels);
  }

  #notePause(ms: number): void {
    if (ms <= this.#longestPause.ms) return;
    this.#longestPause = {
      ms,
      afterChunks: this.#chunks,
      waitingTokens: this.#context.upstreams.waitingTokens(this.place),
    };
  }

  /** Notes that the request is refused; `here` and `elsewhere` are what the refusal was decided on. */
  noteRefused({ here, resting, elsewhere }: RefusalDetails): void {
    this.#refusalFields = {
      here,
      ...(resting > 0 ? { resting } : {}),
      elsewhere:
        elsewhere.map(({ region, free, queue }) => `${region}:${free}/${queue}`)
          .join(",") || "nobody",
    };
  }

  /** Notes that the request waited in the queue of its lead. */
  noteQueued(ms: number): void {
    this.#queuedMs += ms;
    this.#context.metrics.recordTime("queue", `service="${this.#service}"`, ms);
  }

  /** Notes that the request was charged to its workspace's quota, or refused as over quota. */
  noteQuota({ units }: QuotaUse, countedBy: CountedBy): void {
    this.#quotaFields = { quotaUnits: units, countedBy };
  }

  /** Notes that the connection to the upstream broke. `traits` identify the request and the parts of its prompt. */
  noteLoss({ sentAgoMs, beganAgoMs }: Loss, [digest, ...parts]: Traits): void {
    this.#lossFields = {
      request: digest,
      parts: parts.join(),
      lostAfterMs: Math.round(sentAgoMs),
      lostAfterBeginMs: beganAgoMs && Math.round(beganAgoMs),
    };
  }

  /** Notes that upstreams crashed before under the request, or with parts of its prompt. */
  noteBlame({ status, trait, crashes }: Blame, traits: Traits): void {
    const [request, ...parts] = traits;
    this.#suspicionFields = {
      request,
      parts: parts.join(),
      standing: status,
      blamed: trait,
      ends: crashes.join(),
    };
  }

  /** Notes which version began the stream, and how this VM knows. */
  noteOrigin(fields: Readonly<Record<string, unknown>>): void {
    this.#originFields = { ...this.#originFields, ...fields };
  }

  /** Notes that the answer broke off. One that may go on waits until it is known which process began it. */
  async noteBreak(mayContinue: boolean): Promise<void> {
    const { storeView, clock } = this.#context;
    this.run.noteBreak(storeView.fleet);
    if (mayContinue) await this.run.waitForProcess(clock);
  }

  /** Notes that the request is sent again. */
  noteRetry(reason: string, way: RetryWay, budget: BudgetAnswer): void {
    const fields = {
      reason,
      way,
      arrival: this.arrivals + 1,
      ...budgetLogFields(budget),
    };
    this.#context.log.warn("sent again", this.#logFields(fields));
    const labels =
      `service="${this.#service}",way="${way}",counted="${budget.isCounted}"`;
    this.#context.metrics.count("sent_again", labels);
  }

  /** Notes that the retry budget allows no other send. */
  noteRetryRefused(way: RetryWay, budget: BudgetAnswer): void {
    this.#budgetFields = { budgetRefused: way, ...budgetLogFields(budget) };
    const labels = `service="${this.#service}",way="${way}"`;
    this.#context.metrics.count("retries_refused", labels);
  }

  /** Notes that this VM's planned stop ended the request, with an answer begun or not. */
  noteCutByStop(hasBegun: boolean): void {
    const { relayed } = this.#input;
    const answer = hasBegun ? "begun" : "none";
    const labels =
      `service="${this.#service}",answer="${answer}",relayed="${relayed}"`;
    this.#context.metrics.count("cut_by_stop", labels);
  }

  /** Logs a fault of this program. */
  noteInternalError(error: unknown): void {
    const reason = (error as Error).stack ?? String(error);
    this.#context.log.error(
      "request failed with an internal error",
      this.#logFields({ reason }),
    );
  }

  /** Logs and counts the end of the request. */
  finish(
    outcome: CodeName | "ok",
    reason: string | undefined,
    comeBackMs: number | undefined,
  ): void {
    const { log, metrics, clock } = this.#context;
    const { route, relayed, head } = this.#input;
    const totalMs = clock.monoMs() - this.#arrivedMonoMs;
    const labels =
      `service="${this.#service}",kind="${route.kind}",relayed="${relayed}"`;
    metrics.count("requests", `${labels},outcome="${outcome}"`);
    metrics.recordTime("total", labels, totalMs);
    // The number of tokens tells more of a stream's length than other streams do.
    if (route.kind !== "stream" || head.outputTokens === 0) {
      this.#noteDuration(outcome, totalMs);
    }
    const fields = this.#logFields({
      outcome,
      reason,
      comeBackMs,
      totalMs: Math.round(totalMs),
    });
    // The log already has a warning about a retried request, so its end must not be lost to sampling.
    if (outcome === "ok" && this.tries <= 1) log.info("request", fields);
    else log.warn("request", fields);
  }

  /** A call that timed out took at least as long; what was refused or canceled says nothing. */
  #noteDuration(outcome: CodeName | "ok", totalMs: number): void {
    if (outcome !== "ok" && outcome !== "upstreamTimeout") return;
    const { route } = this.#input;
    this.#context.callDurations.note(route.name, totalMs);
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
      ...(this.#queuedMs > 0 ? { queuedMs: Math.round(this.#queuedMs) } : {}),
      process: this.process,
      ...this.run.fields,
      ...pauseFields,
      ...this.#quotaFields,
      ...this.#suspicionFields,
      ...this.#originFields,
      ...this.#lossFields,
      ...this.#bodyFields,
      ...this.#refusalFields,
      ...this.#budgetFields,
      ...more,
    };
  }
}

/** What a log line states of the retry budget. */
function budgetLogFields(
  { left, sharers }: BudgetAnswer,
): Record<string, unknown> {
  return { budgetLeft: left.toFixed(1), budgetSharers: sharers };
}
