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
  /** VMs to which a connection failed, with the time of the failure. */
  readonly #lostMonoMs = new Map<string, number>();
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

  /** A connection to a VM could not be made: nothing more is handed to it until it is heard again. */
  noteLost(vmId: string, nowMs: number): void {
    this.#lostMonoMs.set(vmId, nowMs);
  }

  /**
   * Other regions with a VM that can be reached and takes requests, and their room for a service: what the VM that was
   * heard last said, as each speaks for its region.
   */
  regions(
    service: string,
    allowed: (region: string) => boolean,
    isScarce: (region: string) => boolean,
  ): RegionRoom[] {
    const latest = new Map<string, Member>();
    for (const member of this.#targets()) {
      const { region, heardMonoMs } = member;
      if (!allowed(region)) continue;
      if (heardMonoMs > (latest.get(region)?.heardMonoMs ?? -Infinity)) {
        latest.set(region, member);
      }
    }
    return [...latest.values()].map(({ region, beat }) => ({
      region,
      ...(beat.room?.[service] ?? NO_ROOM),
      isScarce: isScarce(region),
    }));
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
    return this.#members.alive().filter(({ id, region, beat, heardMonoMs }) =>
      region !== this.#region && beat.ready && !beat.leaving &&
      heardMonoMs > (this.#lostMonoMs.get(id) ?? -Infinity)
    );
  }
}
