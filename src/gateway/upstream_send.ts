/**
 * A send to an upstream of this region.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { failure } from "../base/mod.ts";
import {
  addSendHeaders,
  decodeAnswer,
  findAnswerFault,
  tellsBorn,
} from "../platform/mod.ts";
import type { KnownUpstream, SendOutcome } from "../routing/mod.ts";
import type { GatewayContext } from "./context.ts";
import { discardBody } from "./discard.ts";
import {
  Exchange,
  type ExchangeFailure,
  type ExchangeRequest,
  type PendingExchange,
} from "./exchange.ts";
import type { Loss } from "./losses.ts";
import type { ProcessAnswer, ProcessVerdict } from "./process_proof.ts";
import { askProcess } from "./process_question.ts";
import { ProvenExchange } from "./proven_exchange.ts";
import {
  type Answered,
  type OutboundRequest,
  REFUSED_RETRY_AFTER_MS,
  Send,
  type Unanswered,
} from "./send.ts";
import type { WatchedStream } from "./stream_watch.ts";
import type { LinkedCandidate, UpstreamLink } from "./upstream_link.ts";

/** Returns what decides when the stream has to be checked; `undefined` if it can't move. */
function watchedStreamOf(
  { eventGapMs, onStreamCheck }: OutboundRequest,
  { upstream, pace }: LinkedCandidate,
): WatchedStream | undefined {
  if (!onStreamCheck || eventGapMs <= 0) return undefined;
  return { upstreamKey: upstream.key, pace, eventGapMs, check: onStreamCheck };
}

/** A connection inside a region takes a few ms; an upstream that accepts none in this time is unreachable. */
const CONNECT_TIMEOUT_MS = 250;

/** A send to an upstream, which counts as in flight there until it is closed. */
export class UpstreamSend extends Send {
  protected readonly exchange: PendingExchange;
  readonly #candidate: LinkedCandidate;
  readonly #link: UpstreamLink;
  readonly #sentMonoMs: number;
  readonly #watched: WatchedStream | undefined;
  #waitingTokens: number;
  #firstChunkMonoMs: number | undefined;
  #lastChunkMonoMs: number | undefined;
  #loss: Loss | undefined;
  #process: ProcessVerdict | undefined;
  #isCanceled = false;
  #isGivenUp = false;
  #isOpen = true;

  constructor(
    context: GatewayContext,
    outbound: OutboundRequest,
    candidate: LinkedCandidate,
  ) {
    super(context, outbound);
    const { link } = candidate;
    this.#candidate = candidate;
    this.#link = link;
    this.#waitingTokens = outbound.promptTokens;
    const nowMs = context.clock.monoMs();
    this.#sentMonoMs = nowMs;
    this.#watched = watchedStreamOf(outbound, candidate);
    // Before anything is counted: a request that can't be written throws here.
    this.exchange = this.#openExchange();
    context.upstreams.noteSend(candidate, this.#waitingTokens);
    if (outbound.mayRepeat) link.darkListeners.add(this.#cancelWhenUnreachable);
    if (outbound.isSuspect) link.suspectCount++;
    // A lead has counted what it granted already; other sends have to be reported to it soon.
    if (!candidate.grant) context.members.notePromptRead();
    candidate.pace.noteSend(this.#waitingTokens);
  }

  #openExchange(): PendingExchange {
    const { upstream, link } = this.#candidate;
    if (!this.outbound.mustBeProven) {
      return new Exchange({ ...this.#makeRequest(), agent: link.agent });
    }
    return new ProvenExchange({
      upstream,
      clock: this.context.clock,
      makeRequest: () => this.#makeRequest(),
      onAnswer: (answer) => this.#noteAnswered(answer),
    });
  }

  #makeRequest(): Omit<ExchangeRequest, "agent"> {
    const { upstream } = this.#candidate;
    const { outbound } = this;
    return {
      host: upstream.host,
      port: upstream.port,
      method: outbound.method,
      target: outbound.target,
      headers: addSendHeaders(outbound.headers, {
        upstreamId: upstream.id,
        workMs: outbound.deadlineMonoMs - this.context.clock.monoMs(),
        fetchFrom: outbound.fetchFrom,
        goesOnFrom: outbound.goesOnFrom,
        urgency: outbound.urgency,
      }),
      body: outbound.body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    };
  }

  #noteAnswered(answer: ProcessAnswer): void {
    this.#link.proof.note(answer);
    if (answer.verdict !== "unproven") {
      this.#link.noteReceived(this.context.clock.monoMs());
    }
    this.#noteVerdict(answer.verdict, "continuation");
  }

  #noteVerdict(verdict: ProcessVerdict, use: "continuation" | "origin"): void {
    this.#process = verdict;
    const { clock, losses, metrics } = this.context;
    if (verdict === "replaced") {
      losses.noteReplaced(this.#candidate.key);
      this.#link.noteGone(clock.monoMs());
    }
    metrics.count("upstream_processes", `outcome="${verdict}",for="${use}"`);
  }

  override get process(): ProcessVerdict | undefined {
    if (!tellsBorn(this.#candidate.upstream)) return "unknown";
    return this.#process ??
      this.#link.proof.verdictOn(this.exchange.connection);
  }

  override findProcess(): ProcessVerdict | Promise<ProcessVerdict> {
    return this.process ?? this.#askProcess();
  }

  async #askProcess(): Promise<ProcessVerdict> {
    const { upstream } = this.#candidate;
    const { clock, metrics } = this.context;
    const verdict = await this.#link.proof.prove(
      this.exchange.connection,
      () => {
        metrics.count("upstream_reports", `service="${upstream.service}"`);
        return askProcess(upstream, clock);
      },
    );
    this.#noteVerdict(verdict, "origin");
    return verdict;
  }

  /** The upstream that it was sent to. */
  get candidate(): LinkedCandidate {
    return this.#candidate;
  }

  override get version(): string {
    return this.#candidate.upstream.version;
  }

  override get upstream(): KnownUpstream {
    return this.#candidate.upstream;
  }

  noteChunk(nowMs: number): void {
    this.#link.noteReceived(nowMs);
    if (this.#lastChunkMonoMs === undefined) this.#noteFirstChunk(nowMs);
    else this.#noteGap(nowMs, nowMs - this.#lastChunkMonoMs);
    this.#lastChunkMonoMs = nowMs;
  }

  #noteFirstChunk(nowMs: number): void {
    this.#firstChunkMonoMs = nowMs;
    this.#learnReading(nowMs);
    this.#notePromptRead();
    const { streamWatch } = this.context.upstreams;
    if (this.#watched) streamWatch.add(this.#watched);
    // Other streams are judged by the same pace.
    streamWatch.noteGrowth();
  }

  #noteGap(nowMs: number, gapMs: number): void {
    const { pace, upstream } = this.#candidate;
    const { upstreams } = this.context;
    const [running, waitingTokens] = upstreams.loadAt(upstream.key, nowMs);
    pace.noteGap(waitingTokens, running, gapMs);
    if (this.#watched) {
      upstreams.streamWatch.noteChunk(this.#watched, waitingTokens);
    }
  }

  #learnReading(nowMs: number): void {
    const { pace, upstream, waitingTokens } = this.#candidate;
    const shared = this.outbound.parts.slice(0, -1);
    this.context.upstreams.holders.noteRead(shared, upstream.key, nowMs);
    // If at least as many tokens of other prompts waited there, the first event depends on reading those too, and
    // this VM's count of them is late.
    if (this.#waitingTokens > waitingTokens) {
      pace.noteFirstEvent(
        this.#waitingTokens + waitingTokens,
        nowMs - this.#sentMonoMs,
      );
    }
  }

  noteBroken(): void {
    // A move would stop another run than the one that goes on elsewhere by then.
    this.#endWatch();
    this.#noteOutcome("lost");
    if (this.#isCanceled && !this.#isGivenUp) return;
    const nowMs = this.context.clock.monoMs();
    const beganMs = this.#firstChunkMonoMs;
    this.#loss = {
      upstream: this.#candidate.upstream,
      sentAgoMs: nowMs - this.#sentMonoMs,
      isGivenUp: this.#isGivenUp,
      ...(beganMs === undefined ? {} : { beganAgoMs: nowMs - beganMs }),
    };
  }

  override get loss(): Loss | undefined {
    return this.#loss;
  }

  protected override noteGivenUp(): void {
    this.#isGivenUp = true;
  }

  override cancel(reason: string): void {
    this.#isCanceled = true;
    super.cancel(reason);
  }

  /** Records the outcome of the send here, and reports it to the lead, which counts it for all VMs of the region. */
  #noteOutcome(outcome: SendOutcome): void {
    this.#link.health.noteOutcome(outcome, this.context.clock.monoMs());
    this.context.members.noteSendEnd([this.#candidate.key, outcome]);
  }

  /**
   * Cancels a send that may be repeated when its upstream has become unreachable, if there is another place and a retry
   * left.
   */
  readonly #cancelWhenUnreachable = (): void => {
    // Its caller only has to read the rest.
    if (this.exchange.hasWholeAnswer) return;
    if (this.outbound.hasAlternative()) this.cancel("upstream unreachable");
  };

  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#endWatch();
    this.#link.darkListeners.delete(this.#cancelWhenUnreachable);
    this.#notePromptRead();
    this.#link.running--;
    if (this.outbound.isSuspect) this.#link.suspectCount--;
    this.context.members.noteSendEnd();
  }

  protected override handleFailure(cause: ExchangeFailure): Unanswered {
    if (cause.sent) this.noteBroken();
    else if (!cause.isWithheld) {
      this.#noteOutcome("lost");
      if (cause.isRefused) {
        this.context.losses.noteGone(this.#candidate.key);
      }
    }
    return super.handleFailure(cause);
  }

  protected checkAnswer(answer: IncomingMessage): Answered | Unanswered {
    this.#link.noteReceived(this.context.clock.monoMs());
    const decoded = decodeAnswer(answer, this.outbound.attemptId);
    const fault = findAnswerFault(decoded);
    if (fault) {
      this.#noteOutcome("failed");
      return this.rejectAnswer(fault, decoded);
    }
    if (!decoded.wrongUpstream) {
      const { attemptId } = this.outbound;
      this.context.notices.noteAnswer(this.#candidate, decoded, attemptId);
    }
    if (!decoded.notRun) {
      this.#noteOutcome(decoded.status >= 500 ? "failed" : "answered");
      return { type: "answered", answer, decoded };
    }
    discardBody(answer, this.context);
    this.#noteOutcome(decoded.wrongUpstream ? "replaced" : "shed");
    return {
      type: "unanswered",
      wasSent: true,
      mayHaveRun: false,
      wasAccepted: !decoded.wrongUpstream,
      arrivals: 1,
      reason: `upstream refused with ${decoded.status}`,
      failure: failure("upstreamRefused"),
      comeBackMs: Math.max(
        REFUSED_RETRY_AFTER_MS,
        this.context.upstreams.leastRestMs(this.#candidate.upstream.service),
      ),
    };
  }

  #endWatch(): void {
    if (!this.#watched) return;
    this.context.upstreams.streamWatch.remove(this.#watched);
  }

  #notePromptRead(): void {
    if (this.#waitingTokens === 0) return;
    this.#link.waitingTokens -= this.#waitingTokens;
    this.#waitingTokens = 0;
    this.context.members.notePromptRead();
  }
}
