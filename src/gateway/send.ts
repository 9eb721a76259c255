/**
 * The base of all sends of a request.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { type Failure, failure } from "../base/mod.ts";
import type { AnswerFault, UpstreamAnswer } from "../platform/mod.ts";
import type { KnownUpstream, PromptPart } from "../routing/mod.ts";
import type { GatewayContext } from "./context.ts";
import type { ExchangeFailure, PendingExchange } from "./exchange.ts";
import type { Loss } from "./losses.ts";
import type { ProcessVerdict } from "./process_proof.ts";

/** Retry delay for callers after the last upstream refused: another VM or upstream may have room at once. */
export const REFUSED_RETRY_AFTER_MS = 300;

/** A request as it is sent, and the conditions of the send. */
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
  /** `IP:PORT` of an engine that has cached the prompt's shared parts. */
  readonly fetchFrom: string | undefined;
  /** `IP:PORT/HANDLE` of the memory from which a moved stream continues. */
  readonly goesOnFrom: string | undefined;
  /** Order of admission at an engine, 0 first; `undefined` for plain services. */
  readonly urgency: number | undefined;
  /** Called while the next event of a stream may come late at its upstream; `undefined` if it can't move. */
  readonly onStreamCheck: (() => void) | undefined;
  /** Longest pause between a stream's events that counts as on time; 0 if the route sets none. */
  readonly eventGapMs: number;
  /** Time without any answer after which the send may be given up; `Infinity` to wait until the deadline. */
  readonly answerTimeoutMs: number;
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  /** Whether upstreams crashed as the request began to run. */
  readonly isSuspect: boolean;
  /**
   * Whether only the process that the upstream's entry describes may run the request, as it goes on after what another
   * one of the same version wrote.
   */
  readonly mustBeProven: boolean;
  /** Whether another place would serve the request now; otherwise giving up gains nothing. */
  readonly hasAlternative: () => boolean;
}

/** The head of an answer that may go to the caller. */
export interface Answered {
  readonly type: "answered";
  readonly answer: IncomingMessage;
  readonly decoded: UpstreamAnswer;
}

/** Why there is no answer to forward. */
export interface Unanswered {
  readonly type: "unanswered";
  /** Whether the other side may have received any of the request. */
  readonly wasSent: boolean;
  /** Whether an upstream may have begun to work on the request. */
  readonly mayHaveRun: boolean;
  /** Whether an upstream received the request and accepted it as addressed to it. */
  readonly wasAccepted: boolean;
  /** How many upstreams received the request, including those that refused it. */
  readonly arrivals: number;
  /** The upstream that crashed under the request, as reported by the VM that it was relayed to. */
  readonly crashedUpstream?: string | undefined;
  readonly reason: string;
  readonly failure: Failure;
  readonly comeBackMs: number;
}

const FAULT_REASONS: Record<AnswerFault, string> = {
  status: "answer has no final status",
  headers: "answer has malformed headers",
  attempt: "answer of another attempt",
  unsigned: "answer is not signed",
};

/** One send of a request. Must be closed when the answer's body has ended. */
export abstract class Send {
  protected readonly context: GatewayContext;
  protected readonly outbound: OutboundRequest;
  protected abstract readonly exchange: PendingExchange;
  #hasHead = false;

  constructor(context: GatewayContext, outbound: OutboundRequest) {
    this.context = context;
    this.outbound = outbound;
  }

  /** Whether the send continues a moved stream from its memory, as the same run. */
  get isContinuation(): boolean {
    return this.outbound.goesOnFrom !== undefined;
  }

  /** Version of the software of the upstream that answers; `undefined` if it is not known. */
  abstract get version(): string | undefined;

  /** The upstream that it was sent to, as it was known then; `undefined` for a send to a VM of another region. */
  get upstream(): KnownUpstream | undefined {
    return undefined;
  }

  /** Which process of the upstream runs it; `undefined` if it has to be asked. */
  abstract get process(): ProcessVerdict | undefined;

  /** Finds out which process of the upstream runs it, by asking the upstream if need be. */
  abstract findProcess(): ProcessVerdict | Promise<ProcessVerdict>;

  /** Waits for the head of the answer. */
  async waitForHead(): Promise<Answered | Unanswered> {
    const { answerTimeoutMs } = this.outbound;
    const timer = answerTimeoutMs < Infinity
      ? this.context.clock.after(
        answerTimeoutMs,
        () => this.giveUp("no answer in time"),
      )
      : undefined;
    const head = await this.exchange.head;
    this.#hasHead = true;
    timer?.close();
    return head.isOk()
      ? this.checkAnswer(head.value)
      : this.handleFailure(head.error);
  }

  /** Gives the send up if no answer has come and another place would serve the request now. */
  giveUp(reason: string): void {
    if (this.#hasHead || !this.outbound.hasAlternative()) return;
    this.noteGivenUp();
    this.cancel(reason);
  }

  /** Cancels the send by closing its connection, so that the other side stops working. */
  cancel(reason: string): void {
    this.exchange.cancel(reason);
  }

  /** Called for each chunk of the answer's body. */
  abstract noteChunk(nowMs: number): void;

  /** Called when the answer's body broke off. */
  abstract noteBroken(): void;

  /**
   * Set once an upstream's connection broke during the request, or the send was given up for lack of an answer. Not set
   * if this side canceled it for another reason.
   */
  get loss(): Loss | undefined {
    return undefined;
  }

  /** Called once, when nothing more is expected of this send. */
  abstract close(): void;

  /** Called when the send is given up because its upstream does not answer. */
  protected noteGivenUp(): void {}

  /** Checks whether an answer may go to the caller. */
  protected abstract checkAnswer(
    answer: IncomingMessage,
  ): Answered | Unanswered;

  /** Gives up an answer that can't be used. The request may have run all the same. */
  protected rejectAnswer(
    fault: AnswerFault,
    { status }: UpstreamAnswer,
  ): Unanswered {
    const { metrics } = this.context;
    metrics.count("rejected_answers", `why="${fault}"`);
    const reason = fault === "status"
      ? `${FAULT_REASONS[fault]}: ${status}`
      : FAULT_REASONS[fault];
    this.cancel(reason);
    return this.toUnanswered({ sent: true, reason });
  }

  /** Handles that no answer came. */
  protected handleFailure(cause: ExchangeFailure): Unanswered {
    return this.toUnanswered(cause);
  }

  protected toUnanswered({ sent, reason }: ExchangeFailure): Unanswered {
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
