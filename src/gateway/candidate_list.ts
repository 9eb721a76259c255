/**
 * The upstreams as candidates for a request, kept from one request to the next.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import {
  type EnginePace,
  type Fleet,
  type Homes,
  type KnownUpstream,
  type PartHolders,
  preferenceOf,
  type ServiceConfig,
} from "../routing/mod.ts";
import type { OtherLoads } from "./other_loads.ts";
import type {
  LinkedCandidate,
  PromptShape,
  UpstreamLink,
} from "./upstream_link.ts";

type Writable<T> = { -readonly [Key in keyof T]: T[Key] };

/** What the candidates are made of. */
export interface CandidateListsOptions {
  readonly self: { readonly id: string; readonly region: string };
  readonly fleet: Fleet;
  readonly holders: PartHolders;
  readonly homes: Homes<KnownUpstream>;
  readonly otherLoads: OtherLoads;
  readonly paceOf: (service: ServiceConfig) => EnginePace;
  readonly linkOf: (key: string) => UpstreamLink;
}

/** The candidates of one service, for one list of the fleet. */
interface CandidateList {
  readonly upstreams: readonly KnownUpstream[];
  readonly candidates: readonly Writable<LinkedCandidate>[];
  readonly byKey: ReadonlyMap<string, LinkedCandidate>;
}

/**
 * The candidates for requests, by service. A request changes only some fields of them, so the objects are kept: a lead
 * that made hundreds of objects for each query would spend most of its time on that.
 */
export class CandidateLists {
  readonly #options: CandidateListsOptions;
  readonly #selfHash: number;
  readonly #lists = new Map<string, CandidateList>();

  constructor(options: CandidateListsOptions) {
    this.#options = options;
    this.#selfHash = hash32(options.self.id);
  }

  /** Forgets the candidates, and with them the links to the upstreams. */
  clear(): void {
    this.#lists.clear();
  }

  /**
   * Returns the candidates for a request. The objects change with the next call for the service. `restLeftMs` is
   * passed for another VM's request: for how long each upstream wants no request from that VM, by key, in ms. Without it,
   * this VM's own rests apply.
   */
  update(
    service: ServiceConfig,
    { parts, tokens }: PromptShape,
    nowMs: number,
    restLeftMs: ReadonlyMap<string, number> | undefined,
  ): readonly LinkedCandidate[] {
    const { otherLoads, holders, self } = this.#options;
    const { candidates } = this.#listOf(service);
    const cachedTokens = holders.cachedPrefixTokens(parts.slice(0, -1), nowMs);
    const coldVmIds = otherLoads.coldVmIds(nowMs);
    const limitsCold = service.coldPerS > 0;
    for (const candidate of candidates) {
      const { key, link, upstream } = candidate;
      const isCold = limitsCold &&
        (upstream.coldUntilMs > nowMs || link.mayBeRestarted(nowMs));
      const load = otherLoads.loadAt(key, nowMs);
      link.usedMonoMs = nowMs;
      candidate.running = link.running + load[0];
      candidate.waitingTokens = link.waitingTokens + load[1];
      candidate.isDoubtful = isCold || link.health.isFailing();
      candidate.suspectCount = link.suspectCount;
      candidate.isAside = link.health.isAside(nowMs);
      candidate.isWithinColdRate = !isCold ||
        (link.coldOwner(key, coldVmIds) === self.id &&
          link.coldPace.canTake(nowMs));
      candidate.restLeftMs = restLeftMs
        ? restLeftMs.get(key) ?? 0
        : link.rest.leftMs(link.running, upstream.slots, nowMs);
      candidate.unreadTokens = Math.max(
        0,
        tokens - (cachedTokens.get(key) ?? 0),
      );
    }
    return candidates;
  }

  /** Returns the home of a prompt among the candidates of a service. */
  homeOf(
    service: ServiceConfig,
    affinity: string,
  ): LinkedCandidate | undefined {
    const { upstreams, byKey } = this.#listOf(service);
    const home = this.#options.homes.of(upstreams, affinity);
    return home && byKey.get(home.key);
  }

  #listOf(service: ServiceConfig): CandidateList {
    const { fleet, self } = this.#options;
    const upstreams = fleet.usableIn(service.name, self.region);
    const before = this.#lists.get(service.name);
    if (before?.upstreams === upstreams) return before;
    const candidates = upstreams.map((upstream) =>
      this.#createCandidate(upstream, service)
    );
    const byKey = new Map(candidates.map((one) => [one.key, one]));
    const list = { upstreams, candidates, byKey };
    this.#lists.set(service.name, list);
    return list;
  }

  #createCandidate(
    upstream: KnownUpstream,
    service: ServiceConfig,
  ): Writable<LinkedCandidate> {
    return {
      key: upstream.key,
      hash: upstream.hash,
      preference: preferenceOf(this.#selfHash, upstream.hash),
      running: 0,
      waitingTokens: 0,
      slots: upstream.slots,
      isDoubtful: false,
      suspectCount: 0,
      isAside: false,
      isWithinColdRate: true,
      restLeftMs: 0,
      unreadTokens: 0,
      upstream,
      link: this.#options.linkOf(upstream.key),
      pace: this.#options.paceOf(service),
    };
  }
}
