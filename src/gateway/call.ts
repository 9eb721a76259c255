/**
 * The life of one request on this VM: read, placed, sent, perhaps sent again or handed over, answered.
 *
 * @module
 */

import { type CodeName, type Failure, failure } from "../base/mod.ts";
import { forwardedHeaders, resumedAfter } from "../platform/mod.ts";
import {
  affinityOf,
  chooseService,
  hasRoom,
  isLongAnswer,
  mayRepeat,
  maySendAgain,
  nextStep,
  patienceMs,
  type RegionRoom,
  type ServiceRow,
  type Step,
} from "../routing/mod.ts";
import { readBody } from "./body.ts";
import { BODY_CODES, type CallInput } from "./call_input.ts";
import { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { type BodyPass, EventPass, type Passed, RawPass } from "./pass_on.ts";
import type { Reply } from "./reply.ts";
import {
  type Answered,
  RelaySend,
  type Send,
  type Sendable,
  type Unanswered,
  UpstreamSend,
} from "./send.ts";
import { type MovedTo, StreamMove } from "./stream_move.ts";
import {
  type LinkedCandidate,
  NO_PROMPT,
  type PromptShape,
} from "./upstreams.ts";

/** Tries of one request, connections that failed included: each costs up to a quarter of a second. */
const MOST_TRIES = 4;

/** See the module. */
export class Call {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #reply: Reply;
  readonly #service: ServiceRow;
  readonly #prompt: PromptShape;
  readonly #record: CallRecord;
  readonly #arrivedMs: number;
  readonly #tried = new Set<string>();
  readonly #triedRegions = new Set<string>();
  readonly #headers: readonly string[];
  #body: Buffer = Buffer.alloc(0);
  #send: Send | undefined;
  #pass: BodyPass | undefined;
  readonly #move: StreamMove;
  #movedTo: MovedTo | undefined;
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
    this.#prompt = { parts: head.promptParts, tokens: head.promptTokens };
    this.#arrivedMs = context.clock.monoMs();
    this.#record = new CallRecord(context, input, name, this.#arrivedMs);
    this.#headers = forwardedHeaders(input.request.rawHeaders);
    this.#move = new StreamMove(context, input);
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
      if (this.#movedTo) {
        await this.#goOn(this.#movedTo);
        continue;
      }
      const step = this.#next();
      if (step.type === "wait") {
        await this.#sleep(step.untilMs);
        continue;
      }
      if (step.type === "refuse") return this.#refuse(step);
      const send = this.#open(step);
      if (send) await this.#follow(send);
    }
  }

  /** A stream that was stopped in order to move goes on at its new engine. */
  async #goOn({ candidate, goesOnFrom }: MovedTo): Promise<void> {
    this.#movedTo = undefined;
    this.#mayHaveRun = true;
    if (!this.#context.upstreams.take(candidate, this.#service, NO_PROMPT)) {
      return this.#broken("the engine that it moved to is gone");
    }
    this.#tried.add(candidate.key);
    this.#record.place = candidate.key;
    this.#record.moves++;
    const sendable = { ...this.#sendable(0), goesOnFrom };
    await this.#follow(new UpstreamSend(this.#context, sendable, candidate));
  }

  /** Sends, or finds that the place that was chosen is gone. */
  #open(
    step: Step<LinkedCandidate> & { type: "send" | "relay" },
  ): Send | undefined {
    const { upstreams, relays, random } = this.#context;
    if (step.type === "send") {
      const { candidate } = step;
      if (!upstreams.take(candidate, this.#service, this.#prompt)) {
        return undefined;
      }
      this.#tried.add(candidate.key);
      this.#record.place = candidate.key;
      return new UpstreamSend(
        this.#context,
        this.#sendable(
          this.#service.engine ? candidate.unreadTokens : 0,
          upstreams.fetchFrom(
            candidate,
            this.#service,
            this.#prompt,
            this.#isHome,
          ),
        ),
        candidate,
      );
    }
    this.#triedRegions.add(step.region);
    const vm = relays.pick(step.region, random);
    if (!vm) return undefined;
    this.#record.place = vm.id;
    return new RelaySend(this.#context, this.#sendable(0), vm, {
      configVersion: this.#input.config.version,
      // One, and no more: this VM cannot tell how many were used if it gives the hand-over up, and may send again itself.
      mostUpstreams: 1,
    });
  }

  #sendable(promptTokens: number, fetchFrom?: string): Sendable {
    const { head, request, route, deadlineMonoMs } = this.#input;
    const after = this.#pass instanceof EventPass
      ? this.#pass.lastEventId
      : undefined;
    return {
      method: request.method ?? "GET",
      target: head.target,
      attemptId: head.attemptId,
      headers: after === undefined
        ? this.#headers
        : resumedAfter(this.#headers, after),
      body: this.#body,
      deadlineMonoMs,
      promptTokens,
      fetchFrom,
      goesOnFrom: undefined,
      onStreamCheck: this.#onStreamCheck,
      patienceMs: this.#record.tries === 0 ? patienceMs(route) : Infinity,
      hasOther: () => this.#next().type === "relay" || this.#hasOtherHere(),
    };
  }

  /** Follows one send to its end; returns with the call over, or ready for the next step. */
  async #follow(send: Send): Promise<void> {
    this.#record.tries++;
    this.#send = send;
    try {
      const head = await send.head();
      if (this.#over) return;
      if (head.type === "unanswered") return this.#unanswered(send, head);
      this.#record.sends++;
      this.#record.arrivals++;
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
        return this.#finish("ok", undefined);
      }
      this.#movedTo = await this.#move.outcome();
      if (this.#over || this.#movedTo) return;
      send.noteBroken();
      this.#broken("upstream broke off");
    } finally {
      send.close();
    }
  }

  #passOn(send: Send, { answer, read }: Answered): Promise<Passed> {
    const { route, relayed } = this.#input;
    if (!this.#pass) {
      this.#reply.begin(read.status, read.headers, read.bodyBytes);
      const onChunk = () => {
        this.#send?.noteChunk();
        this.#record.noteChunk();
      };
      // The VM that the caller is connected to resumes; a second one would count its sends from zero.
      const needsEvents = this.#service.engine?.moves ||
        (route.resumable && !relayed);
      this.#pass = route.kind === "stream" && needsEvents
        ? new EventPass(this.#reply, onChunk)
        : new RawPass(this.#reply, onChunk);
    } else if (this.#pass instanceof EventPass) this.#pass.dropPart();
    this.#send = send;
    return this.#pass.run(answer);
  }

  /** Looks whether a stream is better off at another engine. */
  readonly #onStreamCheck = (): void => {
    const { engine } = this.#service;
    const send = this.#send;
    if (
      !engine?.moves || !(send instanceof UpstreamSend) ||
      !(this.#pass instanceof EventPass)
    ) return;
    const { expectedOutputTokens } = this.#input.head;
    this.#move.consider({
      candidate: send.candidate,
      eventsLeft: expectedOutputTokens / engine.tokensPerEvent -
        this.#pass.events,
      others: () =>
        this.#context.upstreams.candidates(this.#service).filter(({ key }) =>
          key !== send.candidate.key
        ),
    });
  };

  /** Whether a failed answer is left aside for another send. */
  #sendsFailedAgain({ answer, read }: Answered): boolean {
    if (!this.#hasOtherHere() || !this.#mayRunAgain(true)) return false;
    answer.resume();
    this.#mayHaveRun = true;
    this.#record.sentAgain(`upstream answered ${read.status}`);
    return true;
  }

  #unanswered(send: Send, head: Unanswered): void {
    // A VM that is gone says nothing of its region: another one there may take the request.
    if (send instanceof RelaySend && !head.reached) {
      this.#triedRegions.delete(send.region);
    }
    if (head.arrived) this.#record.sends++;
    this.#record.arrivals += head.arrivals;
    this.#last = head.failure;
    // A moved stream that its new engine turns away has run all the same.
    const mayHaveRun = head.mayHaveRun || this.#reply.isBegun;
    this.#mayHaveRun ||= mayHaveRun;
    if (this.#mayRunAgain(mayHaveRun)) {
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

  #next(): Step<LinkedCandidate> {
    const { clock, upstreams, random, settings } = this.#context;
    const { route, head, relayed, deadlineMonoMs } = this.#input;
    const { region } = settings.vm;
    const isHome = this.#isHome;
    return nextStep({
      nowMs: clock.monoMs(),
      arrivedMs: this.#arrivedMs,
      deadlineMs: deadlineMonoMs,
      objectiveMs: route.objectiveMs,
      candidates: isHome(region)
        ? upstreams.candidates(this.#service, this.#prompt).filter(({ key }) =>
          !this.#tried.has(key)
        )
        : [],
      regions: relayed ? [] : this.#regions(),
      affinity: affinityOf(head.promptParts),
      isLong: isLongAnswer(head.outputTokens),
      draw: random.next(),
    });
  }

  /** Whether a region may serve, cache and hold the request. */
  readonly #isHome = (region: string): boolean => {
    const { homeRegions } = this.#input.route;
    return homeRegions.length === 0 || homeRegions.includes(region);
  };

  #regions(): RegionRoom[] {
    const { route, config } = this.#input;
    const { name } = this.#service;
    const isFree = route.homeRegions.length === 0;
    return this.#context.relays.regions(
      name,
      (region) => this.#isHome(region) && !this.#triedRegions.has(region),
      (region) => isFree && config.isHomeOf(name, region),
    );
  }

  /**
   * Whether an upstream of this region has room for one more try. An upstream's own failure is passed on otherwise: a
   * caller that comes back with a new attempt is served sooner than by a hand-over, and the answer is true.
   */
  #hasOtherHere(): boolean {
    const step = this.#next();
    return step.type === "send" &&
      hasRoom(step.candidate, isLongAnswer(this.#input.head.outputTokens));
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
    if (this.#mayHaveRun) {
      return this.#fail(this.#last ?? failure("upstreamFailed"), 0);
    }
    const code = step.reason === "noUpstream" ? "noUpstream" : "queueFull";
    this.#fail(failure(code), step.comeBackMs);
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
    this.#finish(cause.code, reason, comeBackMs);
    if (this.#reply.isBegun) this.#reply.breakOff();
    else this.#reply.fail(cause, comeBackMs, this.#record.arrivals);
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
    return new Promise((resolve) => {
      const timer = clock.after(Math.max(1, untilMs - clock.monoMs()), resolve);
      this.#wake = () => {
        timer.close();
        resolve();
      };
    });
  }
}
