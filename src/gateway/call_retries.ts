/**
 * Whether one request may be sent once more, to another upstream or region.
 *
 * @module
 */

import { canRetry, isRepeatable } from "../routing/mod.ts";
import type { CallAnswer } from "./call_answer.ts";
import type { CallInput } from "./call_input.ts";
import type { CallPlacement } from "./call_placement.ts";
import type { BudgetAnswer, CallRecord, RetryWay } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { RelaySend } from "./relay_send.ts";
import type { Reply } from "./reply.ts";
import type { Send, Unanswered } from "./send.ts";

/** Maximum sends of one request, failed connects included. A failed connect to an upstream costs up to 250 ms. */
const MAX_TRIES = 4;

/** Options of {@link CallRetries}. */
export interface CallRetriesOptions {
  readonly context: GatewayContext;
  readonly input: CallInput;
  /** Name of the service that runs the request. */
  readonly service: string;
  readonly placement: CallPlacement;
  readonly record: CallRecord;
  readonly reply: Reply;
}

/** Decides on the retries of one request, and takes them from the service's budget. */
export class CallRetries {
  readonly #options: CallRetriesOptions;

  constructor(options: CallRetriesOptions) {
    this.#options = options;
  }

  /** Whether the budget has a retry left. */
  get isBudgetLeft(): boolean {
    return this.#askBudget().left >= 1;
  }

  /** Takes one more send, for `reason`. Returns whether it is allowed. */
  take(way: RetryWay, mayHaveRun: boolean, reason: string): boolean {
    const { input, record, reply, placement } = this.#options;
    const isAllowed = record.tries < MAX_TRIES && canRetry({
      isRepeatable: isRepeatable(input.route),
      mayHaveRun,
      sends: record.sends,
      mostUpstreams: input.mostUpstreams,
    });
    if (!isAllowed) return false;
    if (reply.hasBody && !placement.keepVersion()) return false;
    return this.#takeFromBudget(way, reason);
  }

  /** Takes a send that continues an answer which broke off, or begins anew one of which nothing was sent. */
  takeAfterBreak(answer: CallAnswer, reason: string): boolean {
    const { input, reply } = this.#options;
    if (answer.continuable && !input.relayed) {
      return this.take("resumption", true, reason);
    }
    if (reply.hasStarted || !this.take("lost", true, reason)) return false;
    answer.restart();
    return true;
  }

  /** Takes the arrival of a running stream at one more engine. Returns whether it is allowed. */
  takeMove(): boolean {
    return this.#takeFromBudget("move", "its engine has too much to read");
  }

  #takeFromBudget(way: RetryWay, reason: string): boolean {
    const { context, record } = this.#options;
    const answer = this.#askBudget();
    const isAllowed = !answer.isCounted ||
      this.#budget.tryTake(context.clock.monoMs(), answer.sharers);
    if (isAllowed) record.noteRetry(reason, way, answer);
    else record.noteRetryRefused(way, answer);
    return isAllowed;
  }

  get #budget() {
    const { context, service } = this.#options;
    return context.retryBudget(service);
  }

  /**
   * What the budget says. Until an upstream has received the request, another send is the first to arrive and takes
   * nothing.
   */
  #askBudget(): BudgetAnswer {
    const { context: { clock, members }, record } = this.#options;
    const sharers = members.sharerCount();
    const left = this.#budget.left(clock.monoMs(), sharers);
    return { isCounted: record.arrivals > 0, left, sharers };
  }
}

/** How a request goes on whose send got no answer. */
export function retryWayOf(send: Send, { mayHaveRun }: Unanswered): RetryWay {
  if (send instanceof RelaySend) return "relayFailed";
  return mayHaveRun ? "lost" : "refused";
}
