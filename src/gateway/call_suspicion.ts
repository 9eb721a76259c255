/**
 * Whether one request is suspected of crashing upstreams, in this attempt or before, and whether it may run.
 *
 * @module
 */

import {
  type Blame,
  canBeCause,
  hasSurvived,
  requestDigest,
  type SuspectTracker,
  type SuspectVerdict,
  type Traits,
  traitsOf,
} from "../suspects/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { RelaySend } from "./relay_send.ts";
import type { Send } from "./send.ts";

/** Share of the time left that a request waits at most for the trial of one of its parts. */
const TRIAL_WAIT_SHARE = 0.5;

/** Decides whether one request may run, and reports how its runs end. */
export class CallSuspicion {
  /** The whole body; set before any other member is used. */
  body: Buffer = Buffer.alloc(0);
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: string;
  readonly #record: CallRecord;
  #cachedTraits: Traits | undefined;
  #isTrialRun: boolean;
  /** The trait whose trial this VM holds the permission for. */
  #trialOf: string | undefined;
  /** Whether an upstream crashed under the last send; it may take a moment to know. */
  #hasCrashed: Promise<boolean> = Promise.resolve(false);
  /** Whether a relayed send broke off as the request began to run: the other VM had no way left to report the cause. */
  #hasEarlyRelayLoss = false;
  #beganMonoMs: number | undefined;
  /** The tracker's revision for which the request was cleared last; each chunk of an answer asks for it. */
  #clearedRevision: number | undefined;
  /** Whether the request is suspected, and the tracker's revision for which that was judged. */
  #suspicion:
    | { readonly revision: number; readonly isSuspect: boolean }
    | undefined;

  constructor(
    context: GatewayContext,
    input: CallInput,
    service: string,
    record: CallRecord,
  ) {
    this.#context = context;
    this.#input = input;
    this.#service = service;
    this.#record = record;
    this.#isTrialRun = input.isTrialRun;
  }

  /** Whether the request is placed where a crash harms the fewest others. */
  get isSuspect(): boolean {
    if (this.#hasEarlyRelayLoss) return true;
    const { hasSuspects, revision } = this.#tracker;
    if (!hasSuspects) return false;
    if (this.#suspicion?.revision !== revision) {
      this.#suspicion = { revision, isSuspect: this.#blame !== undefined };
    }
    return this.#suspicion.isSuspect;
  }

  /** Whether this VM, or the one that relayed the request, holds the permission for its trial run. */
  get isTrialRun(): boolean {
    return this.#isTrialRun;
  }

  /** Decides whether the request may be placed now. */
  async checkMayRun(): Promise<SuspectVerdict> {
    const blame = this.#blame;
    if (!blame) return { type: "runs", hasLeave: this.#isTrialRun };
    const { metrics } = this.#context;
    this.#record.noteBlame(blame, this.#traits);
    const leftMs = this.#input.deadlineMonoMs - this.#context.clock.monoMs();
    const verdict = await this.#tracker
      .decide(this.#traits, this.#isTrialRun, leftMs * TRIAL_WAIT_SHARE);
    if (verdict.type === "runs") {
      this.#isTrialRun = verdict.hasLeave;
      this.#trialOf ??= verdict.trialOf;
    }
    const outcome = verdict.type === "runs" ? verdict.type : verdict.code;
    metrics.count(
      "suspects",
      `standing="${blame.status}",outcome="${outcome}"`,
    );
    return verdict;
  }

  /** Whether the request has to be refused by what became known while it waited for its place. */
  get isRejected(): boolean {
    return this.#blame?.status === "rejected";
  }

  /** Notes that a send begins. */
  noteSend(): void {
    this.#beganMonoMs = undefined;
    this.#clearedRevision = undefined;
  }

  /** Notes that a chunk of the answer arrived. A suspect that has run for long enough is cleared before its end. */
  noteChunk(nowMs: number): void {
    this.#beganMonoMs ??= nowMs;
    if (!this.#tracker.hasSuspects) return;
    if (hasSurvived(nowMs - this.#beganMonoMs)) this.#noteSurvived(nowMs);
  }

  /** Notes that the request was answered completely, by an upstream that still runs. */
  noteServed(): void {
    if (this.#tracker.hasSuspects) {
      this.#noteSurvived(this.#context.clock.monoMs());
    }
  }

  #noteSurvived(nowMs: number): void {
    if (this.#clearedRevision === this.#tracker.revision) return;
    this.#tracker.clear(this.#traits, nowMs - (this.#beganMonoMs ?? nowMs));
    this.#clearedRevision = this.#tracker.revision;
    this.#releaseTrial(false);
  }

  /** Ends the trial, if this request is one. */
  async close(): Promise<void> {
    if (this.#trialOf !== undefined) this.#releaseTrial(await this.#hasCrashed);
  }

  #releaseTrial(hasCrashed: boolean): void {
    if (this.#trialOf === undefined) return;
    this.#tracker.releaseTrial(this.#trialOf, hasCrashed);
    this.#trialOf = undefined;
  }

  /**
   * Notes that a send was lost. If the request may continue elsewhere, waits until it is known whether its upstream
   * crashed.
   */
  async noteLoss(send: Send, canContinue: boolean): Promise<void> {
    const { loss } = send;
    if (loss) {
      if (!loss.isGivenUp) this.#record.noteLoss(loss, this.#traits);
      const noted = this.#context.suspects
        .noteLoss(this.#traits, loss, this.#isTrialRun);
      this.#hasCrashed = noted.then((upstream) => upstream !== undefined);
      // A request that was given up because its time is short must not wait longer to learn the cause.
      if (canContinue && !loss.isGivenUp) {
        this.#record.crashedUpstream = await noted;
      }
    } else if (send instanceof RelaySend) {
      this.#hasEarlyRelayLoss ||= this.#mayBeCause;
      this.#hasCrashed = Promise.resolve(this.#hasEarlyRelayLoss);
    }
  }

  /** Notes that the VM that the request was relayed to reports a crashed upstream. */
  noteRemoteCrash(upstreamKey: string): void {
    this.#tracker.noteRemoteCrash(this.#traits, upstreamKey);
    this.#hasCrashed = Promise.resolve(true);
  }

  get #mayBeCause(): boolean {
    const nowMs = this.#context.clock.monoMs();
    return canBeCause(
      this.#beganMonoMs === undefined
        ? {}
        : { beganAgoMs: nowMs - this.#beganMonoMs },
    );
  }

  get #tracker(): SuspectTracker {
    return this.#context.suspects.tracker;
  }

  /** Why the request may not simply run; `undefined` if it may. */
  get #blame(): Blame | undefined {
    if (!this.#tracker.hasSuspects) return undefined;
    const blame = this.#tracker.blame(this.#traits);
    return blame.status === "clear" ? undefined : blame;
  }

  /** Computed when it is first used: usually nothing is suspected, and no request is hashed. */
  get #traits(): Traits {
    const { head } = this.#input;
    this.#cachedTraits ??= traitsOf(
      requestDigest({ ...head, body: this.body }),
      this.#service,
      head.promptParts.map(({ id }) => id),
    );
    return this.#cachedTraits;
  }
}
