/**
 * The sends of one request: to the upstream or region that a step names.
 *
 * @module
 */

import { forwardedHeaders, resumedAfter } from "../platform/mod.ts";
import {
  mayRepeat,
  patienceMs,
  type ServiceRow,
  type Step,
} from "../routing/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { CallPlaces } from "./call_places.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { RelaySend } from "./relay_send.ts";
import type { Send, Sendable } from "./send.ts";
import { UpstreamSend } from "./upstream_send.ts";
import type { LinkedCandidate, PromptShape } from "./upstream_link.ts";

/** What a send carries of the state of its request. */
export interface SendState {
  readonly body: Buffer;
  /** The last event that the caller has, if its stream broke and goes on. */
  readonly lastEventId: string | undefined;
  readonly onStreamCheck: () => void;
  /** Whether upstreams ended as the request began to run. */
  readonly isSuspect: boolean;
  /** Whether it has the leave to run once more. */
  readonly isOnTrial: boolean;
}

/** Options of {@link CallSends}. */
export interface CallSendsOptions {
  readonly context: GatewayContext;
  readonly input: CallInput;
  readonly service: ServiceRow;
  readonly places: CallPlaces;
  readonly record: CallRecord;
}

/** See the module. */
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
      config.workspaces.areRequired
        ? { workspace: caller.workspace?.name }
        : undefined,
    );
  }

  /** Sends, or finds that the place that was chosen is gone. */
  open(
    step: Step<LinkedCandidate> & { type: "send" | "relay" },
    state: SendState,
  ): Send | undefined {
    return step.type === "send"
      ? this.#toUpstream(step.candidate, state)
      : this.#toRegion(step.region, state);
  }

  /** A stream that was stopped in order to move goes on; `undefined` if its new engine is gone. */
  goOn(
    candidate: LinkedCandidate,
    goesOnFrom: string,
    state: SendState,
  ): Send | undefined {
    if (!this.#take(candidate)) return undefined;
    this.#options.record.moves++;
    const sendable = {
      ...this.#sendable(0, undefined, state),
      goesOnFrom,
      urgency: 0,
    };
    return new UpstreamSend(this.#options.context, sendable, candidate);
  }

  #take(candidate: LinkedCandidate): boolean {
    const { context, service, places, record } = this.#options;
    const isTaken = context.upstreams.take(candidate, service, this.#prompt);
    // A lead that has not heard that an upstream leaves would choose it again.
    if (isTaken || candidate.granted) places.noteTried(candidate);
    if (!isTaken) return false;
    record.place = candidate.key;
    return true;
  }

  #toUpstream(
    candidate: LinkedCandidate,
    state: SendState,
  ): Send | undefined {
    if (!this.#take(candidate)) return undefined;
    const { context, service, places } = this.#options;
    const fetchFrom = context.upstreams.fetchFrom(
      candidate,
      service,
      this.#prompt,
      places.isHome,
    );
    const promptTokens = service.engine ? candidate.unreadTokens : 0;
    const sendable = this.#sendable(promptTokens, fetchFrom, state);
    return new UpstreamSend(context, sendable, candidate);
  }

  #toRegion(region: string, state: SendState): Send | undefined {
    const { context, places, record, input } = this.#options;
    places.noteTriedRegion(region);
    const vm = context.relays.pick(region, context.random);
    if (!vm) return undefined;
    record.place = vm.ip;
    const sendable = this.#sendable(0, undefined, state);
    return new RelaySend(context, sendable, vm, {
      configVersion: input.config.version,
      keyDigest: input.head.keyDigest,
      isOnTrial: state.isOnTrial,
      // One, and no more: this VM cannot tell how many were used if it gives the hand-over up, and may send again itself.
      mostUpstreams: 1,
    });
  }

  #sendable(
    promptTokens: number,
    fetchFrom: string | undefined,
    { body, lastEventId, onStreamCheck, isSuspect }: SendState,
  ): Sendable {
    const { input, service, places, record } = this.#options;
    const { head, request, route, deadlineMonoMs } = input;
    return {
      method: request.method ?? "GET",
      target: head.target,
      attemptId: head.attemptId,
      headers: lastEventId === undefined
        ? this.#headers
        : resumedAfter(this.#headers, lastEventId),
      body,
      deadlineMonoMs,
      promptTokens,
      parts: this.#prompt.parts,
      fetchFrom,
      goesOnFrom: undefined,
      urgency: service.engine && places.urgency(promptTokens),
      onStreamCheck,
      eventGapMs: route.eventGapMs,
      // What may have ended an upstream must not run at a second one while its first run is unknown.
      patienceMs: record.tries === 0 && !isSuspect
        ? patienceMs(route)
        : Infinity,
      mayRepeat: mayRepeat(route),
      isSuspect,
      hasOther: () => this.#hasOther(),
    };
  }

  /** Whether giving up an answer that does not come gains anything: a place that is free, and a repeat that is left. */
  #hasOther(): boolean {
    const { context, service, places } = this.#options;
    const { clock, members } = context;
    return context.budget(service.name)
      .hasOne(clock.monoMs(), members.count()) &&
      (places.next().type === "relay" || places.hasOtherHere());
  }
}
