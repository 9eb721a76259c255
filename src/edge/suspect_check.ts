/**
 * Checks whether a call may run, given the upstreams that crashed under the same request, in this call or before.
 *
 * @module
 */

import { type Failure, failure } from "../base/mod.ts";
import { requestDigest } from "../suspects/mod.ts";
import type { Attempt } from "./attempts.ts";
import type { Call } from "./call.ts";
import type { EdgeContext } from "./context.ts";
import type { RequestStats } from "./request_stats.ts";

/** Reports what happens to one call to the suspects service, and asks it whether the call may run. */
export class SuspectCheck {
  readonly #context: EdgeContext;
  readonly #stats: RequestStats;
  readonly #digest: string;
  #isTrialRun = false;

  constructor(
    context: EdgeContext,
    call: Call,
    stats: RequestStats,
    body: Buffer,
  ) {
    this.#context = context;
    this.#stats = stats;
    this.#digest = requestDigest({
      host: "",
      target: call.request.url ?? "/",
      keyDigest: call.workspace.id,
      body,
    });
  }

  /** Returns why the call may not run now; `undefined` if it may. */
  async findRefusal(): Promise<Failure | undefined> {
    const verdict = await this.#context.suspects.ask("judge", {
      digest: this.#digest,
      hasLeave: this.#isTrialRun,
    });
    if (verdict.type === "runs") {
      this.#isTrialRun = verdict.hasLeave;
      return undefined;
    }
    const retryAtMs = this.#context.clock.nowMs() + verdict.comeBackMs;
    return failure(verdict.code, { retryAtMs });
  }

  /** Reports that the connection of an attempt broke. Waits until it is known whether its upstream crashed. */
  async reportBrokenConnection({ grant, startedAtMs }: Attempt): Promise<void> {
    const nowMs = this.#context.clock.nowMs();
    const { firstTokenAtMs } = this.#stats;
    await this.#context.suspects.ask("lost", {
      digest: this.#digest,
      upstreamId: grant.upstreamId,
      url: grant.url,
      sentAgoMs: nowMs - startedAtMs,
      ...(firstTokenAtMs === undefined
        ? {}
        : { beganAgoMs: nowMs - firstTokenAtMs }),
    });
  }

  /** Reports that the call was answered. */
  reportServed(): void {
    void this.#context.suspects.ask("served", { digest: this.#digest });
  }
}
