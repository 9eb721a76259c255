/**
 * The life of one request on this VM: read, placed, sent, perhaps sent again or handed over, answered.
 *
 * @module
 */

import { type CodeName, type Failure, failure } from "../base/mod.ts";
import {
  chooseService,
  mayRepeat,
  maySendAgain,
  type ServiceRow,
  type Step,
} from "../routing/mod.ts";
import { readBody } from "./body.ts";
import { BODY_CODES, type CallInput, REFUSAL_CODES } from "./call_input.ts";
import { CallPlaces } from "./call_places.ts";
import { CallRecord } from "./call_record.ts";
import { CallSends, type SendState } from "./call_sends.ts";
import { CallSuspicion } from "./call_suspicion.ts";
import type { GatewayContext } from "./context.ts";
import { nextPoll } from "./next_poll.ts";
import { type BodyPass, EventPass, type Passed, passOf } from "./pass_on.ts";
import type { Reply } from "./reply.ts";
import { RelaySend } from "./relay_send.ts";
import type { Answered, Send, Unanswered } from "./send.ts";
import { UpstreamSend } from "./upstream_send.ts";
import { type GoesOn, StreamMove } from "./stream_move.ts";
import type { LinkedCandidate } from "./upstream_link.ts";

/**
 * A process that is further behind than this reads requests whose callers have left meanwhile; it looks whether they have
 * before it sends them on, as an upstream would work for nobody.
 */
const BEHIND_MS = 50;
/** Tries of one request, connections that failed included: each costs up to a quarter of a second. */
const MOST_TRIES = 4;

/** What another VM knows against a request holds here too, though this one was not told yet. */
const FINAL_CODES: ReadonlySet<CodeName> = new Set<CodeName>([
  "endsUpstreams",
  "onTrialElsewhere",
]);

/** See the module. */
export class Call {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #reply: Reply;
  readonly #service: ServiceRow;
  readonly #record: CallRecord;
  readonly #arrivedMs: number;
  readonly #places: CallPlaces;
  readonly #sends: CallSends;
  readonly #suspicion: CallSuspicion;
  #body: Buffer = Buffer.alloc(0);
  #send: Send | undefined;
  #pass: BodyPass | undefined;
  readonly #move: StreamMove;
  #goesOn: GoesOn | undefined;
  #mayHaveRun = false;
  #over = false;
  #last: Failure | undefined;
  #wake: (() => void) | undefined;

  constructor(context: GatewayContext, input: CallInput, reply: Reply) {
    this.#context = context;
    this.#input = input;
    this.#reply = reply;
    const { route, head, config } = input;
    const name = chooseService(route, head.attemptId);
    this.#service = config.service(name) ??
      { name, mostConnections: 64, coldMs: 0, coldPerS: 0, engine: undefined };
    this.#arrivedMs = context.clock.monoMs();
    this.#record = new CallRecord(context, input, name, this.#arrivedMs);
    this.#suspicion = new CallSuspicion(context, input, this.#record);
    this.#move = new StreamMove(context, input, this.#service);
    this.#places = new CallPlaces(
      context,
      input,
      this.#service,
      this.#arrivedMs,
      this.#record,
    );
    this.#sends = new CallSends({
      context,
      input,
      service: this.#service,
      places: this.#places,
      record: this.#record,
    });
  }

  /** Runs the request to its end; never throws. */
  async run(): Promise<void> {
    const { clock, bodies } = this.#context;
    const timer = clock.after(
      Math.max(0, this.#input.deadlineMonoMs - clock.monoMs()),
      () => this.#expire(),
    );
    this.#context.open++;
    try {
      const body = await readBody(
        this.#input.request,
        this.#input.config.limits.bodyBytes,
        bodies,
        (run) => this.#reply.onClosed(run),
      );
      if (body.isErr()) this.#fail(failure(BODY_CODES[body.error]), 0);
      else {
        this.#body = body.value;
        this.#suspicion.body = body.value;
        if (this.#mayBeLeft) await this.#context.turns.next();
        this.#context.budget(this.#service.name).countRequest(clock.monoMs());
        await this.#serve();
      }
    } catch (error) {
      this.#record.fault(error);
      this.#fail(
        failure("internal", { ran: this.#mayHaveRun ? "unknown" : "no" }),
        0,
      );
    } finally {
      timer.close();
      bodies.giveBack(this.#body.length);
      this.#context.open--;
    }
  }

  /** The other side left: whatever is under way is given up, so that no upstream works for nobody. */
  cancel(): void {
    if (this.#over) return;
    this.#finish("canceled", "caller left");
    this.#send?.cancel("caller left");
    this.#wake?.();
  }

  async #serve(): Promise<void> {
    while (!this.#over) {
      if (this.#goesOn) {
        await this.#goOn(this.#goesOn);
        continue;
      }
      const verdict = await this.#suspicion.judge();
      if (this.#over) return;
      if (verdict.type === "refused") {
        return this.#refuseRun(verdict.code, verdict.comeBackMs);
      }
      this.#places.isSuspect = this.#suspicion.isSuspect;
      const { step, settle } = await this.#places.place();
      if (this.#isBehind) await nextPoll();
      const send = this.#over ? undefined : this.#take(step);
      settle();
      if (send) await this.#follow(send);
      else if (step.type === "wait") await this.#sleep(step.untilMs);
    }
  }

  /** Node takes one new connection a turn, so that a busy process reads a first request seconds after it was sent. */
  get #mayBeLeft(): boolean {
    return this.#input.isFirst || this.#isBehind;
  }

  get #isBehind(): boolean {
    return this.#context.members.lagMs > BEHIND_MS;
  }

  /** Does a step; returns the send that it began. */
  #take(step: Step<LinkedCandidate>): Send | undefined {
    if (step.type === "wait") return undefined;
    if (step.type !== "refuse") return this.#sends.open(step, this.#state());
    this.#refuse(step);
    return undefined;
  }

  /** A stream that was stopped in order to move goes on at its new engine. */
  async #goOn({ candidate, goesOnFrom }: GoesOn): Promise<void> {
    this.#goesOn = undefined;
    this.#mayHaveRun = true;
    const send = this.#sends.goOn(candidate, goesOnFrom, this.#state());
    if (!send) return this.#broken("the engine that it moved to is gone");
    await this.#follow(send);
  }

  /** What the next send of the request carries. */
  #state(): SendState {
    return {
      body: this.#body,
      lastEventId: this.#pass instanceof EventPass
        ? this.#pass.lastEventId
        : undefined,
      onStreamCheck: this.#onStreamCheck,
      isSuspect: this.#suspicion.isSuspect,
      isOnTrial: this.#suspicion.hasLeave,
    };
  }

  /** Follows one send to its end; returns with the call over, or ready for the next step. */
  async #follow(send: Send): Promise<void> {
    this.#record.tries++;
    this.#send = send;
    this.#suspicion.noteSend();
    try {
      const head = await send.head();
      if (this.#over) return;
      if (head.type === "unanswered") {
        await this.#noteLoss(send);
        if (!this.#over) this.#unanswered(send, head);
        return;
      }
      if (!send.goesOn) this.#record.noteArrival();
      if (head.read.status >= 500 && this.#sendsFailedAgain(head)) {
        return;
      }
      if (this.#reply.isBegun && head.read.status !== 200) {
        return this.#broken(`resumed with ${head.read.status}`);
      }
      const passed = await this.#passOn(send, head);
      if (this.#over) return;
      if (passed === "whole") {
        this.#reply.end();
        if (head.read.status < 500) this.#suspicion.noteServed();
        return this.#finish("ok", undefined);
      }
      this.#goesOn = await this.#move.moved();
      if (this.#over || this.#goesOn) return;
      send.noteBroken();
      await this.#noteLoss(send);
      if (!this.#over) this.#broken("upstream broke off");
    } finally {
      send.close();
    }
  }

  /** A send was lost; what may go on elsewhere waits until it is known whether it has ended its upstream. */
  #noteLoss(send: Send): Promise<void> {
    const { route, relayed } = this.#input;
    return this.#suspicion.noteLoss(send, mayRepeat(route) || relayed);
  }

  #passOn(send: Send, { answer, read }: Answered): Promise<Passed> {
    if (!this.#pass) {
      this.#reply.begin(read.status, read.headers, read.bodyBytes);
      this.#pass = passOf(this.#reply, this.#needsEvents(), () => {
        this.#send?.noteChunk();
        this.#record.noteChunk();
        this.#suspicion.noteChunk();
      });
    } else if (this.#pass instanceof EventPass) this.#pass.dropPart();
    this.#send = send;
    return this.#pass.run(answer);
  }

  /** Whether the answer may go on from another upstream. */
  #needsEvents(): boolean {
    const { route, relayed } = this.#input;
    const { engine } = this.#service;
    // The VM that the caller is connected to resumes; a second one would count its sends from zero.
    const resumes = route.resumable && !relayed;
    return route.kind === "stream" &&
      (engine?.moves === true || resumes);
  }

  /** Looks whether a stream is better off at another engine. */
  readonly #onStreamCheck = (): void => {
    const send = this.#send;
    if (this.#suspicion.isSuspect) return;
    if (!(send instanceof UpstreamSend && this.#pass instanceof EventPass)) {
      return;
    }
    this.#move.consider(
      send.candidate,
      this.#pass.events,
      () => this.#places.othersThan(send.candidate),
    );
  };

  /** Whether a failed answer is left aside for another send. */
  #sendsFailedAgain({ answer, read }: Answered): boolean {
    if (!this.#places.hasOtherHere() || !this.#mayRunAgain(true)) return false;
    answer.resume();
    this.#mayHaveRun = true;
    this.#record.sentAgain(`upstream answered ${read.status}`);
    return true;
  }

  #unanswered(send: Send, head: Unanswered): void {
    // A VM that is gone says nothing of its region: another one there may take the request.
    if (send instanceof RelaySend && !head.reached) {
      this.#places.forgetTriedRegion(send.region);
    }
    if (head.endedUpstream !== undefined) {
      this.#suspicion.noteEndElsewhere(head.endedUpstream);
    }
    if (head.arrived) this.#record.sends++;
    this.#record.arrivals += head.arrivals;
    this.#last = head.failure;
    // A moved stream that its new engine turns away has run all the same.
    const mayHaveRun = head.mayHaveRun || this.#reply.isBegun;
    this.#mayHaveRun ||= mayHaveRun;
    if (!FINAL_CODES.has(head.failure.code) && this.#mayRunAgain(mayHaveRun)) {
      return this.#record.sentAgain(head.reason);
    }
    this.#fail(
      this.#mayHaveRun && head.failure.ran === "no"
        ? failure("upstreamFailed")
        : head.failure,
      head.comeBackMs,
      head.reason,
    );
  }

  /** A stream broke in the middle: it goes on at another upstream, or the caller's connection breaks too. */
  #broken(reason: string): void {
    this.#mayHaveRun = true;
    const { relayed } = this.#input;
    if (
      this.#pass instanceof EventPass && !relayed && this.#mayRunAgain(true)
    ) {
      return this.#record.sentAgain(reason);
    }
    this.#finish("streamBroken", reason);
    this.#reply.breakOff();
  }

  #mayRunAgain(mayHaveRun: boolean): boolean {
    const { route } = this.#input;
    const { clock, members } = this.#context;
    const allowed = this.#record.tries < MOST_TRIES && maySendAgain({
      repeatable: mayRepeat(route),
      mayHaveRun,
      sends: this.#record.sends,
      mostUpstreams: this.#input.mostUpstreams,
    });
    if (!allowed) return false;
    // Until it came to an upstream, another try is the first arrival anywhere and costs nothing of the budget.
    return this.#record.arrivals === 0 ||
      this.#context.budget(this.#service.name).tryTake(
        clock.monoMs(),
        members.count(),
      );
  }

  #refuse(step: Step<LinkedCandidate> & { type: "refuse" }): void {
    if (step.reason === "expired") return this.#expire();
    this.#record.noteRefused(step);
    this.#refuseRun(REFUSAL_CODES[step.reason], step.comeBackMs);
  }

  /** Refuses to run the request; one that may have run already can't be told that it has not. */
  #refuseRun(code: CodeName, comeBackMs: number): void {
    if (!this.#mayHaveRun) return this.#fail(failure(code), comeBackMs);
    this.#fail(this.#last ?? failure("upstreamFailed"), 0);
  }

  #expire(): void {
    if (this.#over) return;
    const sent = this.#send !== undefined || this.#mayHaveRun;
    this.#fail(
      sent ? failure("upstreamTimeout") : failure("expiredInQueue"),
      0,
    );
    this.#send?.cancel("deadline passed");
    this.#wake?.();
  }

  #fail(cause: Failure, comeBackMs: number, reason = cause.message): void {
    if (this.#over) return;
    if (cause.ran === "no") this.#places.giveBackUse();
    this.#finish(cause.code, reason, comeBackMs);
    if (this.#reply.isBegun) this.#reply.breakOff();
    else {
      const { arrivals, endedUpstream } = this.#record;
      this.#reply.fail(cause, comeBackMs, { arrivals, endedUpstream });
    }
  }

  #finish(
    outcome: CodeName | "ok",
    reason: string | undefined,
    comeBackMs?: number,
  ): void {
    this.#over = true;
    this.#record.finish(outcome, reason, comeBackMs);
  }

  #sleep(untilMs: number): Promise<void> {
    const { clock } = this.#context;
    if (this.#over) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = clock.after(Math.max(1, untilMs - clock.monoMs()), resolve);
      this.#wake = () => {
        timer.close();
        resolve();
      };
    });
  }
}
