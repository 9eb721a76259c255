/**
 * How one request stands: whether upstreams ended under it, in this attempt or before, and whether it may run.
 *
 * @module
 */

import {
  canBeCause,
  hasSurvived,
  requestDigest,
  type SuspectStatus,
  type SuspectTracker,
  type SuspectVerdict,
} from "../suspects/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { RelaySend } from "./relay_send.ts";
import type { Send } from "./send.ts";

/** See the module. */
export class CallSuspicion {
  /** Read whole before anything is asked here. */
  body: Buffer = Buffer.alloc(0);
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #record: CallRecord;
  #cachedDigest: string | undefined;
  #isTrialRun: boolean;
  /** Whether a hand-over broke off at the request's begin: the other VM has no way left to say why. */
  #hasEarlyRelayLoss = false;
  #beganMonoMs: number | undefined;

  constructor(context: GatewayContext, input: CallInput, record: CallRecord) {
    this.#context = context;
    this.#input = input;
    this.#record = record;
    this.#isTrialRun = input.isTrialRun;
  }

  /** Whether it is placed where an end harms least. */
  get isSuspect(): boolean {
    return this.#hasEarlyRelayLoss || this.#standing !== "clear";
  }

  /** Whether this VM, or the one that handed it over, has the leave to run it although it is on trial. */
  get isTrialRun(): boolean {
    return this.#isTrialRun;
  }

  /** Whether it may be placed now. */
  async checkMayRun(): Promise<SuspectVerdict> {
    const standing = this.#standing;
    if (standing === "clear") {
      return { type: "runs", hasLeave: this.#isTrialRun };
    }
    const { metrics } = this.#context;
    const ends = this.#keeper.crashedUpstreams(this.#digest);
    this.#record.noteSuspect(standing, this.#digest, ends);
    const verdict = await this.#keeper.decide(this.#digest, this.#isTrialRun);
    if (verdict.type === "runs") this.#isTrialRun = verdict.hasLeave;
    const outcome = verdict.type === "runs" ? verdict.type : verdict.code;
    metrics.count("suspects", `standing="${standing}",outcome="${outcome}"`);
    return verdict;
  }

  /** A send begins. */
  noteSend(): void {
    this.#beganMonoMs = undefined;
  }

  /** Bytes of an answer came: a suspect that runs on is cleared before its end. */
  noteChunk(): void {
    const nowMs = this.#context.clock.monoMs();
    this.#beganMonoMs ??= nowMs;
    if (!this.#keeper.hasSuspects) return;
    if (hasSurvived(nowMs - this.#beganMonoMs)) {
      this.#keeper.clear(this.#digest);
    }
  }

  /** It was answered whole, by an upstream that is still there. */
  noteServed(): void {
    if (this.#keeper.hasSuspects) this.#keeper.clear(this.#digest);
  }

  /** A send was lost. Waits until it is known whether its upstream ended, where the request may go on elsewhere. */
  async noteLoss(send: Send, mayGoOn: boolean): Promise<void> {
    const { loss } = send;
    if (loss) {
      if (!loss.isGivenUp) this.#record.noteLoss(loss, this.#digest);
      const noted = this.#context.suspects.noteLoss(this.#digest, loss);
      // What was given up for want of time must not wait longer to learn why.
      if (mayGoOn && !loss.isGivenUp) this.#record.endedUpstream = await noted;
    } else if (send instanceof RelaySend) {
      this.#hasEarlyRelayLoss ||= this.#mayBeCause;
    }
  }

  /** The VM that the request was handed to says that an upstream ended under it. */
  noteEndElsewhere(upstreamKey: string): void {
    this.#keeper.noteRemoteCrash(this.#digest, upstreamKey);
  }

  get #mayBeCause(): boolean {
    const nowMs = this.#context.clock.monoMs();
    return canBeCause(
      this.#beganMonoMs === undefined
        ? {}
        : { beganAgoMs: nowMs - this.#beganMonoMs },
    );
  }

  get #keeper(): SuspectTracker {
    return this.#context.suspects.keeper;
  }

  get #standing(): SuspectStatus {
    return this.#keeper.hasSuspects
      ? this.#keeper.statusOf(this.#digest)
      : "clear";
  }

  /** Hashed when it is first asked for: usually nobody is suspected, and no request is. */
  get #digest(): string {
    this.#cachedDigest ??= requestDigest({
      ...this.#input.head,
      body: this.body,
    });
    return this.#cachedDigest;
  }
}
