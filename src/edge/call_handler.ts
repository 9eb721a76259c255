/**
 * The common base of model calls and plain calls: the results of their attempts and the response to their caller.
 *
 * @module
 */

import type { Result } from "neverthrow";
import {
  isLastAnswer,
  type UpstreamAnswer,
  type UpstreamCall,
  type UpstreamError,
} from "../adapters/mod.ts";
import { codes, type Failure, failure, type Ran } from "../base/mod.ts";
import { hasEnded, sendFailure, setVmHeaders } from "./answer.ts";
import type { Attempt } from "./attempts.ts";
import { readBody } from "./body.ts";
import type { Call } from "./call.ts";
import type { EdgeContext } from "./context.ts";
import { RequestStats } from "./request_stats.ts";
import { requestDigest, traitsOf } from "../suspects/mod.ts";
import { SuspectCheck } from "./suspect_check.ts";

/** Result of an attempt: the caller has its response, or another attempt may follow. */
export type AttemptResult = "answered" | "retry";

/** Delay after which a caller may retry if its attempts found only upstreams that accept no requests now. */
const RETRY_DELAY_MS = 1000;

/** Handles one call of a caller with all its attempts. `run` may be called once. */
export abstract class CallHandler {
  protected readonly context: EdgeContext;
  protected readonly call: Call;
  protected readonly stats: RequestStats;
  /** Whether an attempt so far has run the call. Failures report it to the caller. */
  protected ran: Ran = "no";
  /** Present once the call's body has been read. */
  protected suspectCheck: SuspectCheck | undefined;
  /** The failure that the caller gets if no further attempt is made. */
  protected lastFailure: Failure = failure("noUpstream");
  /** The signal of the attempt that an upstream may have received last; absent if that attempt was not run. */
  #sendSignal: AbortSignal | undefined;

  constructor(context: EdgeContext, call: Call) {
    this.context = context;
    this.call = call;
    this.stats = new RequestStats(context, call);
  }

  /** Runs the call and responds to the caller. It may be called once. */
  async run(): Promise<void> {
    this.call.open.onStop = (goTo) => this.stop(goTo);
    try {
      await this.handle();
    } finally {
      this.suspectCheck?.close();
    }
  }

  /** Runs the call and responds to the caller. */
  protected abstract handle(): Promise<void>;

  /**
   * Ends the call because this VM's planned stop is over, with an answer: a connection that closes without one tells
   * its caller nothing. What the call waits for is canceled afterwards.
   */
  protected stop(goTo: readonly string[]): void {
    const { request, response, arrivedAtMs } = this.call;
    if (hasEnded(response)) return;
    const nowMs = this.context.clock.nowMs();
    const ran = this.#ranSoFar;
    const code = ran === "no" ? "draining" : "cutByStop";
    const error = failure(code, { ran, goTo, retryAtMs: nowMs });
    this.context.log.warn("request cut by the stop", {
      path: request.url,
      service: this.stats.service,
      code: codes[code].code,
      ran,
      hasBegun: response.headersSent,
      ageMs: Math.round(nowMs - arrivedAtMs),
    });
    if (response.headersSent) this.endBegunAnswer(error);
    else {
      // An upstream's headers may be set already; they would misdescribe this answer.
      for (const name of response.getHeaderNames()) response.removeHeader(name);
      setVmHeaders(response, this.context.vm);
      if (isLastAnswer(response)) response.setHeader("connection", "close");
      sendFailure(response, error, nowMs);
    }
    this.stats.fail(error);
  }

  /** Ends an answer whose first part was sent, so that its caller can tell that the rest is missing, and why. */
  protected abstract endBegunAnswer(error: Failure): void;

  /** Reads the whole body of the request. */
  protected readRequestBody(): Promise<Result<Buffer, Failure>> {
    const { request, signal } = this.call;
    const { limits, clock } = this.context;
    return readBody(request, limits, clock, signal);
  }

  /** Sends an attempt to its upstream. */
  protected openUpstream(
    upstreamCall: UpstreamCall,
    signal: AbortSignal,
  ): Promise<Result<UpstreamAnswer, UpstreamError>> {
    this.#sendSignal = signal;
    return this.context.upstreams.open(upstreamCall, signal);
  }

  /** Whether the call has run, with the attempt that is not over yet. */
  get #ranSoFar(): Ran {
    if (this.stats.hasStarted) return "yes";
    if (this.ran !== "no" || !this.#sendSignal) return this.ran;
    return this.context.upstreams.hasSent(this.#sendSignal) ? "unknown" : "no";
  }

  /** Creates the check for upstreams that crashed under this call. It is made before each attempt. */
  protected createSuspectCheck(
    body: Buffer,
    service: string,
    parts: readonly string[],
  ): SuspectCheck {
    const { context, call, stats } = this;
    const request = requestDigest({
      host: "",
      target: call.request.url ?? "/",
      keyDigest: call.workspace.id,
      body,
    });
    const traits = traitsOf(request, service, parts);
    return this.suspectCheck = new SuspectCheck(context, stats, traits);
  }

  /** Adds `ran` to a refusal: after an attempt that may have run, it must not say that nothing was run. */
  protected keepRan(refusal: Failure): Failure {
    return this.ran === "no" ? refusal : { ...refusal, ran: this.ran };
  }

  /** Handles an attempt that the upstream certainly did not run, so that another upstream may run the call. */
  protected handleNotRun(
    attempt: Attempt,
    outcome: "unreachable" | "refused",
  ): AttemptResult {
    attempt.report(outcome);
    this.#sendSignal = undefined;
    const code = outcome === "refused"
      ? "upstreamRefused"
      : "upstreamUnreachable";
    const retryAtMs = this.context.clock.nowMs() + RETRY_DELAY_MS;
    this.lastFailure = this.keepRan(failure(code, { retryAtMs }));
    return "retry";
  }

  /** Whether an answer belongs to the attempt. This can be checked only if the upstream echoes the attempt's id. */
  protected isOwnAnswer(
    attempt: Attempt,
    headers: Readonly<Record<string, string>>,
  ): boolean {
    const echoedId = headers["x-request-id"];
    return echoedId === undefined || echoedId === attempt.grant.attemptId;
  }

  /** Ends a call that got its response or whose caller has disconnected. `code` is 0 for success. */
  protected finish(
    attempt: Attempt,
    outcome: "done" | "canceled" | "failed",
    code: number,
  ): void {
    attempt.report(outcome, this.stats);
    this.stats.finish(code);
  }

  /** Ends the call with a failure. */
  protected fail(error: Failure): void {
    sendFailure(this.call.response, error, this.context.clock.nowMs());
    this.stats.fail(error);
  }
}
