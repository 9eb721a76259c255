/**
 * The life of one request on this VM: read, placed, sent, perhaps sent again or handed over, answered.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { type CodeName, type Failure, failure } from "../base/mod.ts";
import {
  addressTo,
  type CallerHead,
  decodeAnswer,
  forwardedHeaders,
} from "../platform/mod.ts";
import {
  affinityOf,
  chooseService,
  type GatewayConfig,
  hasRoom,
  mayRepeat,
  maySendAgain,
  nextStep,
  type RegionRoom,
  type Route,
  type ServiceRow,
  type Step,
} from "../routing/mod.ts";
import { type BodyProblem, readBody } from "./body.ts";
import type { GatewayContext } from "./context.ts";
import { Exchange } from "./exchange.ts";
import { type Passed, passOn } from "./pass_on.ts";
import { decodePeerFailure, RELAY_HEADERS, type Reply } from "./reply.ts";
import type { LinkedCandidate } from "./upstreams.ts";

/** A connection inside a region takes a few ms; an upstream that took none in this time is dark. */
const CONNECT_WAIT_MS = 250;
/** The same to another region, 80 ms away each way. */
const RELAY_CONNECT_WAIT_MS = 500;
/** Tries of one request, connections that failed included: each costs up to {@link CONNECT_WAIT_MS}. */
const MOST_TRIES = 4;
/** When to return after the last upstream refused: another VM or upstream may have room at once. */
const REFUSED_RETURN_MS = 300;

const BODY_CODES: Record<BodyProblem, CodeName> = {
  tooLarge: "bodyTooLarge",
  noMemory: "queueFull",
  broken: "canceled",
};

/** A request as a listener takes it. */
export interface CallInput {
  readonly request: IncomingMessage;
  readonly head: CallerHead;
  readonly route: Route;
  readonly config: GatewayConfig;
  /** Deadline on the monotonic clock. */
  readonly deadlineMonoMs: number;
  /** Whether another VM handed it over; it then stays in this region. */
  readonly relayed: boolean;
  /** Upstreams that this VM may send it to; fewer than the route's if another VM has sent it already. */
  readonly mostUpstreams: number;
}

/** What became of one send. */
type Sent =
  | { readonly type: "done"; readonly passed: Passed }
  | {
    readonly type: "again";
    readonly mayHaveRun: boolean;
    readonly reason: string;
    readonly failure: Failure;
    readonly comeBackMs: number;
  };

/** See the module. */
export class Call {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #reply: Reply;
  readonly #service: ServiceRow;
  readonly #arrivedMs: number;
  readonly #tried = new Set<string>();
  readonly #triedRegions = new Set<string>();
  readonly #headers: readonly string[];
  #body: Buffer = Buffer.alloc(0);
  #exchange: Exchange | undefined;
  #sends = 0;
  #tries = 0;
  #mayHaveRun = false;
  #over = false;
  #last: Failure | undefined;
  #place = "";
  #firstByteMs: number | undefined;
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
    this.#headers = forwardedHeaders(input.request.rawHeaders);
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
      );
      if (body.isErr()) this.#fail(failure(BODY_CODES[body.error]), 0);
      else {
        this.#body = body.value;
        this.#context.budget(this.#service.name).countRequest(clock.monoMs());
        await this.#serve();
      }
    } catch (error) {
      this.#context.log.error("request failed inside", {
        attempt: this.#input.head.attemptId,
        reason: (error as Error).stack ?? String(error),
      });
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
    this.#exchange?.cancel("caller left");
    this.#wake?.();
  }

  async #serve(): Promise<void> {
    while (!this.#over) {
      const step = this.#next();
      if (step.type === "wait") {
        await this.#sleep(step.untilMs);
        continue;
      }
      if (step.type === "refuse") return this.#refuse(step);
      const sent = step.type === "send"
        ? await this.#send(step.candidate)
        : await this.#relay(step.region);
      if (this.#over || sent === undefined) continue;
      if (sent.type === "done") return this.#answered(sent.passed);
      this.#last = sent.failure;
      this.#mayHaveRun ||= sent.mayHaveRun;
      if (!this.#again(sent)) return this.#fail(sent.failure, sent.comeBackMs);
    }
  }

  #next(): Step<LinkedCandidate> {
    const { clock, upstreams, random, settings } = this.#context;
    const { route, head, relayed, deadlineMonoMs } = this.#input;
    const { region } = settings.vm;
    const isHome = (name: string) =>
      route.homeRegions.length === 0 || route.homeRegions.includes(name);
    return nextStep({
      nowMs: clock.monoMs(),
      arrivedMs: this.#arrivedMs,
      deadlineMs: deadlineMonoMs,
      objectiveMs: route.objectiveMs,
      candidates: isHome(region)
        ? upstreams.candidates(this.#service).filter(({ key }) =>
          !this.#tried.has(key)
        )
        : [],
      regions: relayed ? [] : this.#regions(isHome),
      affinity: affinityOf(head.promptParts),
      draw: random.next(),
    });
  }

  #regions(isHome: (region: string) => boolean): RegionRoom[] {
    return this.#context.relays.regions(
      this.#service.name,
      (region) => isHome(region) && !this.#triedRegions.has(region),
    );
  }

  /** Sends to an upstream; `undefined` if that upstream may not be used any more. */
  async #send(candidate: LinkedCandidate): Promise<Sent | undefined> {
    const { upstreams, clock } = this.#context;
    const { head, request, deadlineMonoMs } = this.#input;
    const { upstream, link } = candidate;
    if (!upstreams.take(candidate, this.#service)) return undefined;
    this.#tried.add(candidate.key);
    this.#tries++;
    this.#place = upstream.key;
    const exchange = new Exchange({
      agent: link.agent,
      host: upstream.host,
      port: upstream.port,
      method: request.method ?? "GET",
      target: head.target,
      headers: addressTo(
        this.#headers,
        upstream.id,
        deadlineMonoMs - clock.monoMs(),
      ),
      body: this.#body,
      connectWaitMs: CONNECT_WAIT_MS,
    });
    this.#exchange = exchange;
    const tokens = this.#service.engine ? head.promptTokens : 0;
    let waiting = true;
    const started = () => {
      if (waiting) link.waitingTokens -= tokens;
      waiting = false;
    };
    link.running++;
    link.waitingTokens += tokens;
    try {
      const result = await exchange.head;
      const nowMs = clock.monoMs();
      if (result.isErr()) {
        const { sent, reason } = result.error;
        if (this.#over) return undefined;
        if (sent) this.#sends++;
        link.health.note("lost", nowMs);
        return this.#lost(sent, reason);
      }
      const answer = result.value;
      const read = decodeAnswer(answer, head.attemptId);
      if (!read.wrongUpstream) this.#sends++;
      if (!read.matches || (!read.signed && !read.notRun)) {
        exchange.cancel("answer of another attempt");
        link.health.note("failed", nowMs);
        return this.#lost(
          true,
          read.matches ? "answer is not signed" : "answer of another attempt",
        );
      }
      if (read.notRun) {
        answer.resume();
        link.health.note(read.wrongUpstream ? "lost" : "shed", nowMs);
        return {
          type: "again",
          mayHaveRun: false,
          reason: `upstream refused with ${read.status}`,
          failure: failure("upstreamRefused"),
          comeBackMs: REFUSED_RETURN_MS,
        };
      }
      const failed = read.status >= 500;
      link.health.note(failed ? "failed" : "answered", nowMs);
      if (failed && this.#hasOtherHere() && this.#mayRunAgain(true)) {
        answer.resume();
        this.#mayHaveRun = true;
        this.#context.log.warn(
          "sent again",
          this.#fields({ reason: `upstream answered ${read.status}` }),
        );
        return undefined;
      }
      this.#reply.begin(read.status, read.headers, read.bodyBytes);
      const passed = await passOn(answer, this.#reply, () => {
        started();
        this.#noteFirstByte();
      });
      if (passed === "broken") link.health.note("lost", clock.monoMs());
      return { type: "done", passed };
    } finally {
      started();
      link.running--;
    }
  }

  /** Hands the request to a VM of another region. */
  async #relay(region: string): Promise<Sent | undefined> {
    const { relays, random, clock } = this.#context;
    const { head, request, deadlineMonoMs, config } = this.#input;
    this.#triedRegions.add(region);
    const vm = relays.pick(region, random);
    if (!vm) return undefined;
    this.#tries++;
    this.#place = vm.id;
    const exchange = new Exchange({
      agent: relays.agent(vm.ip),
      host: vm.ip,
      port: relays.port,
      method: request.method ?? "GET",
      target: head.target,
      headers: [
        ...this.#headers,
        RELAY_HEADERS.waitMs,
        String(Math.floor(deadlineMonoMs - clock.monoMs())),
        RELAY_HEADERS.configVersion,
        String(config.version),
        RELAY_HEADERS.mostUpstreams,
        String(Math.max(1, this.#input.mostUpstreams - this.#sends)),
      ],
      body: this.#body,
      connectWaitMs: RELAY_CONNECT_WAIT_MS,
    });
    this.#exchange = exchange;
    const result = await exchange.head;
    if (result.isErr()) {
      if (this.#over) return undefined;
      if (result.error.sent) this.#sends++;
      return this.#lost(result.error.sent, result.error.reason);
    }
    const answer = result.value;
    const refused = decodePeerFailure(answer.headers);
    if (refused) {
      answer.resume();
      const mayHaveRun = refused.failure.ran !== "no";
      if (mayHaveRun) this.#sends++;
      return {
        type: "again",
        mayHaveRun,
        reason: `${vm.id} answered ${refused.failure.code}`,
        failure: refused.failure,
        comeBackMs: refused.comeBackMs,
      };
    }
    this.#sends++;
    const read = decodeAnswer(answer, head.attemptId);
    this.#reply.begin(read.status, read.headers, read.bodyBytes);
    return {
      type: "done",
      passed: await passOn(answer, this.#reply, () => this.#noteFirstByte()),
    };
  }

  #lost(sent: boolean, reason: string): Sent {
    return {
      type: "again",
      mayHaveRun: sent,
      reason,
      failure: failure(sent ? "upstreamFailed" : "noUpstream", {
        ran: sent ? "unknown" : "no",
      }),
      comeBackMs: sent ? 0 : REFUSED_RETURN_MS,
    };
  }

  /**
   * Whether an upstream of this region has room for one more try. An upstream's own failure is passed on otherwise: a
   * caller that comes back with a new attempt is served sooner than by a hand-over, and the answer is true.
   */
  #hasOtherHere(): boolean {
    const step = this.#next();
    return step.type === "send" && hasRoom(step.candidate);
  }

  #mayRunAgain(mayHaveRun: boolean): boolean {
    const { route } = this.#input;
    const { clock, members } = this.#context;
    const allowed = this.#tries < MOST_TRIES && maySendAgain({
      repeatable: mayRepeat(route),
      mayHaveRun,
      sends: this.#sends,
      mostUpstreams: this.#input.mostUpstreams,
    });
    if (!allowed) return false;
    // Until something was sent, another try is the first arrival anywhere and costs nothing of the budget.
    return this.#sends === 0 ||
      this.#context.budget(this.#service.name).tryTake(
        clock.monoMs(),
        members.count(),
      );
  }

  #again({ mayHaveRun, reason }: Sent & { type: "again" }): boolean {
    if (!this.#mayRunAgain(mayHaveRun)) return false;
    this.#context.log.warn("sent again", this.#fields({ reason }));
    return true;
  }

  #refuse(step: Step<LinkedCandidate> & { type: "refuse" }): void {
    if (step.reason === "expired") return this.#expire();
    if (this.#mayHaveRun) {
      return this.#fail(this.#last ?? failure("upstreamFailed"), 0);
    }
    const code = step.reason === "noUpstream" ? "noUpstream" : "queueFull";
    this.#fail(failure(code), step.comeBackMs);
  }

  #expire(): void {
    if (this.#over) return;
    const sent = this.#exchange !== undefined || this.#mayHaveRun;
    this.#fail(
      sent ? failure("upstreamTimeout") : failure("expiredInQueue"),
      0,
    );
    this.#exchange?.cancel("deadline passed");
    this.#wake?.();
  }

  #answered(passed: Passed): void {
    if (this.#over) return;
    if (passed === "whole") this.#finish("ok", undefined);
    else this.#finish("streamBroken", "upstream broke off");
  }

  #fail(cause: Failure, comeBackMs: number): void {
    if (this.#over) return;
    this.#finish(cause.code, cause.message, comeBackMs);
    if (this.#reply.isBegun) this.#reply.breakOff();
    else this.#reply.fail(cause, comeBackMs);
  }

  #finish(
    outcome: CodeName | "ok",
    reason: string | undefined,
    comeBackMs?: number,
  ): void {
    this.#over = true;
    const { log, metrics, clock } = this.#context;
    const { route, relayed } = this.#input;
    const totalMs = clock.monoMs() - this.#arrivedMs;
    const labels =
      `service="${this.#service.name}",kind="${route.kind}",relayed="${relayed}"`;
    metrics.count("requests", `${labels},outcome="${outcome}"`);
    metrics.time("total", labels, totalMs);
    const fields = this.#fields({
      outcome,
      reason,
      comeBackMs,
      totalMs: Math.round(totalMs),
    });
    if (outcome === "ok") log.info("request", fields);
    else log.warn("request", fields);
  }

  #noteFirstByte(): void {
    const ms = this.#context.clock.monoMs() - this.#arrivedMs;
    this.#firstByteMs = Math.round(ms);
    this.#context.metrics.time(
      "first_byte",
      `service="${this.#service.name}"`,
      ms,
    );
  }

  #fields(more: Record<string, unknown>): Record<string, unknown> {
    const { head, route, config, relayed, deadlineMonoMs } = this.#input;
    return {
      attempt: head.attemptId,
      route: route.name,
      kind: route.kind,
      service: this.#service.name,
      configVersion: config.version,
      relayed,
      place: this.#place,
      sends: this.#sends,
      tries: this.#tries,
      leftMs: Math.round(deadlineMonoMs - this.#context.clock.monoMs()),
      firstByteMs: this.#firstByteMs,
      ...more,
    };
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
