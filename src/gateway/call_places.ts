/**
 * Where one request may go: what was tried, and what is decided on for its next step.
 *
 * @module
 */

import {
  endGapMs,
  hasRoom,
  type PlaceTerms,
  type ServiceRow,
  type Step,
  urgencyRank,
} from "../routing/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import { quotaUnits } from "../workspaces/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { isHomeOf, type PlaceAsk } from "./place_here.ts";
import type { Placed } from "./placing.ts";
import type { CountedBy } from "./quotas.ts";
import type { LinkedCandidate } from "./upstream_link.ts";

/** What a request uses of its workspace's limit. */
function useOf({ caller, head }: CallInput): QuotaUse | undefined {
  const { workspace } = caller;
  if (!workspace?.quota) return undefined;
  const tokens = head.promptTokens + head.outputTokens;
  return {
    workspace: workspace.name,
    units: quotaUnits(workspace.quota, tokens),
  };
}

/** See the module. */
export class CallPlaces {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: ServiceRow;
  readonly #record: CallRecord;
  /** Whether upstreams ended as the request began to run. */
  isSuspect = false;
  #ask: PlaceAsk;
  #counted: { readonly use: QuotaUse; readonly by: CountedBy } | undefined;
  readonly #tried = new Set<string>();
  readonly #triedRegions = new Set<string>();

  constructor(
    context: GatewayContext,
    input: CallInput,
    service: ServiceRow,
    arrivedMs: number,
    record: CallRecord,
  ) {
    this.#context = context;
    this.#input = input;
    this.#service = service;
    this.#record = record;
    const { route, head, config, caller, deadlineMonoMs, relayed } = input;
    const { engine } = service;
    this.#ask = {
      service,
      config,
      prompt: { parts: head.promptParts, tokens: head.promptTokens },
      objectiveMs: route.objectiveMs,
      eventGapMs: route.eventGapMs,
      endGapMs: engine
        ? endGapMs(route.timeoutMs, head.outputTokens / engine.tokensPerEvent)
        : Infinity,
      arrivedMs,
      deadlineMs: deadlineMonoMs,
      tried: this.#tried,
      triedRegions: this.#triedRegions,
      homeRegions: caller.homeRegions,
      isRelayed: relayed,
      isSuspect: false,
      quota: relayed ? undefined : useOf(input),
    };
  }

  /** Notes that the request is sent to an upstream, which gets it no second time. */
  noteTried({ key }: LinkedCandidate): void {
    this.#tried.add(key);
  }

  /** Notes that the request is handed to a region. */
  noteTriedRegion(region: string): void {
    this.#triedRegions.add(region);
  }

  /** The region did not get it. */
  forgetTriedRegion(region: string): void {
    this.#triedRegions.delete(region);
  }

  /** What to do next with the request. Its use of its workspace's limit is counted with its first send. */
  async place(): Promise<Placed> {
    this.#ask = { ...this.#ask, isSuspect: this.isSuspect };
    const placed = await this.#context.placing.place(this.#ask);
    const { quota: use } = this.#ask;
    if (placed.countedBy && use) {
      this.#record.noteQuota(use, placed.countedBy);
      if (placed.step.type === "refuse") return placed;
      this.#counted = { use, by: placed.countedBy };
      this.#ask = { ...this.#ask, quota: undefined };
    }
    return placed;
  }

  /** The request has not run and never will: it uses nothing of the limit. */
  giveBackUse(): void {
    if (!this.#counted) return;
    this.#context.quotas.giveBack(this.#counted.use, this.#counted.by);
    this.#counted = undefined;
  }

  /** The same as far as this VM knows by itself, without doing it. */
  next(): Step<LinkedCandidate> {
    return this.#context.placing.here(this.#ask);
  }

  #terms(): PlaceTerms {
    return {
      ...this.#ask,
      pace: this.#context.upstreams.pace(this.#service),
    };
  }

  /** In which order an engine should admit the request, of whose prompt it has to read so much. */
  urgency(promptTokens: number): number {
    const { clock, upstreams } = this.#context;
    return urgencyRank({
      waitedMs: clock.monoMs() - this.#ask.arrivedMs,
      objectiveMs: this.#input.route.objectiveMs,
      readMs: upstreams.pace(this.#service).readMs(promptTokens),
    });
  }

  /** Whether a region may serve, cache and hold the request. */
  readonly isHome = (region: string): boolean => isHomeOf(this.#ask, region);

  /**
   * Whether an upstream of this region has room for one more try. An upstream's own failure is passed on otherwise: a
   * caller that comes back with a new attempt is served sooner than by a hand-over, and the answer is true.
   */
  hasOtherHere(): boolean {
    const step = this.next();
    return step.type === "send" &&
      hasRoom(step.candidate, this.#terms());
  }

  /** The other upstreams of this region, for a stream that runs at one. */
  othersThan(candidate: LinkedCandidate): LinkedCandidate[] {
    return this.#context.upstreams.candidates(this.#service).filter(({ key }) =>
      key !== candidate.key
    );
  }
}
