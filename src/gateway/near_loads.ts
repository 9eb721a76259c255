/**
 * What the other VMs of the region have under way at each upstream, added up.
 *
 * @module
 */

import type { UpstreamLoad } from "./beat.ts";
import type { Member } from "./members.ts";

/**
 * How long a sum is used. Heartbeats of all neighbours together come some 70 times a second, and a request asks for the
 * load of every upstream several times; adding up for each question took 30 neighbours by 40 upstreams each time.
 */
const KEPT_MS = 25;
const NO_LOAD: UpstreamLoad = [0, 0];

/** See the module. */
export class NearLoads {
  readonly #near: () => readonly Member[];
  #sums = new Map<string, UpstreamLoad>();
  #vms: readonly Member[] = [];
  #summedMonoMs = -Infinity;

  /** `near` lists the other VMs of the region that are alive. */
  constructor(near: () => readonly Member[]) {
    this.#near = near;
  }

  /** The VMs that the sums are of. */
  vms(nowMs: number): readonly Member[] {
    this.#refresh(nowMs);
    return this.#vms;
  }

  /** What they have under way at an upstream, by its key. */
  at(upstreamKey: string, nowMs: number): UpstreamLoad {
    this.#refresh(nowMs);
    return this.#sums.get(upstreamKey) ?? NO_LOAD;
  }

  #refresh(nowMs: number): void {
    if (nowMs - this.#summedMonoMs < KEPT_MS) return;
    this.#summedMonoMs = nowMs;
    this.#vms = this.#near();
    this.#sums = new Map();
    for (const { beat } of this.#vms) {
      for (const [key, load] of Object.entries(beat.load ?? {})) {
        const [running, waitingTokens] = this.#sums.get(key) ?? NO_LOAD;
        this.#sums.set(key, [running + load[0], waitingTokens + load[1]]);
      }
    }
  }
}
