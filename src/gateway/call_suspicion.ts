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
    return this.#hasEarlyRelayLoss || this.#status !== "clear";
  }

  /** Whether this VM, or the one that handed it over, has the leave to run it although it is on trial. */
  get isTrialRun(): boolean {
    return this.#isTrialRun;
  }

  /** Whether it may be placed now. */
  async checkMayRun(): Promise<SuspectVerdict> {
    const status = this.#status;
    if (status === "clear") {
      return { type: "runs", hasLeave: this.#isTrialRun };
    }
    const { metrics } = this.#context;
    const crashes = this.#tracker.crashedUpstreams(this.#digest);
    this.#record.noteSuspect(status, this.#digest, crashes);
    const verdict = await this.#tracker.decide(this.#digest, this.#isTrialRun);
    if (verdict.type === "runs") this.#isTrialRun = verdict.hasLeave;
    const outcome = verdict.type === "runs" ? verdict.type : verdict.code;
    metrics.count("suspects", `standing="${status}",outcome="${outcome}"`);
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
    if (!this.#tracker.hasSuspects) return;
    if (hasSurvived(nowMs - this.#beganMonoMs)) {
      this.#tracker.clear(this.#digest);
    }
  }

  /** It was answered whole, by an upstream that is still there. */
  noteServed(): void {
    if (this.#tracker.hasSuspects) this.#tracker.clear(this.#digest);
  }

  /** A send was lost. Waits until it is known whether its upstream ended, where the request may go on elsewhere. */
  async noteLoss(send: Send, canContinue: boolean): Promise<void> {
    const { loss } = send;
    if (loss) {
      if (!loss.isGivenUp) this.#record.noteLoss(loss, this.#digest);
      const noted = this.#context.suspects.noteLoss(this.#digest, loss);
      // What was given up for want of time must not wait longer to learn why.
      if (canContinue && !loss.isGivenUp) {
        this.#record.crashedUpstream = await noted;
      }
    } else if (send instanceof RelaySend) {
      this.#hasEarlyRelayLoss ||= this.#mayBeCause;
    }
  }

  /** The VM that the request was handed to says that an upstream ended under it. */
  noteRemoteCrash(upstreamKey: string): void {
    this.#tracker.noteRemoteCrash(this.#digest, upstreamKey);
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
    return this.#context.suspects.keeper;
  }

  get #status(): SuspectStatus {
    return this.#tracker.hasSuspects
      ? this.#tracker.statusOf(this.#digest)
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
