/**
 * Decides from this VM's own state where a request goes next: for its own requests or, as the region's lead, for
 * another VM's.
 *
 * @module
 */

import type { Clock, Random } from "../base/mod.ts";
import {
  type Affinity,
  affinityOf,
  type GatewayConfig,
  nextStep,
  type PlacementCriteria,
  type RegionCapacity,
  type ServiceConfig,
  type Step,
  type StepInput,
} from "../routing/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import type { Relays } from "./relays.ts";
import type { LinkedCandidate, PromptShape } from "./upstream_link.ts";
import type { Upstreams } from "./upstreams.ts";

/** What the order of a lead's queue needs of a request besides what its placement needs. */
export interface QueueFields {
  /** Name of its caller's workspace; "" if there is none. */
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The caller's estimate of the answer's tokens, at most its maximum. */
  readonly outputTokens: number;
  /** Identifies the request over attempts of its caller; absent if nothing does. */
  readonly fingerprint?: string;
  /** Set if a lead has queued it before. */
  readonly wasQueued?: true;
}

/** What is known of a request that is to be placed. */
export interface PlacementRequest {
  readonly service: ServiceConfig;
  readonly config: GatewayConfig;
  readonly prompt: PromptShape;
  readonly objectiveMs: number;
  readonly eventGapMs: number;
  /** Longest gap between events at which the answer still ends in time. */
  readonly endGapMs: number;
  /** On the monotonic clock, like the deadline. */
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Keys of upstreams that the request was sent to. */
  readonly tried: ReadonlySet<string>;
  /** For how long upstreams want no request from the asking VM, by key, in ms; absent for this VM's own requests. */
  readonly restLeftMs?: ReadonlyMap<string, number>;
  /** Upstreams to which the asking VM has just lost connections; absent for this VM's own requests. */
  readonly lost?: readonly string[];
  /** Regions that it was relayed to. */
  readonly triedRegions: ReadonlySet<string>;
  /** Regions that may serve it; empty means all. */
  readonly homeRegions: readonly string[];
  /** Whether another VM relayed it here; it then stays in this region. */
  readonly isRelayed: boolean;
  /** Whether upstreams crashed as it began to run. It then goes where a crash harms the fewest other requests. */
  readonly isSuspect: boolean;
  /** What it uses of its workspace's quota; absent if that is charged already, or there is no quota. */
  readonly quota: QuotaUse | undefined;
  /** The only version of an upstream's software that it may run at; absent if it may run at any. */
  readonly version?: string;
  /** Set if it waits in its lead's queue when it finds no place. */
  readonly queue?: QueueFields;
}

/** What a placement decision reads. */
export interface PlacementContext {
  readonly region: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly upstreams: Upstreams;
  readonly relays: Relays;
}

/** Whether a region may serve, cache and hold a request. */
export function isHomeRegion(
  { homeRegions }: Pick<PlacementRequest, "homeRegions">,
  region: string,
): boolean {
  return homeRegions.length === 0 || homeRegions.includes(region);
}

/** Whether an upstream runs the required version of its software; `undefined` requires none. */
export function isVersion(
  upstream: { readonly version: string },
  required: string | undefined,
): boolean {
  return required === undefined || upstream.version === required;
}

/** Lists the upstreams of this region that may serve a request. The objects change with the next request. */
function listCandidates(
  { region, upstreams }: PlacementContext,
  request: PlacementRequest,
): readonly LinkedCandidate[] {
  if (!isHomeRegion(request, region)) return [];
  const { service, prompt, restLeftMs, version, tried } = request;
  const candidates = upstreams.currentCandidates(service, prompt, restLeftMs);
  if (version === undefined && tried.size === 0) return candidates;
  return candidates.filter((candidate) => isEligible(candidate, request));
}

/** Whether a request may be sent to an upstream by the upstream's version, and was not sent to it before. */
function isEligible(
  { upstream, key }: LinkedCandidate,
  { version, tried }: PlacementRequest,
): boolean {
  return isVersion(upstream, version) && !tried.has(key);
}

/** Lists the other regions that may serve a request. */
function listRegions(
  { upstreams, relays }: PlacementContext,
  request: PlacementRequest,
): readonly RegionCapacity[] {
  if (request.isRelayed) return [];
  const { service, triedRegions, config, version } = request;
  const mayRunAnywhere = request.homeRegions.length === 0;
  const runsVersion = (name: string) =>
    version === undefined ||
    upstreams.fleet.hasVersion(service.name, name, version);
  return relays.reachableRegions(
    service.name,
    (name) =>
      isHomeRegion(request, name) && !triedRegions.has(name) &&
      runsVersion(name),
    (name) => mayRunAnywhere && config.isHomeOf(service.name, name),
  );
}

/** Input of a decision. The other regions are listed only if it reads them, as most requests stay in the region. */
class PlacementInput implements StepInput<LinkedCandidate> {
  readonly nowMs: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  readonly criteria: PlacementCriteria;
  readonly candidates: readonly LinkedCandidate[];
  readonly affinity: Affinity | undefined;
  readonly isSuspect: boolean;
  readonly hasVersion: boolean;
  readonly draw: number;
  readonly #context: PlacementContext;
  readonly #request: PlacementRequest;
  #regions: readonly RegionCapacity[] | undefined;

  constructor(
    context: PlacementContext,
    request: PlacementRequest,
    mayQueue: boolean,
  ) {
    this.#context = context;
    this.#request = request;
    this.nowMs = context.clock.monoMs();
    this.arrivedMs = request.arrivedMs;
    this.deadlineMs = request.deadlineMs;
    this.criteria = {
      pace: context.upstreams.paceOf(request.service),
      objectiveMs: request.objectiveMs,
      eventGapMs: request.eventGapMs,
      endGapMs: request.endGapMs,
      waitsAtLead: mayQueue && request.queue !== undefined,
    };
    this.candidates = listCandidates(context, request);
    this.affinity = affinityOf(request.prompt.parts);
    this.isSuspect = request.isSuspect;
    this.hasVersion = request.version !== undefined;
    this.draw = context.random.next();
  }

  homeOf(affinity: string): LinkedCandidate | undefined {
    if (this.candidates.length === 0) return undefined;
    const { service } = this.#request;
    const home = this.#context.upstreams.homeOf(service, affinity);
    return home && isEligible(home, this.#request) ? home : undefined;
  }

  get regions(): readonly RegionCapacity[] {
    return this.#regions ??= listRegions(this.#context, this.#request);
  }
}

/**
 * Returns the next step of a request, decided from this VM's own state. `mayQueue` tells that a request without a place
 * waits in the lead's queue. The candidate is a copy, as the listed ones change with the next request.
 */
export function placeLocally(
  context: PlacementContext,
  request: PlacementRequest,
  mayQueue = false,
): Step<LinkedCandidate> {
  const step = nextStep(new PlacementInput(context, request, mayQueue));
  return step.type === "send"
    ? { type: "send", candidate: { ...step.candidate } }
    : step;
}
