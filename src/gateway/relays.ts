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
import type { RemoteRegion } from "../region/mod.ts";
import type { OfferedCapacity, RegionCapacity } from "../routing/mod.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";

/** Idle time of links between VMs; the listener keeps them longer. */
const IDLE_MS = 20_000;
/** A VM to which a connection failed is left aside until its region no longer names it, if it is gone. */
const CONNECT_FAILURE_PAUSE_MS = 3_000;

const NO_ROOM: OfferedCapacity = { free: 0, queue: 0 };

/** A VM of another region that takes requests. */
export interface RelayTarget {
  readonly ip: string;
  readonly region: string;
}

/** What is known of other regions. */
export interface OtherRegions {
  otherRegions(): readonly RemoteRegion[];
}

/** See the module. */
export class Relays extends Task {
  readonly name = "relays";
  readonly #regionSource: OtherRegions;
  readonly #port: number;
  readonly #agents = new Map<string, KeepAliveAgent>();
  /** Addresses to which a connection failed, with the time of the failure. */
  readonly #connectFailedMonoMs = new Map<string, number>();
  protected readonly handlers: Handlers<Messages> = {};
  #clock!: Clock;

  constructor(regionSource: OtherRegions, port: number) {
    super();
    this.#regionSource = regionSource;
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
    const idle = [...this.#agents].map(([ip, agent]) => [ip, agent.idleCount]);
    return { idleConnections: Object.fromEntries(idle) };
  }

  /** A connection to a VM could not be made: nothing more is handed to it for a while. */
  noteConnectFailure(ip: string): void {
    this.#connectFailedMonoMs.set(ip, this.#clock.monoMs());
  }

  /** Other regions with a VM that can be reached and takes requests, and their room for a service. */
  reachableRegions(
    service: string,
    isAllowed: (region: string) => boolean,
    isScarce: (region: string) => boolean,
  ): RegionCapacity[] {
    const rooms: RegionCapacity[] = [];
    for (const other of this.#regionSource.otherRegions()) {
      const { region } = other.digest.from;
      if (!isAllowed(region) || this.#readyIps(other).length === 0) continue;
      rooms.push({
        region,
        ...(other.digest.room?.[service] ?? NO_ROOM),
        isScarce: isScarce(region),
      });
    }
    return rooms;
  }

  /** A VM of a region to hand a request to, at random among those that take requests. */
  pickTarget(region: string, random: Random): RelayTarget | undefined {
    const other = this.#regionSource.otherRegions()
      .find(({ digest }) => digest.from.region === region);
    const ips = other ? this.#readyIps(other) : [];
    return ips.length === 0 ? undefined : { ip: random.pick(ips), region };
  }

  /** The connections to a VM. */
  agent(ip: string): KeepAliveAgent {
    let agent = this.#agents.get(ip);
    if (!agent) {
      agent = new KeepAliveAgent({ defaultIdleMs: IDLE_MS });
      this.#agents.set(ip, agent);
    }
    return agent;
  }

  /** The port that VMs take requests of others on. */
  get port(): number {
    return this.#port;
  }

  #readyIps({ digest }: RemoteRegion): string[] {
    const nowMs = this.#clock.monoMs();
    return digest.ready.filter((ip) =>
      nowMs - (this.#connectFailedMonoMs.get(ip) ?? -Infinity) >=
        CONNECT_FAILURE_PAUSE_MS
    );
  }
}
