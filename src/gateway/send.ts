/**
 * One send of a request: to an upstream of this region, or to a VM of another.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { type Failure, failure } from "../base/mod.ts";
import {
  addressTo,
  decodeAnswer,
  type UpstreamAnswer,
} from "../platform/mod.ts";
import type { PromptPart, SendOutcome } from "../routing/mod.ts";
import type { GatewayContext } from "./context.ts";
import { Exchange, type ExchangeFailure } from "./exchange.ts";
import type { RelayTarget } from "./relays.ts";
import { decodePeerFailure, RELAY_HEADERS } from "./reply.ts";
import type { LinkedCandidate, UpstreamLink } from "./upstream_link.ts";

/** A connection inside a region takes a few ms; an upstream that took none in this time is dark. */
const CONNECT_WAIT_MS = 250;
/** The same to another region, 80 ms away each way. */
const RELAY_CONNECT_WAIT_MS = 500;
/** When to return after the last upstream refused: another VM or upstream may have room at once. */
const REFUSED_RETURN_MS = 300;

/** What is sent. */
export interface Sendable {
  readonly method: string;
  readonly target: string;
  readonly attemptId: string;
  /** Headers for any upstream. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** On the monotonic clock. */
  readonly deadlineMonoMs: number;
  /** Prompt tokens that the upstream will have to read, as far as known; 0 for plain services. */
  readonly promptTokens: number;
  /** Parts of the prompt. */
  readonly parts: readonly PromptPart[];
  /** `IP:PORT` of an engine that keeps the prompt's shared parts. */
  readonly fetchFrom: string | undefined;
  /** `IP:PORT/HANDLE` of the memory that a moved stream goes on from. */
  readonly goesOnFrom: string | undefined;
  /** Order of admission at an engine, 0 first; `undefined` for plain services. */
  readonly urgency: number | undefined;
  /** Called now and then while a stream runs at an upstream of this region. */
  readonly onStreamCheck: () => void;
  /** The longest pause between a stream's events that is on time; 0 if none is asked for. */
  readonly eventGapMs: number;
  /** Without any answer for this long, the send may be given up; `Infinity` to wait until the deadline. */
  readonly patienceMs: number;
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  /** Whether another place would serve the request now; without one, giving up gains nothing. */
  readonly hasOther: () => boolean;
}

/** What a VM of another region is told besides. */
export interface RelayTerms {
  readonly configVersion: number;
  readonly mostUpstreams: number;
  /** Tells which workspace calls; the other VM looks it up in its own configuration. */
  readonly keyDigest: string | undefined;
}

/** The head of an answer that may go to the caller. */
export interface Answered {
  readonly type: "answered";
  readonly answer: IncomingMessage;
  readonly read: UpstreamAnswer;
}

/** Why there is no answer to pass on. */
export interface Unanswered {
  readonly type: "unanswered";
  /** Whether the other side can have got any of it. */
  readonly reached: boolean;
  /** Whether the request may have reached an upstream's work. */
  readonly mayHaveRun: boolean;
  /** Whether an upstream got it at all, and took it for its own. */
  readonly arrived: boolean;
  /** How many upstreams it came to, those included that turned it away. */
  readonly arrivals: number;
  readonly reason: string;
  readonly failure: Failure;
  readonly comeBackMs: number;
}

/** See the module. Must be closed when the answer's body has ended. */
export abstract class Send {
  protected readonly context: GatewayContext;
  protected readonly sendable: Sendable;
  protected abstract readonly exchange: Exchange;

  constructor(context: GatewayContext, sendable: Sendable) {
    this.context = context;
    this.sendable = sendable;
  }

  /** Whether a stream goes on by it from its memory, as the same run. */
  get goesOn(): boolean {
    return this.sendable.goesOnFrom !== undefined;
  }

  /** Waits for the head of the answer. */
  async head(): Promise<Answered | Unanswered> {
    const { patienceMs, hasOther } = this.sendable;
    const giveUp = () => {
      if (hasOther()) this.cancel("no answer in time");
    };
    const timer = patienceMs < Infinity
      ? this.context.clock.after(patienceMs, giveUp)
      : undefined;
    const head = await this.exchange.head;
    timer?.close();
    return head.isOk() ? this.read(head.value) : this.lost(head.error);
  }

  /** Gives the request up: its connection closes, and the other side stops working. */
  cancel(reason: string): void {
    this.exchange.cancel(reason);
  }

  /** Called for each chunk of the answer's body. */
  abstract noteChunk(): void;

  /** Called when the body broke. */
  abstract noteBroken(): void;

  /** Called once, when nothing more is expected of this send. */
  abstract close(): void;

  /** Decides whether an answer may go to the caller. */
  protected abstract read(answer: IncomingMessage): Answered | Unanswered;

  protected lost({ sent, reason }: ExchangeFailure): Unanswered {
    return {
      type: "unanswered",
      reached: sent,
      mayHaveRun: sent,
      arrived: sent,
      arrivals: sent ? 1 : 0,
      reason,
      failure: failure(sent ? "upstreamFailed" : "noUpstream", {
        ran: sent ? "unknown" : "no",
      }),
      comeBackMs: sent ? 0 : REFUSED_RETURN_MS,
    };
  }
}

/** A send to an upstream; counts what this VM has under way there. */
export class UpstreamSend extends Send {
  protected readonly exchange: Exchange;
  readonly #candidate: LinkedCandidate;
  readonly #link: UpstreamLink;
  readonly #sentMonoMs: number;
  #waitingTokens: number;
  #lastChunkMonoMs: number | undefined;
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
    this.context.members.noteOver();
  }

  protected override lost(cause: ExchangeFailure): Unanswered {
    this.noteBroken();
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

/** A send to a VM of another region. */
export class RelaySend extends Send {
  protected readonly exchange: Exchange;
  readonly #vm: RelayTarget;

  constructor(
    context: GatewayContext,
    sendable: Sendable,
    vm: RelayTarget,
    terms: RelayTerms,
  ) {
    super(context, sendable);
    this.#vm = vm;
    const leftMs = sendable.deadlineMonoMs - context.clock.monoMs();
    this.exchange = new Exchange({
      agent: context.relays.agent(vm.ip),
      host: vm.ip,
      port: context.relays.port,
      method: sendable.method,
      target: sendable.target,
      headers: [
        ...sendable.headers,
        RELAY_HEADERS.waitMs,
        String(Math.floor(leftMs)),
        RELAY_HEADERS.configVersion,
        String(terms.configVersion),
        RELAY_HEADERS.mostUpstreams,
        String(terms.mostUpstreams),
        ...(terms.keyDigest === undefined
          ? []
          : [RELAY_HEADERS.keyDigest, terms.keyDigest]),
      ],
      body: sendable.body,
      connectWaitMs: RELAY_CONNECT_WAIT_MS,
    });
  }

  /** The region that the request is handed to. */
  get region(): string {
    return this.#vm.region;
  }

  noteChunk(): void {}

  noteBroken(): void {}

  close(): void {}

  protected override lost(cause: ExchangeFailure): Unanswered {
    if (!cause.sent) {
      this.context.relays.noteLost(this.#vm.ip);
    }
    return super.lost(cause);
  }

  protected read(answer: IncomingMessage): Answered | Unanswered {
    const refused = decodePeerFailure(answer.headers);
    if (!refused) {
      const read = decodeAnswer(answer, this.sendable.attemptId);
      return { type: "answered", answer, read };
    }
    answer.resume();
    const mayHaveRun = refused.failure.ran !== "no";
    return {
      type: "unanswered",
      reached: true,
      mayHaveRun,
      arrived: mayHaveRun,
      arrivals: refused.arrivals,
      reason: `${this.#vm.ip} answered ${refused.failure.code}`,
      failure: refused.failure,
      comeBackMs: refused.comeBackMs,
    };
  }
}
