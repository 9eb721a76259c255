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
import { Seen } from "./seen.ts";
import { Suspicion } from "./suspicion.ts";

/** What to do after an attempt: the caller has its answer, or another attempt may follow. */
export type Step = "answered" | "retry";

/** When a caller may come back whose attempts met upstreams that take nothing now. */
const RETRY_MS = 1000;

/** One call of a caller, on its way through its attempts; `run` once. */
export abstract class CallRun {
  protected readonly context: EdgeContext;
  protected readonly call: Call;
  protected readonly seen: Seen;
  /** What is known of the attempts so far, for the caller's "was it run?". */
  protected ran: Ran = "no";
  /** What the caller is told if no further attempt is made. */
  protected last: Failure = failure("noUpstream");

  constructor(context: EdgeContext, call: Call) {
    this.context = context;
    this.call = call;
    this.seen = new Seen(context, call);
  }

  /** Answers the caller. */
  abstract run(): Promise<void>;

  /** Whether upstreams ended under this call; asked before each attempt. */
  protected suspicionOf(body: Buffer): Suspicion {
    return new Suspicion(this.context, this.call, this.seen, body);
  }

  /** A refusal after an attempt that may have run must not claim that nothing was run. */
  protected worst(refusal: Failure): Failure {
    return this.ran === "no" ? refusal : { ...refusal, ran: this.ran };
  }

  /** The attempt's upstream did not run the call, for certain: another one may. */
  protected notRun(
    attempt: Attempt,
    outcome: "unreachable" | "refused",
  ): Step {
    attempt.report(outcome);
    const code = outcome === "refused"
      ? "upstreamRefused"
      : "upstreamUnreachable";
    const retryAtMs = this.context.clock.nowMs() + RETRY_MS;
    this.last = this.worst(failure(code, { retryAtMs }));
    return "retry";
  }

  /** Whether the answer with these headers is the attempt's own. Upstreams that echo the attempt's id tell it. */
  protected isOwn(
    attempt: Attempt,
    headers: Readonly<Record<string, string>>,
  ): boolean {
    const echo = headers["x-request-id"];
    return echo === undefined || echo === attempt.grant.attemptId;
  }

  /** The call ended with an answer, or its caller has gone; `code` is 0 for success. */
  protected end(
    attempt: Attempt,
    outcome: "done" | "canceled" | "failed",
    code: number,
  ): void {
    attempt.report(outcome, this.seen);
    this.seen.finish(code);
  }

  /** The call ends with a failure. */
  protected fail(failed: Failure): void {
    sendFailure(this.call.response, failed, this.context.clock.nowMs());
    this.seen.fail(failed);
  }
}
