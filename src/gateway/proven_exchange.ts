/**
 * A request that must run at the very process that an upstream's entry describes.
 *
 * @module
 */

import { Agent, type IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import { err, type Result } from "neverthrow";
import type { Clock } from "../base/mod.ts";
import type { KnownUpstream } from "../routing/mod.ts";
import {
  Exchange,
  type ExchangeFailure,
  type ExchangeRequest,
  type PendingExchange,
} from "./exchange.ts";
import type { ProcessAnswer } from "./process_proof.ts";
import { ProcessQuestion } from "./process_question.ts";

/**
 * An agent that opens one connection and uses it for two requests. A connection belongs to one process: what the first
 * answer says of the process holds for the second request.
 */
class OneConnectionAgent extends Agent {
  #wasOpened = false;
  #wasKept = false;

  constructor() {
    super({ keepAlive: true, noDelay: true, maxSockets: 1 });
  }

  override createConnection(
    ...[options, callback]: Parameters<Agent["createConnection"]>
  ): ReturnType<Agent["createConnection"]> {
    if (!this.#wasOpened) {
      this.#wasOpened = true;
      return super.createConnection(options, callback);
    }
    callback?.(new Error("the connection has closed"), undefined as never);
    return undefined;
  }

  /** Called by Node when a request ends; `false` closes the connection. */
  override keepSocketAlive(socket: Duplex): void {
    const isKept = !this.#wasKept && socket.readableLength === 0 &&
      (super.keepSocketAlive(socket) as unknown as boolean);
    this.#wasKept = true;
    return isKept as unknown as void;
  }
}

/** Options of {@link ProvenExchange}. */
export interface ProvenExchangeOptions {
  readonly upstream: KnownUpstream;
  readonly clock: Clock;
  /** Makes the request when it is about to be sent. */
  readonly makeRequest: () => Omit<ExchangeRequest, "agent">;
  /** Called with the answer of the process. */
  readonly onAnswer: (answer: ProcessAnswer) => void;
}

/**
 * Asks the process on a new connection when it was started, and sends the request on this connection if that is what the
 * entry says, or if the upstream does not tell. Otherwise the request is not sent.
 */
export class ProvenExchange implements PendingExchange {
  readonly head: Promise<Result<IncomingMessage, ExchangeFailure>>;
  readonly #options: ProvenExchangeOptions;
  readonly #agent = new OneConnectionAgent();
  readonly #question: ProcessQuestion;
  #exchange: Exchange | undefined;
  #cancelReason: string | undefined;

  constructor(options: ProvenExchangeOptions) {
    this.#options = options;
    const { upstream, clock } = options;
    this.#question = new ProcessQuestion(this.#agent, upstream, clock);
    this.head = this.#run();
  }

  get connection(): number | undefined {
    return this.#exchange?.connection;
  }

  get hasWholeAnswer(): boolean {
    return this.#exchange?.hasWholeAnswer ?? false;
  }

  cancel(reason: string): void {
    this.#cancelReason ??= reason;
    this.#question.cancel(reason);
    this.#exchange?.cancel(reason);
  }

  async #run(): Promise<Result<IncomingMessage, ExchangeFailure>> {
    const verdict = await this.#question.verdict;
    const { lastBefore } = this.#question;
    this.#options.onAnswer({ verdict, lastBefore });
    const reason = this.#cancelReason ?? whyNotSent(verdict);
    if (reason !== undefined) {
      this.#agent.destroy();
      const { failure } = this.#question;
      return err({
        sent: false,
        reason,
        isRefused: failure?.isRefused ?? false,
        isWithheld: !failure || this.#cancelReason !== undefined,
      });
    }
    this.#exchange = new Exchange({
      ...this.#options.makeRequest(),
      agent: this.#agent,
    });
    return await this.#exchange.head;
  }
}

function whyNotSent(
  verdict: ProcessAnswer["verdict"],
): string | undefined {
  if (verdict === "replaced") return "another process has its address";
  if (verdict === "unproven") return "it did not say which process it is";
  return undefined;
}
