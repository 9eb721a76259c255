/**
 * Connections to VMs of other regions, over which requests are relayed.
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

/** Idle timeout of connections between VMs; the listener keeps them longer. */
const IDLE_MS = 20_000;
/** How long a VM is avoided; by then its region no longer names it, if it is gone. */
const AVOIDED_MS = 3_000;

const NO_CAPACITY: OfferedCapacity = { free: 0, queue: 0 };

/** A VM of another region that accepts requests. */
export interface RelayTarget {
  readonly ip: string;
  readonly region: string;
}

/** Source of the latest digests of other regions. */
export interface OtherRegions {
  otherRegions(): readonly RemoteRegion[];
}

/** Picks VMs of other regions for requests, and keeps the connections to them. */
export class Relays extends Task {
  readonly name = "relays";
  readonly #regionSource: OtherRegions;
  readonly #port: number;
  readonly #agents = new Map<string, KeepAliveAgent>();
  /** Addresses to which a connection failed, or that refused as they are draining, with the time of that. */
  readonly #avoidedSinceMonoMs = new Map<string, number>();
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

  /** Relays nothing more to a VM for a while: a connection to it failed, or it is draining. */
  avoid(ip: string): void {
    this.#avoidedSinceMonoMs.set(ip, this.#clock.monoMs());
  }

  /** Other regions with a reachable VM that accepts requests, and their free capacity for a service. */
  reachableRegions(
    service: string,
    isAllowed: (region: string) => boolean,
    isScarce: (region: string) => boolean,
  ): RegionCapacity[] {
    const capacities: RegionCapacity[] = [];
    for (const other of this.#regionSource.otherRegions()) {
      const { region } = other.digest.from;
      if (!isAllowed(region) || this.#readyIps(other).length === 0) continue;
      capacities.push({
        region,
        ...(other.digest.room?.[service] ?? NO_CAPACITY),
        isScarce: isScarce(region),
      });
    }
    return capacities;
  }

  /** Picks a VM of a region to relay a request to, at random among those that accept requests. */
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

  /** The port on which VMs accept requests of other VMs. */
  get port(): number {
    return this.#port;
  }

  #readyIps({ digest }: RemoteRegion): string[] {
    const nowMs = this.#clock.monoMs();
    return digest.ready.filter((ip) =>
      nowMs - (this.#avoidedSinceMonoMs.get(ip) ?? -Infinity) >=
        AVOIDED_MS
    );
  }
}
