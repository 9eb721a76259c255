/**
 * What all calls have in common: what is known of their attempts, and how their caller is told.
 *
 * @module
 */

import { type Failure, failure, type Ran } from "../base/mod.ts";
import { sendFailure } from "./answer.ts";
import type { Attempt } from "./attempts.ts";
import type { Call } from "./call.ts";
import type { EdgeContext } from "./context.ts";
import { RequestStats } from "./request_stats.ts";
import { SuspectCheck } from "./suspect_check.ts";

/** What to do after an attempt: the caller has its answer, or another attempt may follow. */
export type AttemptResult = "answered" | "retry";

/** When a caller may come back whose attempts met upstreams that take nothing now. */
const RETRY_DELAY_MS = 1000;

/** One call of a caller, on its way through its attempts; `run` once. */
export abstract class CallHandler {
  protected readonly context: EdgeContext;
  protected readonly call: Call;
  protected readonly stats: RequestStats;
  /** What is known of the attempts so far, for the caller's "was it run?". */
  protected ran: Ran = "no";
  /** What the caller is told if no further attempt is made. */
  protected lastFailure: Failure = failure("noUpstream");

  constructor(context: EdgeContext, call: Call) {
    this.context = context;
    this.call = call;
    this.stats = new RequestStats(context, call);
  }

  /** Answers the caller. */
  abstract run(): Promise<void>;

  /** Whether upstreams ended under this call; asked before each attempt. */
  protected createSuspectCheck(body: Buffer): SuspectCheck {
    return new SuspectCheck(this.context, this.call, this.stats, body);
  }

  /** A refusal after an attempt that may have run must not claim that nothing was run. */
  protected keepRan(refusal: Failure): Failure {
    return this.ran === "no" ? refusal : { ...refusal, ran: this.ran };
  }

  /** The attempt's upstream did not run the call, for certain: another one may. */
  protected handleNotRun(
    attempt: Attempt,
    outcome: "unreachable" | "refused",
  ): AttemptResult {
    attempt.report(outcome);
    const code = outcome === "refused"
      ? "upstreamRefused"
      : "upstreamUnreachable";
    const retryAtMs = this.context.clock.nowMs() + RETRY_DELAY_MS;
    this.lastFailure = this.keepRan(failure(code, { retryAtMs }));
    return "retry";
  }

  /** Whether the answer with these headers is the attempt's own. Upstreams that echo the attempt's id tell it. */
  protected isOwnAnswer(
    attempt: Attempt,
    headers: Readonly<Record<string, string>>,
  ): boolean {
    const echoedId = headers["x-request-id"];
    return echoedId === undefined || echoedId === attempt.grant.attemptId;
  }

  /** The call ended with an answer, or its caller has gone; `code` is 0 for success. */
  protected finish(
    attempt: Attempt,
    outcome: "done" | "canceled" | "failed",
    code: number,
  ): void {
    attempt.report(outcome, this.stats);
    this.stats.finish(code);
  }

  /** The call ends with a failure. */
  protected fail(error: Failure): void {
    sendFailure(this.call.response, error, this.context.clock.nowMs());
    this.stats.fail(error);
  }
}
