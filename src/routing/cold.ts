/**
 * The rate at which a cold upstream may be sent requests.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/**
 * Which VM alone may send to a cold upstream. A cold upstream crashes well above a rate that holds for all VMs
 * together; one owner keeps it without a message. While VMs disagree on who is there, two may send: the bound's own
 * margin (half as much again, and three) bears that.
 */
export function coldOwner(
  upstreamKey: string,
  vmIds: readonly string[],
): string | undefined {
  return rendezvous(upstreamKey, vmIds, (id) => id)[0];
}

/** Sends to one cold upstream, spread evenly: no two closer than the rate's own gap. */
export class ColdPace {
  #nextAtMs = -Infinity;

  /** Whether a request may be sent now; if so it is counted. `perS` of 0 sets no limit. */
  tryTake(nowMs: number, perS: number): boolean {
    if (perS <= 0) return true;
    if (nowMs < this.#nextAtMs) return false;
    this.#nextAtMs = nowMs + 1000 / perS;
    return true;
  }

  /** Whether {@link ColdPace.tryTake} would succeed. */
  ready(nowMs: number): boolean {
    return nowMs >= this.#nextAtMs;
  }
}
