/**
 * What this VM has open at each upstream: connections, requests under way, health.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  coldOwner,
  ColdPace,
  EnginePace,
  fetchSource,
  type Fleet,
  type HeldPart,
  type KnownUpstream,
  PartHolders,
  type PromptPart,
  type ServiceRow,
  type StepCandidate,
  UpstreamHealth,
} from "../routing/mod.ts";
import { Connections } from "./connections.ts";
import type { UpstreamLoad } from "./beat.ts";
import type { Member } from "./members.ts";
import { NearLoads } from "./near_loads.ts";

/** Connections of an upstream that is known no more are kept this long, for the answers that are still under way. */
const KEEP_MS = 60_000;
const SWEEP_MS = 5_000;
/**
 * An upstream that owes answers and sends nothing for this long has gone dark or hangs: engines at work send events
 * several times as often, and a plain service's slowest usual answer takes less.
 */
const SILENT_MS = 600;
const SILENCE_CHECK_MS = 100;
/** Streams beside a prompt that is read pause from its start on; a tenth of the shortest pause allowed is lost by looking. */
const STREAM_CHECK_MS = 25;

/** This VM's side of one upstream. */
export class UpstreamLink {
  readonly agent: Connections;
  readonly health = new UpstreamHealth();
  readonly coldPace = new ColdPace();
  /** Called now and then for each stream that runs there, so that it can leave an engine that reads. */
  readonly streamChecks = new Set<() => void>();
  running = 0;
  waitingTokens = 0;
  usedMonoMs: number;

  #quietSinceMs: number;
  #owner: { readonly vms: readonly Member[]; readonly id: string } | undefined;

  constructor(nowMs: number) {
    this.agent = new Connections({});
    this.usedMonoMs = nowMs;
    this.#quietSinceMs = nowMs;
  }

  /** Counts a request that is sent. */
  open(nowMs: number, promptTokens: number): void {
    if (this.running === 0) this.#quietSinceMs = nowMs;
    this.running++;
    this.waitingTokens += promptTokens;
    this.health.noteSend(nowMs);
  }

  /**
   * Which VM alone may send there while it is cold. Kept as long as the list of neighbours is the same one: with 30
   * neighbours and ten cold upstreams asking anew took 0.4 ms a request.
   */
  coldOwner(
    upstreamKey: string,
    selfId: string,
    vms: readonly Member[],
  ): string {
    if (this.#owner?.vms !== vms) {
      const ids = [selfId, ...vms.map(({ id }) => id)];
      this.#owner = { vms, id: coldOwner(upstreamKey, ids) ?? selfId };
    }
    return this.#owner.id;
  }

  /** Notes that bytes came. */
  heard(nowMs: number): void {
    this.#quietSinceMs = nowMs;
  }

  /** Sets the upstream aside if it owes answers and has sent nothing for long. */
  checkSilence(nowMs: number): boolean {
    if (this.running === 0 || nowMs - this.#quietSinceMs < SILENT_MS) {
      return false;
    }
    this.#quietSinceMs = nowMs;
    this.health.note("lost", nowMs);
    return true;
  }
}

/** An upstream with the link to it. */
export interface LinkedCandidate extends StepCandidate {
  readonly upstream: KnownUpstream;
  readonly link: UpstreamLink;
  /** What is known of the engines' speed. */
  readonly pace: EnginePace;
  /** Prompt tokens that it will have to read. */
  readonly unreadTokens: number;
}

/** What is known of a request's prompt. */
export interface PromptShape {
  readonly parts: readonly PromptPart[];
  readonly tokens: number;
}

/** A request without a prompt. */
export const NO_PROMPT: PromptShape = { parts: [], tokens: 0 };

/** What placing reads of other VMs. */
export interface NearVms {
  near(): readonly Member[];
}

/** See the module. */
export class Upstreams extends Task {
  readonly name = "upstreams";
  /** Which engines hold which parts of prompts. */
  readonly holders = new PartHolders();
  readonly #fleet: Fleet;
  readonly #nearLoads: NearLoads;
  readonly #self: { readonly id: string; readonly region: string };
  readonly #links = new Map<string, UpstreamLink>();
  /** By service. */
  readonly #paces = new Map<string, EnginePace>();
  protected readonly handlers: Handlers<Messages> = {};
  #clock!: Clock;
  readonly #timers: Timer[] = [];

  constructor(
    fleet: Fleet,
    vms: NearVms,
    self: { readonly id: string; readonly region: string },
  ) {
    super();
    this.#fleet = fleet;
    this.#nearLoads = new NearLoads(() => vms.near());
    this.#self = self;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#timers.push(this.#clock.every(SWEEP_MS, () => this.#sweep()));
    this.#timers.push(
      this.#clock.every(STREAM_CHECK_MS, () => this.#checkStreams()),
    );
    this.#timers.push(
      this.#clock.every(SILENCE_CHECK_MS, () => this.#checkSilence(kernel.log)),
    );
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    for (const timer of this.#timers) timer.close();
    for (const link of this.#links.values()) link.agent.destroy();
    return Promise.resolve();
  }

  dump(): unknown {
    const links = Object.fromEntries(
      [...this.#links].map((
        [key, { running, waitingTokens, health }],
      ) => [key, {
        running,
        waitingTokens,
        health: health.dump(),
      }]),
    );
    const paces = Object.fromEntries(
      [...this.#paces].map(([service, pace]) => [service, pace.dump()]),
    );
    return { links, paces };
  }

  /** Shared parts that engines read for this VM in the last `ms`. */
  heldWithin(ms: number): HeldPart[] {
    return this.holders.readWithin(ms, this.#clock.monoMs());
  }

  /** Takes in what another VM says that engines hold; anything else than pairs of texts is left out. */
  noteHeld(held: readonly HeldPart[] | undefined): void {
    if (!Array.isArray(held)) return;
    const nowMs = this.#clock.monoMs();
    for (const pair of held) {
      if (!Array.isArray(pair)) continue;
      this.holders.noteTold([String(pair[0]), String(pair[1])], nowMs);
    }
  }

  /** What this VM has under way, by upstream key. */
  load(): Record<string, UpstreamLoad> {
    const load: Record<string, UpstreamLoad> = {};
    for (const [key, { running, waitingTokens }] of this.#links) {
      if (running > 0) load[key] = [running, waitingTokens];
    }
    return load;
  }

  /** The upstreams of a service in this region, with what all VMs of the region have under way there. */
  candidates(
    service: ServiceRow,
    { parts, tokens }: PromptShape = NO_PROMPT,
  ): LinkedCandidate[] {
    const nowMs = this.#clock.monoMs();
    const shared = parts.slice(0, -1);
    const vms = this.#nearLoads.vms(nowMs);
    const pace = this.pace(service);
    const { holders } = this;
    return this.#fleet.of(service.name, this.#self.region).map((upstream) => {
      const link = this.#link(upstream.key, nowMs);
      const cold = service.coldPerS > 0 && upstream.coldUntilMs > nowMs;
      const [running, waitingTokens] = this.#nearLoads.at(upstream.key, nowMs);
      return {
        key: upstream.key,
        hash: upstream.hash,
        running: link.running + running,
        waitingTokens: link.waitingTokens + waitingTokens,
        slots: upstream.slots,
        doubtful: cold || link.health.isFailing(),
        aside: link.health.isAside(nowMs),
        paced: !cold ||
          (link.coldOwner(upstream.key, this.#self.id, vms) ===
              this.#self.id && link.coldPace.ready(nowMs)),
        unreadTokens: Math.max(
          0,
          tokens - holders.warmTokens(shared, upstream.key, nowMs),
        ),
        upstream,
        link,
        pace,
      };
    });
  }

  /** What is known of the speed of a service's engines; plain services read nothing and keep the first figures. */
  pace({ name }: ServiceRow): EnginePace {
    let pace = this.#paces.get(name);
    if (!pace) {
      pace = new EnginePace();
      this.#paces.set(name, pace);
    }
    return pace;
  }

  /** Requests that run at an upstream, by all VMs of the region as far as known. */
  running(upstreamKey: string): number {
    const [near] = this.#nearLoads.at(upstreamKey, this.#clock.monoMs());
    return near + (this.#links.get(upstreamKey)?.running ?? 0);
  }

  /** Prompt tokens that wait at an upstream, by all VMs of the region as far as known. */
  waitingTokens(upstreamKey: string): number {
    const [, near] = this.#nearLoads.at(upstreamKey, this.#clock.monoMs());
    return near + (this.#links.get(upstreamKey)?.waitingTokens ?? 0);
  }

  /** Looks again, in the step that sends, whether the upstream may be used, and counts a cold one's request. */
  take(
    { upstream, link }: LinkedCandidate,
    service: ServiceRow,
    { parts }: PromptShape,
  ): boolean {
    const nowMs = this.#clock.monoMs();
    if (!this.#fleet.mayUse(upstream)) return false;
    if (
      upstream.coldUntilMs > nowMs &&
      !link.coldPace.tryTake(nowMs, service.coldPerS)
    ) return false;
    this.holders.noteSent(parts.slice(0, -1), upstream.key, nowMs);
    return true;
  }

  /** `IP:PORT` of an engine to copy a prompt's shared parts from, among regions that may hold them. */
  fetchFrom(
    { upstream }: LinkedCandidate,
    { engine, name }: ServiceRow,
    { parts }: PromptShape,
    isAllowed: (region: string) => boolean,
  ): string | undefined {
    if (!engine) return undefined;
    const everywhere = this.#fleet.ofRegions(name, isAllowed);
    const source = fetchSource(
      upstream,
      everywhere,
      parts,
      (partId) => this.holders.holders(partId, this.#clock.monoMs()),
    );
    return source && `${source.host}:${source.port}`;
  }

  #link(key: string, nowMs: number): UpstreamLink {
    let link = this.#links.get(key);
    if (!link) {
      link = new UpstreamLink(nowMs);
      this.#links.set(key, link);
    }
    link.usedMonoMs = nowMs;
    return link;
  }

  #checkStreams(): void {
    for (const { streamChecks } of this.#links.values()) {
      for (const check of streamChecks) check();
    }
  }

  #checkSilence(log: Log): void {
    const nowMs = this.#clock.monoMs();
    for (const [key, link] of this.#links) {
      if (link.checkSilence(nowMs)) {
        log.warn("upstream silent", { upstream: key, running: link.running });
      }
    }
  }

  #sweep(): void {
    const nowMs = this.#clock.monoMs();
    for (const [key, link] of this.#links) {
      if (link.running > 0 || nowMs - link.usedMonoMs < KEEP_MS) continue;
      link.agent.destroy();
      this.#links.delete(key);
    }
  }
}
