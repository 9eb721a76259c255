/**
 * A send to an upstream of this region.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { failure } from "../base/mod.ts";
import { addressTo, decodeAnswer } from "../platform/mod.ts";
import type { SendOutcome } from "../routing/mod.ts";
import type { GatewayContext } from "./context.ts";
import { Exchange, type ExchangeFailure } from "./exchange.ts";
import type { Loss } from "./losses.ts";
import {
  type Answered,
  REFUSED_RETURN_MS,
  Send,
  type Sendable,
  type Unanswered,
} from "./send.ts";
import type { LinkedCandidate, UpstreamLink } from "./upstream_link.ts";

/** A connection inside a region takes a few ms; an upstream that took none in this time is dark. */
const CONNECT_WAIT_MS = 250;

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
  #open = true;

  constructor(
    context: GatewayContext,
    sendable: Sendable,
    candidate: LinkedCandidate,
  ) {
    super(context, sendable);
    const { upstream, link } = candidate;
    this.#candidate = candidate;
    this.#link = link;
    this.#waitingTokens = sendable.promptTokens;
    const nowMs = context.clock.monoMs();
    this.#sentMonoMs = nowMs;
    link.open(upstream, nowMs, this.#waitingTokens);
    if (sendable.mayRepeat) link.onDark.add(this.#leaveDark);
    if (sendable.isSuspect) link.suspects++;
    // A lead has counted what it granted.
    if (!candidate.granted) context.members.noteRead();
    candidate.pace.noteSend(this.#waitingTokens);
    this.exchange = new Exchange({
      agent: link.agent,
      host: upstream.host,
      port: upstream.port,
      method: sendable.method,
      target: sendable.target,
      headers: addressTo(sendable.headers, {
        upstreamId: upstream.id,
        workMs: sendable.deadlineMonoMs - nowMs,
        fetchFrom: sendable.fetchFrom,
        goesOnFrom: sendable.goesOnFrom,
        urgency: sendable.urgency,
      }),
      body: sendable.body,
      connectWaitMs: CONNECT_WAIT_MS,
    });
  }

  /** Where it was sent. */
  get candidate(): LinkedCandidate {
    return this.#candidate;
  }

  noteChunk(): void {
    const nowMs = this.context.clock.monoMs();
    this.#link.heard(nowMs);
    this.#learnPace(nowMs);
    this.#firstChunkMonoMs ??= nowMs;
    this.#lastChunkMonoMs = nowMs;
    const { eventGapMs, onStreamCheck } = this.sendable;
    // Where no pause can be too long a stream never moves, and need not be looked at forty times a second.
    if (this.#candidate.pace.canExceed(eventGapMs)) {
      this.context.upstreams.watchStream(this.#link, onStreamCheck);
    }
    this.#started();
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
    const shared = this.sendable.parts.slice(0, -1);
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
    this.#link.health.note(outcome, this.context.clock.monoMs());
    this.context.members.noteOver([this.#candidate.key, outcome]);
  }

  /** The upstream can't be reached any more; what may be repeated goes elsewhere while a repeat is left. */
  readonly #leaveDark = (): void => {
    if (this.sendable.hasOther()) this.cancel("upstream went dark");
  };

  close(): void {
    if (!this.#open) return;
    this.#open = false;
    this.#link.streamChecks.delete(this.sendable.onStreamCheck);
    this.#link.onDark.delete(this.#leaveDark);
    this.#started();
    this.#link.running--;
    if (this.sendable.isSuspect) this.#link.suspects--;
    this.context.members.noteOver();
  }

  protected override lost(cause: ExchangeFailure): Unanswered {
    if (cause.sent) this.noteBroken();
    else this.#noteOutcome("lost");
    return super.lost(cause);
  }

  protected read(answer: IncomingMessage): Answered | Unanswered {
    this.#link.heard(this.context.clock.monoMs());
    const read = decodeAnswer(answer, this.sendable.attemptId);
    if (!read.matches || (!read.signed && !read.notRun)) {
      const reason = read.matches
        ? "answer is not signed"
        : "answer of another attempt";
      this.cancel(reason);
      this.#noteOutcome("failed");
      return super.lost({ sent: true, reason });
    }
    if (!read.notRun) {
      this.#noteOutcome(read.status >= 500 ? "failed" : "answered");
      return { type: "answered", answer, read };
    }
    answer.resume();
    this.#noteOutcome(read.wrongUpstream ? "replaced" : "shed");
    return {
      type: "unanswered",
      reached: true,
      mayHaveRun: false,
      arrived: !read.wrongUpstream,
      arrivals: 1,
      reason: `upstream refused with ${read.status}`,
      failure: failure("upstreamRefused"),
      comeBackMs: REFUSED_RETURN_MS,
    };
  }

  #started(): void {
    if (this.#waitingTokens === 0) return;
    this.#link.waitingTokens -= this.#waitingTokens;
    this.#waitingTokens = 0;
    this.context.members.noteRead();
  }
}
