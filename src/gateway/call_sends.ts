/**
 * Opens the sends of one request, to the upstream or region that a step names.
 *
 * @module
 */

import { addResumeHeader, forwardedHeaders } from "../platform/mod.ts";
import {
  answerTimeoutMs,
  isRepeatable,
  type ServiceConfig,
  type Step,
} from "../routing/mod.ts";
import { type CallInput, canMove } from "./call_input.ts";
import type { CallPlacement } from "./call_placement.ts";
import type { CallRecord } from "./call_record.ts";
import type { CallRetries } from "./call_retries.ts";
import type { GatewayContext } from "./context.ts";
import { RelaySend } from "./relay_send.ts";
import type { RunEvidence } from "./run_evidence.ts";
import type { OutboundRequest, Send } from "./send.ts";
import { UpstreamSend } from "./upstream_send.ts";
import type { LinkedCandidate, PromptShape } from "./upstream_link.ts";

/** The state of a request that its next send depends on. */
export interface SendState {
  readonly body: Buffer;
  /** The last event that the caller has, if its stream broke off and is resumed. */
  readonly lastEventId: string | undefined;
  readonly onStreamCheck: () => void;
  /** Whether upstreams crashed as the request began to run. */
  readonly isSuspect: boolean;
  /** Whether this VM, or the one that relayed the request, holds the permission for its trial run. */
  readonly isTrialRun: boolean;
}

/** Options of {@link CallSends}. */
export interface CallSendsOptions {
  readonly context: GatewayContext;
  readonly input: CallInput;
  readonly service: ServiceConfig;
  readonly placement: CallPlacement;
  readonly record: CallRecord;
  readonly retries: CallRetries;
  readonly evidence: RunEvidence;
}

/** Opens the sends of one request. */
export class CallSends {
  readonly #options: CallSendsOptions;
  readonly #prompt: PromptShape;
  readonly #headers: readonly string[];

  constructor(options: CallSendsOptions) {
    this.#options = options;
    const { head, request, config, caller } = options.input;
    this.#prompt = { parts: head.promptParts, tokens: head.promptTokens };
    this.#headers = forwardedHeaders(
      request.rawHeaders,
      config.workspaces.isKeyRequired
        ? { workspace: caller.workspace?.name }
        : undefined,
    );
  }

  /** Opens the send of a step; `undefined` if the chosen upstream or region is gone. */
  open(
    step: Step<LinkedCandidate> & { type: "send" | "relay" },
    state: SendState,
  ): Send | undefined {
    return this.#begin(() =>
      step.type === "send"
        ? this.#sendToUpstream(step.candidate, state)
        : this.#sendToRegion(step.region, state)
    );
  }

  /** Opens a send. It counts as begun before its first byte leaves, also if its opening throws. */
  #begin(openSend: () => Send | undefined): Send | undefined {
    const { evidence } = this.#options;
    evidence.noteSend();
    const send = openSend();
    if (!send) evidence.noteNotRun();
    return send;
  }

  /** Continues a stream that was stopped in order to move; `undefined` if its new engine is gone. */
  continueAt(
    candidate: LinkedCandidate,
    goesOnFrom: string,
    state: SendState,
  ): Send | undefined {
    // A run that goes on is no new request: breaking it off would cost its caller the stream.
    const { context, service } = this.#options;
    const isAdmitted = context.upstreams.tryAdmit(
      candidate,
      service,
      this.#prompt,
    );
    if (!this.#noteAdmission(candidate, isAdmitted)) return undefined;
    this.#options.record.moves++;
    const outbound = {
      ...this.#buildRequest(0, undefined, state),
      goesOnFrom,
      mustBeProven: true,
      urgency: 0,
    };
    return this.#begin(() => new UpstreamSend(context, outbound, candidate));
  }

  #noteAdmission(candidate: LinkedCandidate, isAdmitted: boolean): boolean {
    const { placement, record } = this.#options;
    // The lead would choose the upstream again if the news that the upstream is draining has not reached it yet.
    if (isAdmitted || candidate.grant) placement.noteTried(candidate);
    if (!isAdmitted) return false;
    record.place = candidate.key;
    return true;
  }

  #sendToUpstream(
    candidate: LinkedCandidate,
    state: SendState,
  ): Send | undefined {
    const { context, service, placement } = this.#options;
    const isAdmitted = context.upstreams.trySend(
      candidate,
      service,
      this.#prompt,
    );
    if (!this.#noteAdmission(candidate, isAdmitted)) return undefined;
    const fetchFrom = context.upstreams.pickFetchSource(
      candidate,
      service,
      this.#prompt,
      placement.isHomeRegion,
    );
    const promptTokens = service.engine ? candidate.unreadTokens : 0;
    const outbound = this.#buildRequest(promptTokens, fetchFrom, state);
    return new UpstreamSend(context, outbound, candidate);
  }

  #sendToRegion(region: string, state: SendState): Send | undefined {
    const { context, placement, record, input } = this.#options;
    placement.noteTriedRegion(region);
    const vm = context.relays.pickTarget(region, context.random);
    if (!vm) return undefined;
    record.place = vm.ip;
    const outbound = this.#buildRequest(0, undefined, state);
    return new RelaySend(context, outbound, vm, {
      configVersion: input.config.version,
      keyDigest: input.head.keyDigest,
      isTrialRun: state.isTrialRun,
      version: placement.version,
      // Limited to one: if this VM gives the relayed request up, it can't tell how many upstreams received it, and may
      // send it again itself.
      mostUpstreams: 1,
    });
  }

  #buildRequest(
    promptTokens: number,
    fetchFrom: string | undefined,
    { body, lastEventId, onStreamCheck, isSuspect }: SendState,
  ): OutboundRequest {
    const { input, service, placement, record } = this.#options;
    const { head, request, route, deadlineMonoMs } = input;
    return {
      method: request.method ?? "GET",
      target: head.target,
      attemptId: head.attemptId,
      headers: lastEventId === undefined
        ? this.#headers
        : addResumeHeader(this.#headers, lastEventId),
      body,
      deadlineMonoMs,
      promptTokens,
      parts: this.#prompt.parts,
      fetchFrom,
      goesOnFrom: undefined,
      urgency: service.engine && placement.urgency(promptTokens),
      onStreamCheck: canMove(input, service) ? onStreamCheck : undefined,
      eventGapMs: route.eventGapMs,
      // A request that may have crashed an upstream must not run at a second one while the outcome of its first run is
      // unknown.
      answerTimeoutMs: record.tries === 0 && !isSuspect
        ? answerTimeoutMs(route)
        : Infinity,
      mayRepeat: isRepeatable(route),
      isSuspect,
      mustBeProven: placement.version !== undefined,
      hasAlternative: () => this.#hasAlternative(),
    };
  }

  /**
   * Whether giving up on a missing answer gains anything: there must be a free place, and a retry left in the budget.
   */
  #hasAlternative(): boolean {
    const { placement, retries } = this.#options;
    return retries.isBudgetLeft &&
      (placement.nextLocally().type === "relay" || placement.hasRoomHere());
  }
}
