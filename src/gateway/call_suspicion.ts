/**
 * How one request stands: whether upstreams ended under it, in this attempt or before, and whether it may run.
 *
 * @module
 */

import {
  hasSurvived,
  mayBeCause,
  requestDigest,
  type Standing,
  type SuspectKeeper,
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
  #digest: string | undefined;
  #hasLeave: boolean;
  /** Whether a hand-over broke off at the request's begin: the other VM has no way left to say why. */
  #isDoubtful = false;
  #beganMonoMs: number | undefined;

  constructor(context: GatewayContext, input: CallInput, record: CallRecord) {
    this.#context = context;
    this.#input = input;
    this.#record = record;
    this.#hasLeave = input.isOnTrial;
  }

  /** Whether it is placed where an end harms least. */
  get isSuspect(): boolean {
    return this.#isDoubtful || this.#standing !== "clear";
  }

  /** Whether this VM, or the one that handed it over, has the leave to run it although it is on trial. */
  get hasLeave(): boolean {
    return this.#hasLeave;
  }

  /** Whether it may be placed now. */
  async judge(): Promise<SuspectVerdict> {
    const standing = this.#standing;
    if (standing === "clear") return { type: "runs", hasLeave: this.#hasLeave };
    const { metrics } = this.#context;
    const ends = this.#keeper.ends(this.#named);
    this.#record.noteSuspect(standing, this.#named, ends);
    const verdict = await this.#keeper.judge(this.#named, this.#hasLeave);
    if (verdict.type === "runs") this.#hasLeave = verdict.hasLeave;
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
    if (hasSurvived(nowMs - this.#beganMonoMs)) this.#keeper.clear(this.#named);
  }

  /** It was answered whole, by an upstream that is still there. */
  noteServed(): void {
    if (this.#keeper.hasSuspects) this.#keeper.clear(this.#named);
  }

  /** A send was lost. Waits until it is known whether its upstream ended, where the request may go on elsewhere. */
  async noteLoss(send: Send, mayGoOn: boolean): Promise<void> {
    const { loss } = send;
    if (loss) {
      if (!loss.isGivenUp) this.#record.noteLoss(loss, this.#named);
      const noted = this.#context.suspects.noteLoss(this.#named, loss);
      // What was given up for want of time must not wait longer to learn why.
      if (mayGoOn && !loss.isGivenUp) this.#record.endedUpstream = await noted;
    } else if (send instanceof RelaySend) this.#isDoubtful ||= this.#isEarly;
  }

  /** The VM that the request was handed to says that an upstream ended under it. */
  noteEndElsewhere(upstreamKey: string): void {
    this.#keeper.noteEndElsewhere(this.#named, upstreamKey);
  }

  get #isEarly(): boolean {
    const nowMs = this.#context.clock.monoMs();
    return mayBeCause(
      this.#beganMonoMs === undefined
        ? {}
        : { beganAgoMs: nowMs - this.#beganMonoMs },
    );
  }

  get #keeper(): SuspectKeeper {
    return this.#context.suspects.keeper;
  }

  get #standing(): Standing {
    return this.#keeper.hasSuspects
      ? this.#keeper.standing(this.#named)
      : "clear";
  }

  /** Hashed when it is first asked for: usually nobody is suspected, and no request is. */
  get #named(): string {
    this.#digest ??= requestDigest({ ...this.#input.head, body: this.body });
    return this.#digest;
  }
}
