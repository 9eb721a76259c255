/**
 * One query of a VM to its region's lead, from the question to the lead's final verdict.
 *
 * While the lead queues the request, its place there is renewed at intervals, for all queries of the VM in one message:
 * that shows whether the lead is still there, and brings a grant whose message was lost.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import { waitForNextPoll } from "./next_poll.ts";
import type { PlacementVerdict } from "./placement_wire.ts";

/**
 * A lead answers in about 1 ms; the timeout is a tenth of the shortest latency objectives. An answer that has arrived
 * by then counts, even if this VM was too busy to read it in time.
 */
const ANSWER_TIMEOUT_MS = 50;
/** Renewals without an answer after which the lead counts as lost: the worst links lose one datagram in forty. */
const MAX_UNANSWERED = 2;

/** Options of {@link LeadQuery}. */
export interface LeadQueryOptions {
  readonly clock: Clock;
  /** Sends the question, as the request stands now. */
  readonly send: () => void;
  /** Tells the lead that nobody waits for an answer any more. */
  readonly withdraw: () => void;
  /** Whether the lead that was asked is still the one to ask. */
  readonly isCurrent: () => boolean;
  /** Called once, if the lead queues the request. */
  readonly onQueued: () => void;
  /** Called once at the end; without a verdict if the lead did not answer. */
  readonly onEnd: (
    verdict: PlacementVerdict | undefined,
    end: "answered" | "unanswered" | "left",
  ) => void;
}

/** Asks a lead where to send a request, and waits while the request is queued there. */
export class LeadQuery {
  readonly #options: LeadQueryOptions;
  readonly #timer: Timer;
  #isQueued = false;
  #isOver = false;
  #unanswered = 0;

  constructor(options: LeadQueryOptions) {
    this.#options = options;
    this.#timer = options.clock.after(
      ANSWER_TIMEOUT_MS,
      () => void waitForNextPoll().then(() => this.#noteTimeout()),
    );
    options.send();
  }

  /** Handles an answer of the lead. */
  noteAnswer(verdict: PlacementVerdict): void {
    if (this.#isOver) return;
    if (verdict.type !== "queued") return this.#end(verdict, "answered");
    this.#unanswered = 0;
    if (this.#isQueued) return;
    this.#isQueued = true;
    this.#timer.close();
    this.#options.onQueued();
  }

  /** Notes that the lead still queues the request. */
  noteRenewed(): void {
    this.#unanswered = 0;
  }

  /** Asks again, as the lead does not know the request any more. */
  askAgain(): void {
    if (this.#isOver) return;
    this.#unanswered = 0;
    this.#options.send();
  }

  /** Returns whether the place in the queue should be renewed now; otherwise the query ends. */
  takeRenewal(): boolean {
    if (this.#isOver) return false;
    if (this.#unanswered >= MAX_UNANSWERED) this.#end(undefined, "unanswered");
    else if (!this.#options.isCurrent()) this.leave();
    if (this.#isOver) return false;
    this.#unanswered++;
    return true;
  }

  /** Gives up the place in the queue, as the caller left or the lead changed. The request may ask again. */
  leave(): void {
    if (this.#isOver) return;
    this.#options.withdraw();
    this.#end({ type: "wait", waitMs: 0 }, "left");
  }

  #noteTimeout(): void {
    if (!this.#isQueued) this.#end(undefined, "unanswered");
  }

  #end(
    verdict: PlacementVerdict | undefined,
    end: "answered" | "unanswered" | "left",
  ): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#timer.close();
    this.#options.onEnd(verdict, end);
  }
}
