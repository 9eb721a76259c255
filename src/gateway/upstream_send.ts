/**
 * A send to an upstream of this region.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { failure } from "../base/mod.ts";
import { addSendHeaders, decodeAnswer } from "../platform/mod.ts";
import type { SendOutcome } from "../routing/mod.ts";
import type { GatewayContext } from "./context.ts";
import { Exchange, type ExchangeFailure } from "./exchange.ts";
import type { Loss } from "./losses.ts";
import {
  type Answered,
  type OutboundRequest,
  REFUSED_RETRY_AFTER_MS,
  Send,
  type Unanswered,
} from "./send.ts";
import type { LinkedCandidate, UpstreamLink } from "./upstream_link.ts";

/** A connection inside a region takes a few ms; an upstream that took none in this time is dark. */
const CONNECT_TIMEOUT_MS = 250;

/** A send to an upstream; counts what this VM has under way there. */
export class UpstreamSend extends Send {
  protected readonly exchange: Exchange;
  readonly #candidate: LinkedCandidate;
  readonly #link: UpstreamLink;
  readonly #sentMonoMs: number;
  #waitingTokens: number;
  #firstChunkMonoMs: number | undefined;
  #lastChunkMonoMs: number | undefined;
  #loss: Loss | undefined;
  #isCanceled = false;
  #isGivenUp = false;
  #isOpen = true;

  constructor(
    context: GatewayContext,
    outbound: OutboundRequest,
    candidate: LinkedCandidate,
  ) {
    super(context, outbound);
    const { upstream, link } = candidate;
    this.#candidate = candidate;
    this.#link = link;
    this.#waitingTokens = outbound.promptTokens;
    const nowMs = context.clock.monoMs();
    this.#sentMonoMs = nowMs;
    link.noteSend(upstream, nowMs, this.#waitingTokens);
    if (outbound.mayRepeat) link.darkListeners.add(this.#cancelWhenDark);
    if (outbound.isSuspect) link.suspectCount++;
    // A lead has counted what it granted.
    if (!candidate.grant) context.members.notePromptRead();
    candidate.pace.noteSend(this.#waitingTokens);
    this.exchange = new Exchange({
      agent: link.agent,
      host: upstream.host,
      port: upstream.port,
      method: outbound.method,
      target: outbound.target,
      headers: addSendHeaders(outbound.headers, {
        upstreamId: upstream.id,
        workMs: outbound.deadlineMonoMs - nowMs,
        fetchFrom: outbound.fetchFrom,
        goesOnFrom: outbound.goesOnFrom,
        urgency: outbound.urgency,
      }),
      body: outbound.body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
  }

  /** Where it was sent. */
  get candidate(): LinkedCandidate {
    return this.#candidate;
  }

  noteChunk(): void {
    const nowMs = this.context.clock.monoMs();
    this.#link.noteReceived(nowMs);
    this.#learnPace(nowMs);
    this.#firstChunkMonoMs ??= nowMs;
    this.#lastChunkMonoMs = nowMs;
    const { eventGapMs, onStreamCheck } = this.outbound;
    // Where no pause can be too long a stream never moves, and need not be looked at forty times a second.
    if (this.#candidate.pace.canExceedGap(eventGapMs)) {
      this.context.upstreams.watchStream(this.#link, onStreamCheck);
    }
    this.#notePromptRead();
  }

  #learnPace(nowMs: number): void {
    const { pace, upstream, waitingTokens } = this.#candidate;
    if (this.#lastChunkMonoMs !== undefined) {
      const { upstreams } = this.context;
      pace.noteGap(
        upstreams.waitingTokens(upstream.key),
        upstreams.running(upstream.key),
        nowMs - this.#lastChunkMonoMs,
      );
      return;
    }
    const shared = this.outbound.parts.slice(0, -1);
    this.context.upstreams.holders.noteRead(shared, upstream.key, nowMs);
    // A prompt behind as much again starts by the others' reading, which is known late.
    if (this.#waitingTokens > waitingTokens) {
      pace.noteFirstEvent(
        this.#waitingTokens + waitingTokens,
        nowMs - this.#sentMonoMs,
      );
    }
  }

  noteBroken(): void {
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

  /** What became of a send counts here, and at the lead for all VMs of the region. */
  #noteOutcome(outcome: SendOutcome): void {
    this.#link.health.noteOutcome(outcome, this.context.clock.monoMs());
    this.context.members.noteSendEnd([this.#candidate.key, outcome]);
  }

  /** The upstream can't be reached any more; what may be repeated goes elsewhere while a repeat is left. */
  readonly #cancelWhenDark = (): void => {
    if (this.outbound.hasAlternative()) this.cancel("upstream went dark");
  };

  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#link.streamChecks.delete(this.outbound.onStreamCheck);
    this.#link.darkListeners.delete(this.#cancelWhenDark);
    this.#notePromptRead();
    this.#link.running--;
    if (this.outbound.isSuspect) this.#link.suspectCount--;
    this.context.members.noteSendEnd();
  }

  protected override handleFailure(cause: ExchangeFailure): Unanswered {
    if (cause.sent) this.noteBroken();
    else this.#noteOutcome("lost");
    return super.handleFailure(cause);
  }

  protected checkAnswer(answer: IncomingMessage): Answered | Unanswered {
    this.#link.noteReceived(this.context.clock.monoMs());
    const decoded = decodeAnswer(answer, this.outbound.attemptId);
    if (!decoded.matches || (!decoded.signed && !decoded.notRun)) {
      const reason = decoded.matches
        ? "answer is not signed"
        : "answer of another attempt";
      this.cancel(reason);
      this.#noteOutcome("failed");
      return super.handleFailure({ sent: true, reason });
    }
    if (!decoded.notRun) {
      this.#noteOutcome(decoded.status >= 500 ? "failed" : "answered");
      return { type: "answered", answer, decoded };
    }
    answer.resume();
    this.#noteOutcome(decoded.wrongUpstream ? "replaced" : "shed");
    return {
      type: "unanswered",
      wasSent: true,
      mayHaveRun: false,
      wasAccepted: !decoded.wrongUpstream,
      arrivals: 1,
      reason: `upstream refused with ${decoded.status}`,
      failure: failure("upstreamRefused"),
      comeBackMs: REFUSED_RETRY_AFTER_MS,
    };
  }

  #notePromptRead(): void {
    if (this.#waitingTokens === 0) return;
    this.#link.waitingTokens -= this.#waitingTokens;
    this.#waitingTokens = 0;
    this.context.members.notePromptRead();
  }
}
