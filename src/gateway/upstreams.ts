/**
 * What this VM has open at each upstream: connections, requests under way, health.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  coldOwner,
  ColdPace,
  type Fleet,
  type KnownUpstream,
  type ServiceRow,
  type StepCandidate,
  UpstreamHealth,
} from "../routing/mod.ts";
import { Connections } from "./connections.ts";
import type { Member, UpstreamLoad } from "./members.ts";

/** Connections of an upstream that is known no more are kept this long, for the answers that are still under way. */
const KEEP_MS = 60_000;
const SWEEP_MS = 5_000;

/** This VM's side of one upstream. */
export class UpstreamLink {
  readonly agent: Connections;
  readonly health = new UpstreamHealth();
  readonly coldPace = new ColdPace();
  running = 0;
  waitingTokens = 0;
  usedMonoMs: number;

  constructor(nowMs: number) {
    this.agent = new Connections({});
    this.usedMonoMs = nowMs;
  }
}

/** An upstream with the link to it. */
export interface LinkedCandidate extends StepCandidate {
  readonly upstream: KnownUpstream;
  readonly link: UpstreamLink;
}

/** What placing reads of other VMs. */
export interface NearVms {
  near(): readonly Member[];
}

/** See the module. */
export class Upstreams extends Task {
  readonly name = "upstreams";
  readonly #fleet: Fleet;
  readonly #vms: NearVms;
  readonly #self: { readonly id: string; readonly region: string };
  readonly #links = new Map<string, UpstreamLink>();
  protected readonly handlers: Handlers<Messages> = {};
  #clock!: Clock;
  #timer: Timer | undefined;

  constructor(
    fleet: Fleet,
    vms: NearVms,
    self: { readonly id: string; readonly region: string },
  ) {
    super();
    this.#fleet = fleet;
    this.#vms = vms;
    this.#self = self;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#timer = this.#clock.every(SWEEP_MS, () => this.#sweep());
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    for (const link of this.#links.values()) link.agent.destroy();
    return Promise.resolve();
  }

  dump(): unknown {
    return Object.fromEntries(
      [...this.#links].map((
        [key, { running, waitingTokens, health }],
      ) => [key, {
        running,
        waitingTokens,
        health: health.dump(),
      }]),
    );
  }

  /** What this VM has under way, by upstream key. */
  load(): Record<string, UpstreamLoad> {
    const load: Record<string, UpstreamLoad> = {};
    for (const [key, { running, waitingTokens }] of this.#links) {
      if (running > 0) load[key] = { running, waitingTokens };
    }
    return load;
  }

  /** The upstreams of a service in this region, with what all VMs of the region have under way there. */
  candidates(service: ServiceRow): LinkedCandidate[] {
    const nowMs = this.#clock.monoMs();
    const near = this.#vms.near();
    const vmIds = [this.#self.id, ...near.map(({ id }) => id)];
    return this.#fleet.of(service.name, this.#self.region).map((upstream) => {
      const link = this.#link(upstream.key, nowMs);
      const cold = service.coldPerS > 0 && upstream.coldUntilMs > nowMs;
      let { running, waitingTokens } = link;
      for (const { beat } of near) {
        running += beat.load?.[upstream.key]?.running ?? 0;
        waitingTokens += beat.load?.[upstream.key]?.waitingTokens ?? 0;
      }
      return {
        key: upstream.key,
        running,
        waitingTokens,
        slots: upstream.slots,
        doubtful: cold || link.health.isFailing(),
        aside: link.health.isAside(nowMs),
        paced: !cold ||
          (coldOwner(upstream.key, vmIds) === this.#self.id &&
            link.coldPace.ready(nowMs)),
        upstream,
        link,
      };
    });
  }

  /** Looks again, in the step that sends, whether the upstream may be used, and counts a cold one's request. */
  take({ upstream, link }: LinkedCandidate, service: ServiceRow): boolean {
    const nowMs = this.#clock.monoMs();
    if (!this.#fleet.mayUse(upstream)) return false;
    if (upstream.coldUntilMs <= nowMs) return true;
    return link.coldPace.tryTake(nowMs, service.coldPerS);
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

  #sweep(): void {
    const nowMs = this.#clock.monoMs();
    for (const [key, link] of this.#links) {
      if (link.running > 0 || nowMs - link.usedMonoMs < KEEP_MS) continue;
      link.agent.destroy();
      this.#links.delete(key);
    }
  }
}
