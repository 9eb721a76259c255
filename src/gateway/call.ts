/**
 * Handles one request: reads its body, places and sends it, retries or relays it if needed, and forwards the answer.
 *
 * @module
 */

import {
  type ByteCollector,
  type CodeName,
  type Failure,
  failure,
} from "../base/mod.ts";
import { isRepeatable, type ServiceConfig, type Step } from "../routing/mod.ts";
import { type BodyError, readBody } from "./body.ts";
import {
  BODY_CODES,
  type CallInput,
  FINAL_CODES,
  REFUSAL_CODES,
} from "./call_input.ts";
import type { CallAnswer } from "./call_answer.ts";
import { createCallParts } from "./call_parts.ts";
import type { CallPlacement } from "./call_placement.ts";
import type { CallRecord } from "./call_record.ts";
import { type CallRetries, retryWayOf } from "./call_retries.ts";
import type { CallSends, SendState } from "./call_sends.ts";
import type { CallSuspicion } from "./call_suspicion.ts";
import { refusalBy } from "./config_refusal.ts";
import type { GatewayContext, OpenCall } from "./context.ts";
import { discardBody } from "./discard.ts";
import { canFinishHere } from "./drain_admission.ts";
import { waitForNextPoll } from "./next_poll.ts";
import { Pause } from "./pause.ts";
import type { Reply } from "./reply.ts";
import { isRefusedByStop, RelaySend } from "./relay_send.ts";
import type { RunEvidence } from "./run_evidence.ts";
import type { Answered, Send, Unanswered } from "./send.ts";
import { UpstreamSend } from "./upstream_send.ts";
import type { MoveResult, StreamMover } from "./stream_move.ts";
import type { LinkedCandidate } from "./upstream_link.ts";

/** Retry delay of a request that a planned stop ended: the caller may go to another VM at once. */
const STOPPED_RETRY_MS = 20;

/** Runs one request of a caller, or one that another VM relayed. */
export class Call implements OpenCall {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #reply: Reply;
  readonly #service: ServiceConfig;
  readonly #record: CallRecord;
  readonly #placement: CallPlacement;
  readonly #retries: CallRetries;
  readonly #sends: CallSends;
  readonly #suspicion: CallSuspicion;
  readonly #answer: CallAnswer;
  readonly #mover: StreamMover;
  readonly #evidence: RunEvidence;
  readonly #pause = new Pause();
  #body: ByteCollector | undefined;
  #send: Send | undefined;
  #moveResult: MoveResult | undefined;
  #isOver = false;
  #lastFailure: Failure | undefined;

  constructor(context: GatewayContext, input: CallInput, reply: Reply) {
    const parts = createCallParts(context, input, reply);
    this.#context = context;
    this.#input = input;
    this.#reply = reply;
    this.#service = parts.service;
    this.#record = parts.record;
    this.#placement = parts.placement;
    this.#retries = parts.retries;
    this.#sends = parts.sends;
    this.#suspicion = parts.suspicion;
    this.#answer = parts.answer;
    this.#mover = parts.mover;
    this.#evidence = parts.evidence;
  }

  /** Runs the request to its end. Never rejects. */
  async run(): Promise<void> {
    const { clock, bodies } = this.#context;
    const timer = clock.after(
      Math.max(0, this.#input.deadlineMonoMs - clock.monoMs()),
      () => this.#expire(),
    );
    this.#context.openCalls.add(this);
    try {
      const body = await readBody(
        this.#input.request,
        this.#input.config.limits.bodyBytes,
        bodies,
        (run) => this.#reply.onClosed(run),
      );
      if (body.isErr()) this.#failBody(body.error);
      else {
        this.#body = body.value;
        this.#suspicion.body = body.value.held;
        if (this.#mayBeStale) await this.#context.startQueue.waitTurn();
        // A relayed request is counted where its caller sent it, and repeated there.
        if (!this.#input.relayed) {
          this.#context.retryBudget(this.#service.name).countRequest(
            clock.monoMs(),
          );
        }
        await this.#serve();
      }
    } catch (error) {
      this.#record.noteInternalError(error);
      // What failed may be the answer itself; its caller would wait for ever.
      if (this.#isOver && !this.#reply.hasStarted) this.#reply.abort();
      const ran = this.#evidence.mayHaveRun ? "unknown" : "no";
      this.#fail(failure("internal", { ran }), 0);
    } finally {
      timer.close();
      void this.#suspicion.close();
      this.#answer.close();
      this.#body?.close();
      this.#context.openCalls.delete(this);
    }
  }

  /** Cancels the request because the other side has left, so that no upstream keeps working for it. */
  cancel(): void {
    if (this.#isOver) return;
    this.#finish("canceled", "caller left");
    this.#send?.cancel("caller left");
    this.#endWait();
  }

  leaveSilentUpstream(): void {
    const { route, relayed } = this.#input;
    // The VM that relayed the request decides on its repeats.
    if (!isRepeatable(route) || relayed || this.#suspicion.isSuspect) return;
    this.#send?.giveUp("this VM stops soon");
  }

  /**
   * Ends the request because this VM's planned stop is over. A request that may have run is told so: a connection that
   * closes without an answer tells its caller nothing.
   */
  stop(): void {
    if (this.#isOver) return;
    this.#record.noteCutByStop(this.#reply.hasStarted);
    const code = this.#evidence.mayHaveRun ? "cutByStop" : "draining";
    this.#fail(failure(code), STOPPED_RETRY_MS);
    this.#send?.cancel("this VM stopped");
    this.#endWait();
  }

  async #serve(): Promise<void> {
    while (!this.#isOver) {
      if (this.#moveResult) {
        await this.#continueMoved(this.#moveResult);
        continue;
      }
      const verdict = await this.#suspicion.checkMayRun();
      if (this.#isOver) return;
      if (verdict.type === "refused") {
        return this.#refuseRun(verdict.code, verdict.comeBackMs);
      }
      this.#placement.isSuspect = this.#suspicion.isSuspect;
      const { step, settle } = await this.#placement.place();
      if (this.#context.isLagging) await waitForNextPoll();
      const mayStart = !this.#isOver && !this.#suspicion.isRejected;
      const send = mayStart ? this.#startStep(step) : undefined;
      settle();
      if (this.#isOver && !send && !this.#evidence.mayHaveRun) {
        this.#placement.refundQuota();
      }
      if (send) await this.#runSend(send);
      else if (step.type === "wait" && mayStart && !this.#isOver) {
        await this.#pause.wait(this.#context.clock, step.untilMs);
      }
    }
  }

  /** Whether the caller may have left before its request was read; see {@link CallInput.isFirst}. */
  get #mayBeStale(): boolean {
    return this.#input.isFirst || this.#context.isLagging;
  }

  /** Executes a step; returns the send that it started, if any. */
  #startStep(step: Step<LinkedCandidate>): Send | undefined {
    if (step.type === "refuse") this.#refuse(step);
    else if (this.#isTooLate) {
      this.#fail(failure("draining"), STOPPED_RETRY_MS);
    } else if (step.type !== "wait") {
      return this.#sends.open(step, this.#state());
    }
    return undefined;
  }

  /** Whether a request that has not run waited until it can't finish before this VM's planned stop is over. */
  get #isTooLate(): boolean {
    return !this.#evidence.mayHaveRun &&
      !canFinishHere(this.#context, this.#input);
  }

  /** Continues a stream that was stopped in order to move, at its new engine. */
  async #continueMoved({ candidate, goesOnFrom }: MoveResult): Promise<void> {
    this.#moveResult = undefined;
    this.#evidence.noteMayHaveRun();
    const send = this.#answer.continuable &&
      this.#sends.continueAt(candidate, goesOnFrom, this.#state());
    if (!send) return this.#handleBreak("the engine that it moved to is gone");
    await this.#runSend(send);
  }

  /** Returns the state of the request that its next send depends on. */
  #state(): SendState {
    return {
      body: this.#body!.held,
      lastEventId: this.#answer.continuable?.lastEventId,
      onStreamCheck: this.#onStreamCheck,
      isSuspect: this.#suspicion.isSuspect,
      isTrialRun: this.#suspicion.isTrialRun,
    };
  }

  /** Runs one send to its end. Returns when the request is over, or ready for its next step. */
  async #runSend(send: Send): Promise<void> {
    this.#record.tries++;
    this.#send = send;
    this.#suspicion.noteSend();
    try {
      const head = await send.waitForHead();
      this.#record.process = send.process;
      if (this.#isOver) return;
      if (head.type === "unanswered") {
        await this.#noteLoss(send);
        if (!this.#isOver) this.#handleUnanswered(send, head);
        return;
      }
      if (!send.isContinuation) this.#record.noteAccepted();
      if (head.decoded.status >= 500 && this.#retryFailedAnswer(head)) {
        return;
      }
      const mismatch = this.#answer.whyNotJoined(head);
      if (mismatch !== undefined) return this.#dropAnswer(send, mismatch);
      const result = await this.#answer.forward(send, head);
      if (this.#isOver) return;
      const move = await this.#mover.waitForMove();
      if (this.#isOver) return;
      const { misfit } = this.#answer;
      if (misfit !== undefined) return this.#dropAnswer(send, misfit);
      if (typeof move === "object") {
        this.#moveResult = move;
        return;
      }
      // An engine closes a stream that it hands over; without a length or chunks that looks like the stream's end.
      const mayBeStopped = move === "unknown" &&
        this.#answer.endedWithConnection;
      if (result === "whole" && !mayBeStopped) {
        this.#reply.end();
        if (head.decoded.status < 500) this.#suspicion.noteServed();
        return this.#finish("ok", undefined);
      }
      send.noteBroken();
      await this.#noteLoss(send);
      if (!this.#isOver) this.#handleBreak("upstream broke off");
    } finally {
      send.close();
    }
  }

  /** Gives up an answer that doesn't continue what has been forwarded. */
  #dropAnswer(send: Send, reason: string): void {
    send.cancel(reason);
    this.#handleBreak(reason);
  }

  /** Notes a lost send. What may continue elsewhere waits until it is known whether the send crashed its upstream. */
  async #noteLoss(send: Send): Promise<void> {
    const { route, relayed } = this.#input;
    const mayContinue = this.#answer.continuable !== undefined && !relayed;
    await this.#record.noteBreak(mayContinue);
    return this.#suspicion.noteLoss(send, isRepeatable(route) || relayed);
  }

  /** Checks whether a stream should move to another engine. */
  readonly #onStreamCheck = (): void => {
    const send = this.#send;
    const pipe = this.#answer.continuable;
    if (this.#suspicion.isSuspect || !pipe) return;
    if (!(send instanceof UpstreamSend)) return;
    this.#mover.considerMove(
      send.candidate,
      pipe.events,
      () => this.#placement.candidatesExcept(send.candidate),
      () => this.#retries.takeMove(),
      send,
    );
  };

  /** Discards a failed answer if another send is allowed and likely to be served. Returns whether it did. */
  #retryFailedAnswer({ answer, decoded }: Answered): boolean {
    const reason = `upstream answered ${decoded.status}`;
    const isRetried = this.#placement.hasRoomHere() &&
      this.#retries.take("failedAnswer", true, reason);
    if (!isRetried) return false;
    discardBody(answer, this.#context);
    this.#evidence.noteMayHaveRun();
    return true;
  }

  #handleUnanswered(send: Send, head: Unanswered): void {
    // Another VM of the region may take what one is unreachable or too near its end for.
    const mayTryRegionAgain = !head.wasSent || isRefusedByStop(head.failure);
    if (send instanceof RelaySend && mayTryRegionAgain) {
      this.#placement.forgetTriedRegion(send.region);
    }
    if (head.crashedUpstream !== undefined) {
      this.#suspicion.noteRemoteCrash(head.crashedUpstream);
    }
    if (head.wasAccepted) this.#record.sends++;
    this.#record.arrivals += head.arrivals;
    this.#lastFailure = head.failure;
    // A moved stream has run, even if its new engine refuses it.
    const mayHaveRun = head.mayHaveRun || this.#answer.hasBegun;
    if (mayHaveRun) this.#evidence.noteMayHaveRun();
    else this.#evidence.noteNotRun();
    const isFinal = FINAL_CODES.has(head.failure.code);
    const way = retryWayOf(send, head);
    if (!isFinal && this.#retries.take(way, mayHaveRun, head.reason)) return;
    this.#fail(head.failure, head.comeBackMs, head.reason);
  }

  /** Handles an answer that broke off: another upstream takes it up, or the caller gets a failure or no end of it. */
  #handleBreak(reason: string): void {
    this.#evidence.noteMayHaveRun();
    if (this.#retries.takeAfterBreak(this.#answer, reason)) return;
    const code = this.#reply.hasStarted ? "streamBroken" : "upstreamFailed";
    this.#fail(failure(code), 0, reason);
  }

  #refuse(step: Step<LinkedCandidate> & { type: "refuse" }): void {
    if (step.reason === "expired") return this.#expire();
    this.#record.noteRefused(step);
    this.#refuseRun(REFUSAL_CODES[step.reason], step.comeBackMs);
  }

  /** Refuses the request. One that may have run fails instead, as a refusal would say that it has not run. */
  #refuseRun(code: CodeName, comeBackMs: number): void {
    if (!this.#evidence.mayHaveRun) {
      return this.#fail(failure(code), comeBackMs);
    }
    this.#fail(this.#lastFailure ?? failure("upstreamFailed"), 0);
  }

  #failBody(error: BodyError): void {
    const cause = failure(BODY_CODES[error]);
    if (error !== "tooLarge") return this.#fail(cause, 0);
    const refusal = refusalBy(this.#context.storeView, cause);
    this.#fail(refusal.cause, refusal.comeBackMs);
  }

  #expire(): void {
    if (this.#isOver) return;
    const wasSent = this.#send !== undefined || this.#evidence.mayHaveRun;
    this.#fail(
      wasSent ? failure("upstreamTimeout") : failure("expiredInQueue"),
      0,
    );
    this.#send?.cancel("deadline passed");
    this.#endWait();
  }

  /** Ends the wait for a place, which the request no longer needs. */
  #endWait(): void {
    this.#pause.end();
    this.#placement.leaveQueue();
  }

  #fail(failed: Failure, comeBackMs: number, reason = failed.message): void {
    if (this.#isOver) return;
    const cause = this.#evidence.checkFailure(failed);
    if (cause.ran === "no") this.#placement.refundQuota();
    this.#finish(cause.code, reason, comeBackMs);
    if (this.#reply.hasStarted) this.#reply.abort();
    else {
      const { arrivals, crashedUpstream } = this.#record;
      this.#reply.fail(cause, comeBackMs, { arrivals, crashedUpstream });
    }
  }

  #finish(
    outcome: CodeName | "ok",
    reason: string | undefined,
    comeBackMs?: number,
  ): void {
    this.#isOver = true;
    this.#answer.giveUp();
    this.#placement.origin.noteEnded(outcome === "ok");
    this.#record.finish(outcome, reason, comeBackMs);
  }
}
