/**
 * Connections to VMs of other regions, over which requests are handed over.
 *
 * @module
 */

import type { Clock, Random } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import type { FarRegion } from "../region/mod.ts";
import type { RegionPlaces, RegionRoom } from "../routing/mod.ts";
import { Connections } from "./connections.ts";

/** Idle time of links between VMs; the listener keeps them longer. */
const IDLE_MS = 20_000;
/** A VM to which a connection failed is left aside until its region no longer names it, if it is gone. */
const LOST_MS = 3_000;

const NO_ROOM: RegionPlaces = { free: 0, queue: 0 };

/** A VM of another region that takes requests. */
export interface RelayTarget {
  readonly ip: string;
  readonly region: string;
}

/** What is known of other regions. */
export interface OtherRegions {
  regions(): readonly FarRegion[];
}

/** See the module. */
export class Relays extends Task {
  readonly name = "relays";
  readonly #known: OtherRegions;
  readonly #port: number;
  readonly #agents = new Map<string, Connections>();
  /** Addresses to which a connection failed, with the time of the failure. */
  readonly #lostMonoMs = new Map<string, number>();
  protected readonly handlers: Handlers<Messages> = {};
  #clock!: Clock;

  constructor(known: OtherRegions, port: number) {
    super();
    this.#known = known;
    this.#port = port;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    for (const agent of this.#agents.values()) agent.destroy();
    return Promise.resolve();
  }

  dump(): unknown {
    const idle = [...this.#agents].map(([ip, agent]) => [ip, agent.idle]);
    return { idleConnections: Object.fromEntries(idle) };
  }

  /** A connection to a VM could not be made: nothing more is handed to it for a while. */
  noteLost(ip: string): void {
    this.#lostMonoMs.set(ip, this.#clock.monoMs());
  }

  /** Other regions with a VM that can be reached and takes requests, and their room for a service. */
  regions(
    service: string,
    allowed: (region: string) => boolean,
    isScarce: (region: string) => boolean,
  ): RegionRoom[] {
    const rooms: RegionRoom[] = [];
    for (const far of this.#known.regions()) {
      const { region } = far.digest.from;
      if (!allowed(region) || this.#targets(far).length === 0) continue;
      rooms.push({
        region,
        ...(far.digest.room?.[service] ?? NO_ROOM),
        isScarce: isScarce(region),
      });
    }
    return rooms;
  }

  /** A VM of a region to hand a request to, at random among those that take requests. */
  pick(region: string, random: Random): RelayTarget | undefined {
    const far = this.#known.regions()
      .find(({ digest }) => digest.from.region === region);
    const ips = far ? this.#targets(far) : [];
    return ips.length === 0 ? undefined : { ip: random.pick(ips), region };
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

  #targets({ digest }: FarRegion): string[] {
    const nowMs = this.#clock.monoMs();
    return digest.ready.filter((ip) =>
      nowMs - (this.#lostMonoMs.get(ip) ?? -Infinity) >= LOST_MS
    );
  }
}
