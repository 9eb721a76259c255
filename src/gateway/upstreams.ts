/**
 * This VM's state of each upstream: connections, requests in flight, health.
 *
 * @module
 */

import { type Clock, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  confirmFetchSource,
  EnginePace,
  type Fleet,
  type HeldPart,
  Homes,
  type KnownUpstream,
  PartHolders,
  selectFetchSource,
  SEND_OUTCOMES,
  type ServiceConfig,
} from "../routing/mod.ts";
import type { Load, SeenOutcome, UpstreamLoad } from "../region/mod.ts";
import { CandidateLists } from "./candidate_list.ts";
import { OtherLoads, type RegionLoads } from "./other_loads.ts";
import { SilenceWatch } from "./silence.ts";
import { StreamWatch } from "./stream_watch.ts";
import {
  type Grant,
  type LinkedCandidate,
  NO_PROMPT,
  type PromptShape,
  type RestingUpstream,
  UpstreamLink,
} from "./upstream_link.ts";

/** Connections of an upstream that is no longer known are kept this long, for answers that are still in flight. */
const LINK_TTL_MS = 60_000;
const SWEEP_INTERVAL_MS = 5_000;

/** Tracks this VM's load and health of each upstream, and lists the candidates for a request. */
export class Upstreams extends Task {
  readonly name = "upstreams";
  readonly fleet: Fleet;
  /** Which engines have cached which prompt parts. */
  readonly holders = new PartHolders();
  readonly #otherLoads: OtherLoads;
  readonly #self: { readonly id: string; readonly region: string };
  readonly #links = new Map<string, UpstreamLink>();
  readonly #lists: CandidateLists;
  /** Homes of prompts among the fleet's lists. */
  readonly #homes = new Homes<KnownUpstream>();
  /** Learned engine speeds, by service. */
  readonly #paces = new Map<string, EnginePace>();
  protected readonly handlers: Handlers<Messages> = {};
  #clock!: Clock;
  /** Until when an upstream rests, or is in the ramp after it. */
  #restsUntilMs = -Infinity;
  #sweepTimer: Timer | undefined;
  #silenceWatch: SilenceWatch | undefined;
  /** Streams that run at upstreams of this region and may move. */
  readonly streamWatch = new StreamWatch((key) => this.waitingTokens(key));

  constructor(
    fleet: Fleet,
    region: RegionLoads,
    self: { readonly id: string; readonly region: string },
  ) {
    super();
    this.fleet = fleet;
    this.#otherLoads = new OtherLoads(region, self.id);
    this.#self = self;
    this.#lists = new CandidateLists({
      self,
      fleet,
      holders: this.holders,
      homes: this.#homes,
      otherLoads: this.#otherLoads,
      paceOf: (service) => this.paceOf(service),
      linkOf: (key) => this.#getLink(key, this.#clock.monoMs()),
    });
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#sweepTimer = this.#clock.every(
      SWEEP_INTERVAL_MS,
      () => this.#sweep(),
    );
    this.#silenceWatch = new SilenceWatch(
      this.#links,
      this.#clock,
      kernel.log,
    );
    this.streamWatch.start(this.#clock);
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#sweepTimer?.close();
    this.#silenceWatch?.close();
    this.streamWatch.close();
    for (const link of this.#links.values()) link.agent.destroy();
    return Promise.resolve();
  }

  dump(): unknown {
    const links = Object.fromEntries(
      [...this.#links].map((
        [key, { running, waitingTokens, health, rest }],
      ) => [key, {
        running,
        waitingTokens,
        health: health.dump(),
        restLeftMs: rest.leftMs(running, running, this.#clock.monoMs()),
      }]),
    );
    const paces = Object.fromEntries(
      [...this.#paces].map(([service, pace]) => [service, pace.dump()]),
    );
    return { links, paces };
  }

  /** Returns the shared prompt parts that engines read for this VM in the last `ms`. */
  partsReadWithin(ms: number): HeldPart[] {
    return this.holders.ownReadsWithin(ms, this.#clock.monoMs());
  }

  /** Returns the same for all VMs of the region. */
  regionPartsReadWithin(ms: number): HeldPart[] {
    return this.holders.regionReadsWithin(ms, this.#clock.monoMs());
  }

  /**
   * Records which engines have cached which prompt parts, as reported by another VM; anything that is not an array
   * is ignored.
   */
  noteHeldParts(
    held: readonly HeldPart[] | undefined,
    isSameRegion: boolean,
  ): void {
    if (!Array.isArray(held)) return;
    const nowMs = this.#clock.monoMs();
    for (const pair of held) {
      if (!Array.isArray(pair)) continue;
      this.holders.noteRemoteRead(
        [String(pair[0]), String(pair[1])],
        isSameRegion,
        nowMs,
      );
    }
  }

  /** Returns what this VM has in flight, by upstream key. */
  load(): Load {
    const load: Record<string, [number, number]> = {};
    for (const [key, { running, waitingTokens }] of this.#links) {
      if (running > 0) load[key] = [running, waitingTokens];
    }
    return load;
  }

  /** Returns the upstreams of a service in this region, with the load of all VMs of the region. */
  candidates(service: ServiceConfig): LinkedCandidate[] {
    return this.currentCandidates(service).map((one) => ({ ...one }));
  }

  /** Like {@link candidates}, for a request with a prompt and without copies; see {@link CandidateLists.update}. */
  currentCandidates(
    service: ServiceConfig,
    prompt: PromptShape = NO_PROMPT,
    restLeftMs?: ReadonlyMap<string, number>,
  ): readonly LinkedCandidate[] {
    const nowMs = this.#clock.monoMs();
    return this.#lists.update(service, prompt, nowMs, restLeftMs);
  }

  /** Returns the home of a prompt among the {@link currentCandidates} of a service. */
  homeOf(
    service: ServiceConfig,
    affinity: string,
  ): LinkedCandidate | undefined {
    return this.#lists.homeOf(service, affinity);
  }

  /** Returns the upstream that a lead chose; `undefined` if it is not known here or may not be used. */
  grantedCandidate(
    service: ServiceConfig,
    key: string,
    grant: Grant,
  ): LinkedCandidate | undefined {
    const upstream = this.fleet.usableIn(service.name, this.#self.region)
      .find((known) => known.key === key);
    if (!upstream || this.#restLeftMs(upstream) > 0) return undefined;
    return {
      key,
      hash: upstream.hash,
      preference: 0,
      slots: upstream.slots,
      isDoubtful: false,
      suspectCount: 0,
      isAside: false,
      isWithinColdRate: true,
      restLeftMs: 0,
      ...grant,
      upstream,
      link: this.#getLink(key, this.#clock.monoMs()),
      pace: this.paceOf(service),
      grant,
    };
  }

  /** Returns the keys of the upstreams that this VM itself has set aside, as after a lost connection. */
  asideKeys(): string[] {
    const nowMs = this.#clock.monoMs();
    return [...this.#links].filter(([, { health }]) => health.isAside(nowMs))
      .map(([key]) => key);
  }

  /** Notes that an upstream asked this VM for rest. Returns the time that is kept, in ms. */
  noteRest({ link }: LinkedCandidate, askedMs: number, draw: number): number {
    const nowMs = this.#clock.monoMs();
    const keptMs = link.rest.note(askedMs, nowMs, draw);
    this.#restsUntilMs = Math.max(this.#restsUntilMs, link.rest.rampEndMs);
    return keptMs;
  }

  /** Returns the upstreams of a service that want no request from this VM for a while. */
  resting(service: string): RestingUpstream[] {
    // Asked with each question to a lead, and hardly ever is there one.
    if (this.#clock.monoMs() >= this.#restsUntilMs) return [];
    return this.fleet.usableIn(service, this.#self.region)
      .map((upstream) =>
        [upstream.key, Math.ceil(this.#restLeftMs(upstream))] as const
      )
      .filter(([, leftMs]) => leftMs > 0);
  }

  /** Time until the first upstream of a service has rested, in ms; 0 if one does not rest. */
  leastRestMs(service: string): number {
    const all = this.fleet.usableIn(service, this.#self.region)
      .map((upstream) => this.#restLeftMs(upstream));
    return all.length === 0 ? 0 : Math.min(...all);
  }

  /** Whether an upstream wants no request from this VM now. */
  rests({ upstream }: LinkedCandidate): boolean {
    return this.#restLeftMs(upstream) > 0;
  }

  #restLeftMs({ key, slots }: KnownUpstream): number {
    const link = this.#links.get(key);
    if (!link) return 0;
    return link.rest.leftMs(link.running, slots, this.#clock.monoMs());
  }

  /** Notes that an upstream's program has ended. */
  noteGone(key: string): void {
    this.#links.get(key)?.noteGone(this.#clock.monoMs());
  }

  /** Records the outcomes of another VM's sends. */
  noteOutcomes(vmId: string, outcomes: readonly SeenOutcome[]): void {
    const nowMs = this.#clock.monoMs();
    for (const pair of outcomes) {
      if (!Array.isArray(pair) || !SEND_OUTCOMES.has(pair[1])) continue;
      const link = this.#links.get(String(pair[0]));
      link?.noteOutcomeElsewhere(vmId, pair[1], nowMs);
    }
  }

  /**
   * Returns what is known of the speed of a service's engines. Plain services read no prompts and keep the initial
   * figures.
   */
  paceOf({ name }: ServiceConfig): EnginePace {
    let pace = this.#paces.get(name);
    if (!pace) {
      pace = new EnginePace();
      this.#paces.set(name, pace);
    }
    return pace;
  }

  /** Returns what runs and waits at an upstream, from all VMs of the region as far as known. */
  loadAt(upstreamKey: string, nowMs: number): UpstreamLoad {
    const [running, tokens] = this.#otherLoads.loadAt(upstreamKey, nowMs);
    const link = this.#links.get(upstreamKey);
    return link
      ? [running + link.running, tokens + link.waitingTokens]
      : [running, tokens];
  }

  /** Returns the prompt tokens that wait at an upstream, from all VMs of the region as far as known. */
  waitingTokens(upstreamKey: string): number {
    return this.loadAt(upstreamKey, this.#clock.monoMs())[1];
  }

  /**
   * Checks again, when a request is sent or granted, whether the upstream may be used, and counts a send against
   * the rate of a cold one.
   */
  tryAdmit(
    { upstream, link, grant }: LinkedCandidate,
    service: ServiceConfig,
    { parts }: PromptShape,
  ): boolean {
    const nowMs = this.#clock.monoMs();
    if (!this.fleet.canUse(upstream)) return false;
    const isCold = upstream.coldUntilMs > nowMs || link.mayBeRestarted(nowMs);
    if (
      !grant && isCold && !link.coldPace.tryTake(nowMs, service.coldPerS)
    ) return false;
    this.holders.noteSent(parts.slice(0, -1), upstream.key, nowMs);
    return true;
  }

  /** Like {@link tryAdmit}, for a request that this VM sends itself: the upstream must not want rest from it. */
  trySend(
    candidate: LinkedCandidate,
    service: ServiceConfig,
    prompt: PromptShape,
  ): boolean {
    return !this.rests(candidate) &&
      this.tryAdmit(candidate, service, prompt);
  }

  /** Returns the `IP:PORT` of an engine to copy a prompt's shared parts from, among the regions that may hold them. */
  pickFetchSource(
    { upstream, grant }: LinkedCandidate,
    service: ServiceConfig,
    { parts }: PromptShape,
    isAllowed: (region: string) => boolean,
  ): string | undefined {
    if (!service.engine) return undefined;
    const engines = this.fleet.usableInRegions(service.name, isAllowed);
    if (grant) {
      const { fetchFrom } = grant;
      return fetchFrom && confirmFetchSource(upstream, engines, fetchFrom);
    }
    const { region } = upstream;
    const inRegion = isAllowed(region)
      ? this.fleet.usableIn(service.name, region)
      : [];
    const source = selectFetchSource(
      upstream,
      engines,
      parts,
      (partId) => this.holders.sourcesOf(partId, this.#clock.monoMs()),
      {
        inRegion: (affinity) => this.#homes.of(inRegion, affinity),
        anywhere: (affinity) => this.#homes.of(engines, affinity),
      },
    );
    return source && `${source.host}:${source.port}`;
  }

  #getLink(key: string, nowMs: number): UpstreamLink {
    let link = this.#links.get(key);
    if (!link) {
      link = new UpstreamLink(nowMs);
      this.#links.set(key, link);
    }
    link.usedMonoMs = nowMs;
    return link;
  }

  /** Counts a request that this VM sends to an upstream. */
  noteSend({ upstream, link }: LinkedCandidate, promptTokens: number): void {
    link.noteSend(upstream, this.#clock.monoMs(), promptTokens);
    this.#silenceWatch?.noteSend();
    if (promptTokens > 0) this.streamWatch.noteGrowthAt(upstream.key);
  }

  /** Notes that a lead sent the loads of the region's VMs. */
  noteRoster(): void {
    this.#otherLoads.forgetRoster();
    this.streamWatch.noteGrowth();
  }

  #sweep(): void {
    const nowMs = this.#clock.monoMs();
    for (const [key, link] of this.#links) {
      if (link.running > 0 || nowMs - link.usedMonoMs < LINK_TTL_MS) continue;
      if (nowMs < link.rest.rampEndMs) continue;
      link.agent.destroy();
      this.#links.delete(key);
      // The lists refer to the links.
      this.#lists.clear();
    }
  }
}
