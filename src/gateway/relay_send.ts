/**
 * A send to a VM of another region, which sends the request to an upstream there.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { decodeAnswer } from "../platform/mod.ts";
import type { GatewayContext } from "./context.ts";
import { Exchange, type ExchangeFailure } from "./exchange.ts";
import type { RelayTarget } from "./relays.ts";
import { decodePeerFailure, RELAY_HEADERS } from "./reply.ts";
import { type Answered, Send, type Sendable, type Unanswered } from "./send.ts";

/** A connection to another region, 80 ms away each way. */
const RELAY_CONNECT_WAIT_MS = 500;

/** What a VM of another region is told besides. */
export interface RelayTerms {
  readonly configVersion: number;
  readonly mostUpstreams: number;
  /** Tells which workspace calls; the other VM looks it up in its own configuration. */
  readonly keyDigest: string | undefined;
  /** Whether the request has the leave to run once more. */
  readonly isOnTrial: boolean;
}

/** A send to a VM of another region. */
export class RelaySend extends Send {
  protected readonly exchange: Exchange;
  readonly #vm: RelayTarget;

  constructor(
    context: GatewayContext,
    sendable: Sendable,
    vm: RelayTarget,
    terms: RelayTerms,
  ) {
    super(context, sendable);
    this.#vm = vm;
    const leftMs = sendable.deadlineMonoMs - context.clock.monoMs();
    this.exchange = new Exchange({
      agent: context.relays.agent(vm.ip),
      host: vm.ip,
      port: context.relays.port,
      method: sendable.method,
      target: sendable.target,
      headers: [
        ...sendable.headers,
        RELAY_HEADERS.waitMs,
        String(Math.floor(leftMs)),
        RELAY_HEADERS.configVersion,
        String(terms.configVersion),
        RELAY_HEADERS.mostUpstreams,
        String(terms.mostUpstreams),
        ...(terms.keyDigest === undefined
          ? []
          : [RELAY_HEADERS.keyDigest, terms.keyDigest]),
        ...(terms.isOnTrial ? [RELAY_HEADERS.onTrial, "1"] : []),
      ],
      body: sendable.body,
      connectWaitMs: RELAY_CONNECT_WAIT_MS,
    });
  }

  /** The region that the request is handed to. */
  get region(): string {
    return this.#vm.region;
  }

  noteChunk(): void {}

  noteBroken(): void {}

  close(): void {}

  protected override lost(cause: ExchangeFailure): Unanswered {
    if (!cause.sent) {
      this.context.relays.noteLost(this.#vm.ip);
    }
    return super.lost(cause);
  }

  protected read(answer: IncomingMessage): Answered | Unanswered {
    const refused = decodePeerFailure(answer.headers);
    if (!refused) {
      const read = decodeAnswer(answer, this.sendable.attemptId);
      return { type: "answered", answer, read };
    }
    answer.resume();
    const mayHaveRun = refused.failure.ran !== "no";
    return {
      type: "unanswered",
      reached: true,
      mayHaveRun,
      arrived: mayHaveRun,
      arrivals: refused.arrivals,
      endedUpstream: refused.endedUpstream,
      reason: `${this.#vm.ip} answered ${refused.failure.code}`,
      failure: refused.failure,
      comeBackMs: refused.comeBackMs,
    };
  }
}
