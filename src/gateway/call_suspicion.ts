/**
 * Whether one request is suspected of crashing upstreams, in this attempt or before, and whether it may run.
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
  type Traits,
  traitsOf,
} from "../suspects/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { RelaySend } from "./relay_send.ts";
import type { Send } from "./send.ts";

/** Decides whether one request may run, and reports how its runs end. */
export class CallSuspicion {
  /** The whole body; set before any other member is used. */
  body: Buffer = Buffer.alloc(0);
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: string;
  readonly #record: CallRecord;
  #cachedDigest: string | undefined;
  #isTrialRun: boolean;
  /** Whether a relayed send broke off as the request began to run: the other VM had no way left to report the cause. */
  #hasEarlyRelayLoss = false;
  #beganMonoMs: number | undefined;

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
    return this.#hasEarlyRelayLoss || this.#status !== "clear";
  }

  /** Whether this VM, or the one that relayed the request, holds the permission for its trial run. */
  get isTrialRun(): boolean {
    return this.#isTrialRun;
  }

  /** Decides whether the request may be placed now. */
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

  /** Notes that a send begins. */
  noteSend(): void {
    this.#beganMonoMs = undefined;
  }

  /** Notes that a chunk of the answer arrived. A suspect that has run for long enough is cleared before its end. */
  noteChunk(): void {
    const nowMs = this.#context.clock.monoMs();
    this.#beganMonoMs ??= nowMs;
    if (!this.#tracker.hasSuspects) return;
    if (hasSurvived(nowMs - this.#beganMonoMs)) {
      this.#tracker.clear(this.#digest);
    }
  }

  /** Notes that the request was answered completely, by an upstream that still runs. */
  noteServed(): void {
    if (this.#tracker.hasSuspects) this.#tracker.clear(this.#digest);
  }

  /**
   * Notes that a send was lost. If the request may continue elsewhere, waits until it is known whether its upstream
   * crashed.
   */
  async noteLoss(send: Send, canContinue: boolean): Promise<void> {
    const { loss } = send;
    if (loss) {
      if (!loss.isGivenUp) this.#record.noteLoss(loss, this.#traits);
      const noted = this.#context.suspects.noteLoss(this.#traits, loss);
      // A request that was given up because its time is short must not wait longer to learn the cause.
      if (canContinue && !loss.isGivenUp) {
        this.#record.crashedUpstream = await noted;
      }
    } else if (send instanceof RelaySend) {
      this.#hasEarlyRelayLoss ||= this.#mayBeCause;
    }
  }

  /** Notes that the VM that the request was relayed to reports a crashed upstream. */
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
    return this.#context.suspects.tracker;
  }

  get #status(): SuspectStatus {
    return this.#tracker.hasSuspects
      ? this.#tracker.statusOf(this.#digest)
      : "clear";
  }

  get #traits(): Traits {
    const { head } = this.#input;
    const partIds = head.promptParts.map(({ id }) => id);
    return traitsOf(this.#digest, this.#service, partIds);
  }

  /** Computed when it is first used: usually no request is suspected, and none is hashed. */
  get #digest(): string {
    this.#cachedDigest ??= requestDigest({
      ...this.#input.head,
      body: this.body,
    });
    return this.#cachedDigest;
  }
}
