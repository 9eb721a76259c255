/**
 * Connections to VMs of other regions, over which requests are handed over.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import type { RegionRoom } from "../routing/mod.ts";
import { Connections } from "./connections.ts";
import type { Member, Members } from "./members.ts";

/** Idle time of links between VMs; the listener keeps them longer. */
const IDLE_MS = 20_000;

const NO_ROOM = { free: 0, queue: 0 };

/** See the module. */
export class Relays extends Task {
  readonly name = "relays";
  readonly #members: Members;
  readonly #region: string;
  readonly #port: number;
  readonly #agents = new Map<string, Connections>();
  protected readonly handlers: Handlers<Messages> = {};

  constructor(members: Members, region: string, port: number) {
    super();
    this.#members = members;
    this.#region = region;
    this.#port = port;
  }

  start(_kernel: Kernel): Promise<void> {
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    for (const agent of this.#agents.values()) agent.destroy();
    return Promise.resolve();
  }

  dump(): unknown {
    return { vms: [...this.#agents.keys()] };
  }

  /** Other regions with a VM that can be reached and takes requests, and their room for a service. */
  regions(
    service: string,
    allowed: (region: string) => boolean,
    isScarce: (region: string) => boolean,
  ): RegionRoom[] {
    const best = new Map<string, RegionRoom>();
    for (const { region, beat } of this.#targets()) {
      if (!allowed(region)) continue;
      const { free, queue } = beat.room?.[service] ?? NO_ROOM;
      const known = best.get(region) ?? NO_ROOM;
      best.set(region, {
        region,
        free: Math.max(free, known.free),
        queue: Math.max(queue, known.queue),
        isScarce: isScarce(region),
      });
    }
    return [...best.values()];
  }

  /** A VM of a region to hand a request to, at random among those that take requests. */
  pick(region: string, random: Random): Member | undefined {
    const targets = this.#targets().filter((member) =>
      member.region === region
    );
    return targets.length === 0 ? undefined : random.pick(targets);
  }

  /** The connections to a VM. */
  agent(ip: string): Connections {
    let agent = this.#agents.get(ip);
    if (!agent) {
      agent = new Connections({ defaultIdleMs: IDLE_MS });
      this.#agents.set(ip, agent);
    }
    return agent;
  }

  /** The port that VMs take requests of others on. */
  get port(): number {
    return this.#port;
  }

  #targets(): Member[] {
    return this.#members.alive().filter(({ region, beat }) =>
      region !== this.#region && beat.ready && !beat.leaving
    );
  }
}
