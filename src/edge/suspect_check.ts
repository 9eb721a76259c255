/**
 * Checks whether a call may run, given the upstreams that crashed under the same request, in this call or before, or with
 * parts of its prompt.
 *
 * @module
 */

import { type Failure, failure } from "../base/mod.ts";
import { hasSurvived, type Traits } from "../suspects/mod.ts";
import type { Attempt } from "./attempts.ts";
import type { EdgeContext } from "./context.ts";
import type { RequestStats } from "./request_stats.ts";

/** Callers of models wait longer than this for a first token. */
const MAX_TRIAL_WAIT_MS = 2_000;

/** Reports what happens to one call to the suspects service, and asks it whether the call may run. */
export class SuspectCheck {
  readonly #context: EdgeContext;
  readonly #stats: RequestStats;
  readonly #traits: Traits;
  #isTrial = false;
  /** The trait whose trial this VM holds the permission for. */
  #trialOf: string | undefined;
  #hasCrashed = false;
  #hasReportedSurvival = false;

  constructor(context: EdgeContext, stats: RequestStats, traits: Traits) {
    this.#context = context;
    this.#stats = stats;
    this.#traits = traits;
  }

  /** Returns why the call may not run now; `undefined` if it may. */
  async findRefusal(): Promise<Failure | undefined> {
    const verdict = await this.#context.suspects.ask("judge", {
      traits: this.#traits,
      hasLeave: this.#isTrial,
      mostWaitMs: MAX_TRIAL_WAIT_MS,
    });
    if (verdict.type === "runs") {
      this.#isTrial = verdict.hasLeave;
      this.#trialOf ??= verdict.trialOf;
      return undefined;
    }
    const retryAtMs = this.#context.clock.nowMs() + verdict.comeBackMs;
    return failure(verdict.code, { retryAtMs });
  }

  /** Reports that the connection of an attempt broke. Waits until it is known whether its upstream crashed. */
  async reportBrokenConnection({ grant, startedAtMs }: Attempt): Promise<void> {
    const nowMs = this.#context.clock.nowMs();
    const { firstTokenAtMs } = this.#stats;
    this.#hasCrashed = await this.#context.suspects.ask("lost", {
      traits: this.#traits,
      isTrial: this.#isTrial,
      upstreamId: grant.upstreamId,
      url: grant.url,
      sentAgoMs: nowMs - startedAtMs,
      ...(firstTokenAtMs === undefined
        ? {}
        : { beganAgoMs: nowMs - firstTokenAtMs }),
    });
  }

  /** Notes that a part of the answer arrived. A call that has run for long enough is reported before its end. */
  noteEvent(): void {
    if (this.#hasReportedSurvival || !hasSurvived(this.#beganAgoMs)) return;
    this.#hasReportedSurvival = true;
    this.reportServed();
  }

  /** Reports that the call was answered. */
  reportServed(): void {
    void this.#context.suspects.ask("served", {
      traits: this.#traits,
      beganAgoMs: this.#beganAgoMs,
    });
  }

  /** Reports that a trial is over, if this call is one. */
  close(): void {
    if (this.#trialOf === undefined) return;
    void this.#context.suspects.ask("trialOver", {
      trait: this.#trialOf,
      hasCrashed: this.#hasCrashed,
    });
  }

  get #beganAgoMs(): number {
    const nowMs = this.#context.clock.nowMs();
    return nowMs - (this.#stats.firstTokenAtMs ?? nowMs);
  }
}
