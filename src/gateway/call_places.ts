/**
 * Where one request may go: what was tried, and what is decided on for its next step.
 *
 * @module
 */

import {
  affinityOf,
  endGapMs,
  hasRoom,
  nextStep,
  type PlaceTerms,
  type RegionRoom,
  type ServiceRow,
  type Step,
  urgencyRank,
} from "../routing/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { GatewayContext } from "./context.ts";
import type { LinkedCandidate, PromptShape } from "./upstreams.ts";

/** See the module. */
export class CallPlaces {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #service: ServiceRow;
  readonly #prompt: PromptShape;
  readonly #arrivedMs: number;
  /** Keys of upstreams that the request was sent to. */
  readonly #tried = new Set<string>();
  readonly #triedRegions = new Set<string>();

  constructor(
    context: GatewayContext,
    input: CallInput,
    service: ServiceRow,
    arrivedMs: number,
  ) {
    this.#context = context;
    this.#input = input;
    this.#service = service;
    this.#arrivedMs = arrivedMs;
    const { promptParts, promptTokens } = input.head;
    this.#prompt = { parts: promptParts, tokens: promptTokens };
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

  /** What to do next with the request. */
  next(): Step<LinkedCandidate> {
    const { clock, upstreams, random, settings } = this.#context;
    const { head, relayed, deadlineMonoMs } = this.#input;
    const { region } = settings.vm;
    const isHome = this.isHome;
    return nextStep({
      nowMs: clock.monoMs(),
      arrivedMs: this.#arrivedMs,
      deadlineMs: deadlineMonoMs,
      terms: this.#terms(),
      candidates: isHome(region)
        ? upstreams.candidates(this.#service, this.#prompt).filter(({ key }) =>
          !this.#tried.has(key)
        )
        : [],
      regions: relayed ? [] : this.#regions(),
      affinity: affinityOf(head.promptParts),
      draw: random.next(),
    });
  }

  #terms(): PlaceTerms {
    const { route, head } = this.#input;
    const { engine } = this.#service;
    return {
      pace: this.#context.upstreams.pace(this.#service),
      objectiveMs: route.objectiveMs,
      eventGapMs: route.eventGapMs,
      endGapMs: engine
        ? endGapMs(route.timeoutMs, head.outputTokens / engine.tokensPerEvent)
        : Infinity,
    };
  }

  /** In which order an engine should admit the request, of whose prompt it has to read so much. */
  urgency(promptTokens: number): number {
    const { clock, upstreams } = this.#context;
    return urgencyRank({
      waitedMs: clock.monoMs() - this.#arrivedMs,
      objectiveMs: this.#input.route.objectiveMs,
      readMs: upstreams.pace(this.#service).readMs(promptTokens),
    });
  }

  /** Whether a region may serve, cache and hold the request. */
  readonly isHome = (region: string): boolean => {
    const { homeRegions } = this.#input.route;
    return homeRegions.length === 0 || homeRegions.includes(region);
  };

  #regions(): RegionRoom[] {
    const { route, config } = this.#input;
    const { name } = this.#service;
    const isFree = route.homeRegions.length === 0;
    return this.#context.relays.regions(
      name,
      (region) => this.isHome(region) && !this.#triedRegions.has(region),
      (region) => isFree && config.isHomeOf(name, region),
    );
  }

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
