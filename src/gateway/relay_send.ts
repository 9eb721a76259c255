/**
 * A send to a VM of another region, which sends the request to an upstream there.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Failure } from "../base/mod.ts";
import { decodeAnswer, findAnswerFault } from "../platform/mod.ts";
import type { GatewayContext } from "./context.ts";
import { discardBody } from "./discard.ts";
import { Exchange, type ExchangeFailure } from "./exchange.ts";
import { encodeRelayTarget } from "./relay_target.ts";
import type { ProcessVerdict } from "./process_proof.ts";
import type { RelayTarget } from "./relays.ts";
import {
  decodePeerFailure,
  decodeVersion,
  encodeVersion,
  RELAY_HEADERS,
} from "./reply.ts";
import {
  type Answered,
  type OutboundRequest,
  Send,
  type Unanswered,
} from "./send.ts";

/** Time for a connection to another region, which is 80 ms away each way. */
const RELAY_CONNECT_TIMEOUT_MS = 500;

/** Whether a VM refused a request as it is draining; another VM of its region may take it. */
export function isRefusedByStop({ code, ran }: Failure): boolean {
  return code === "draining" && ran === "no";
}

/** What is sent to the VM of the other region besides the request. */
export interface RelaySendOptions {
  readonly configVersion: number;
  readonly mostUpstreams: number;
  /** Identifies the calling workspace; the other VM looks it up in its own configuration. */
  readonly keyDigest: string | undefined;
  /** Whether the sender holds the permission for the request's trial run. */
  readonly isTrialRun: boolean;
  /** The only version of an upstream's software that may run the request; `undefined` if any may. */
  readonly version: string | undefined;
}

/** A send to a VM of another region. */
export class RelaySend extends Send {
  protected readonly exchange: Exchange;
  readonly #target: RelayTarget;
  readonly #options: RelaySendOptions;
  #version: string | undefined;
  #isProcessOpen = false;

  constructor(
    context: GatewayContext,
    outbound: OutboundRequest,
    target: RelayTarget,
    options: RelaySendOptions,
  ) {
    super(context, outbound);
    this.#target = target;
    this.#options = options;
    const leftMs = outbound.deadlineMonoMs - context.clock.monoMs();
    this.exchange = new Exchange({
      agent: context.relays.agent(target.ip),
      host: target.ip,
      port: context.relays.port,
      method: outbound.method,
      target: encodeRelayTarget(outbound.target),
      headers: [
        ...outbound.headers,
        RELAY_HEADERS.waitMs,
        String(Math.floor(leftMs)),
        RELAY_HEADERS.configVersion,
        String(options.configVersion),
        RELAY_HEADERS.mostUpstreams,
        String(options.mostUpstreams),
        ...(options.keyDigest === undefined
          ? []
          : [RELAY_HEADERS.keyDigest, options.keyDigest]),
        ...(options.isTrialRun ? [RELAY_HEADERS.onTrial, "1"] : []),
        ...encodeVersion(options.version),
      ],
      body: outbound.body,
      connectTimeoutMs: RELAY_CONNECT_TIMEOUT_MS,
    });
  }

  /** The region that the request is relayed to. */
  get region(): string {
    return this.#target.region;
  }

  override get version(): string | undefined {
    return this.#version;
  }

  override get process(): ProcessVerdict | undefined {
    return this.#isProcessOpen ? undefined : "unknown";
  }

  override findProcess(): ProcessVerdict | Promise<ProcessVerdict> {
    return this.process ?? this.#askOther();
  }

  /** Asks the other VM, which had to answer before it knew. */
  async #askOther(): Promise<ProcessVerdict> {
    const { origins, metrics } = this.context;
    const { attemptId } = this.outbound;
    const answer = await origins.askRelay(this.#target.ip, attemptId);
    const isKnown = answer.type === "known" && answer.version === this.#version;
    const verdict = isKnown ? "confirmed" : "unproven";
    metrics.count("upstream_processes", `outcome="${verdict}",for="relay"`);
    return verdict;
  }

  noteChunk(): void {}

  noteBroken(): void {}

  close(): void {}

  protected override handleFailure(cause: ExchangeFailure): Unanswered {
    if (!cause.sent) {
      this.context.relays.avoid(this.#target.ip);
    }
    return super.handleFailure(cause);
  }

  /** Gives up an answer of another version than the required one, or of a VM that does not tell the version. */
  #refuseVersion(): Unanswered {
    const reason = `${this.#target.ip} answered from version ${this.#version}`;
    this.cancel(reason);
    return this.handleFailure({ sent: true, reason });
  }

  protected checkAnswer(answer: IncomingMessage): Answered | Unanswered {
    const peerFailure = decodePeerFailure(answer.headers);
    if (!peerFailure) {
      const decoded = decodeAnswer(answer, this.outbound.attemptId);
      // A VM passes on no refusal of an upstream; it answers by a failure of its own.
      const fault = findAnswerFault({ ...decoded, notRun: false });
      if (fault) return this.rejectAnswer(fault, decoded);
      this.#version = decodeVersion(answer.headers);
      this.#isProcessOpen = answer.headers[RELAY_HEADERS.openProcess] !==
        undefined;
      const { version } = this.#options;
      if (version !== undefined && this.#version !== version) {
        return this.#refuseVersion();
      }
      return { type: "answered", answer, decoded };
    }
    discardBody(answer, this.context);
    if (isRefusedByStop(peerFailure.failure)) {
      this.context.relays.avoid(this.#target.ip);
    }
    const mayHaveRun = peerFailure.failure.ran !== "no";
    return {
      type: "unanswered",
      wasSent: true,
      mayHaveRun,
      wasAccepted: mayHaveRun,
      arrivals: peerFailure.arrivals,
      crashedUpstream: peerFailure.crashedUpstream,
      reason: `${this.#target.ip} answered ${peerFailure.failure.code}`,
      failure: peerFailure.failure,
      comeBackMs: peerFailure.comeBackMs,
    };
  }
}
