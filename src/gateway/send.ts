/**
 * One send of a request: what every kind of it shares.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { type Failure, failure } from "../base/mod.ts";
import type { UpstreamAnswer } from "../platform/mod.ts";
import type { PromptPart } from "../routing/mod.ts";
import type { GatewayContext } from "./context.ts";
import type { Exchange, ExchangeFailure } from "./exchange.ts";
import type { Loss } from "./losses.ts";

/** When to return after the last upstream refused: another VM or upstream may have room at once. */
export const REFUSED_RETRY_AFTER_MS = 300;

/** What is sent. */
export interface OutboundRequest {
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
  readonly answerTimeoutMs: number;
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  /** Whether upstreams ended as it began to run. */
  readonly isSuspect: boolean;
  /** Whether another place would serve the request now; without one, giving up gains nothing. */
  readonly hasAlternative: () => boolean;
}

/** The head of an answer that may go to the caller. */
export interface Answered {
  readonly type: "answered";
  readonly answer: IncomingMessage;
  readonly decoded: UpstreamAnswer;
}

/** Why there is no answer to pass on. */
export interface Unanswered {
  readonly type: "unanswered";
  /** Whether the other side can have got any of it. */
  readonly wasSent: boolean;
  /** Whether the request may have reached an upstream's work. */
  readonly mayHaveRun: boolean;
  /** Whether an upstream got it at all, and took it for its own. */
  readonly wasAccepted: boolean;
  /** How many upstreams it came to, those included that turned it away. */
  readonly arrivals: number;
  /** The upstream that ended under it, by the VM that the request was handed to. */
  readonly crashedUpstream?: string | undefined;
  readonly reason: string;
  readonly failure: Failure;
  readonly comeBackMs: number;
}

/** See the module. Must be closed when the answer's body has ended. */
export abstract class Send {
  protected readonly context: GatewayContext;
  protected readonly outbound: OutboundRequest;
  protected abstract readonly exchange: Exchange;

  constructor(context: GatewayContext, outbound: OutboundRequest) {
    this.context = context;
    this.outbound = outbound;
  }

  /** Whether a stream goes on by it from its memory, as the same run. */
  get isContinuation(): boolean {
    return this.outbound.goesOnFrom !== undefined;
  }

  /** Waits for the head of the answer. */
  async waitForHead(): Promise<Answered | Unanswered> {
    const { answerTimeoutMs, hasAlternative } = this.outbound;
    const giveUp = () => {
      if (!hasAlternative()) return;
      this.noteGivenUp();
      this.cancel("no answer in time");
    };
    const timer = answerTimeoutMs < Infinity
      ? this.context.clock.after(answerTimeoutMs, giveUp)
      : undefined;
    const head = await this.exchange.head;
    timer?.close();
    return head.isOk()
      ? this.checkAnswer(head.value)
      : this.handleFailure(head.error);
  }

  /** Gives the request up: its connection closes, and the other side stops working. */
  cancel(reason: string): void {
    this.exchange.cancel(reason);
  }

  /** Called for each chunk of the answer's body. */
  abstract noteChunk(): void;

  /** Called when the body broke. */
  abstract noteBroken(): void;

  /** Set once an upstream's connection has broken under the request, unless this side gave it up. */
  get loss(): Loss | undefined {
    return undefined;
  }

  /** Called once, when nothing more is expected of this send. */
  abstract close(): void;

  /** Called when the send is given up because its upstream says nothing. */
  protected noteGivenUp(): void {}

  /** Decides whether an answer may go to the caller. */
  protected abstract checkAnswer(
    answer: IncomingMessage,
  ): Answered | Unanswered;

  protected handleFailure({ sent, reason }: ExchangeFailure): Unanswered {
    return {
      type: "unanswered",
      wasSent: sent,
      mayHaveRun: sent,
      wasAccepted: sent,
      arrivals: sent ? 1 : 0,
      reason,
      failure: failure(sent ? "upstreamFailed" : "noUpstream", {
        ran: sent ? "unknown" : "no",
      }),
      comeBackMs: sent ? 0 : REFUSED_RETRY_AFTER_MS,
    };
  }
}
