/**
 * The rate at which a cold upstream may be sent requests.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/**
 * Which VM alone may send to a cold upstream. A cold upstream crashes well above a rate that holds for all VMs
 * together; one owner keeps it without a message. While VMs disagree on who is there, two may send.
 */
export function selectColdOwner(
  upstreamKey: string,
  vmIds: readonly string[],
): string | undefined {
  return rendezvous(upstreamKey, vmIds, (id) => id)[0];
}

/**
 * Share of the rate that one owner uses. Two owners, while VMs disagree or one follows the other, may send 0.75 of the
 * rate and one more each in any second: 1.5 of the rate and two, within the bound of half as much again and three. Two
 * owners of 4.27 a second at the whole rate send ten in a second where 9.4 are allowed.
 */
const OWNER_RATE_SHARE = 0.75;

/** Sends to one cold upstream, spread evenly: no two closer than the gap of the owner's share of the rate. */
export class ColdRateLimiter {
  #nextAtMs = -Infinity;

  /** Whether a request may be sent now; if so it is counted. `perS` of 0 sets no limit. */
  tryTake(nowMs: number, ratePerS: number): boolean {
    if (ratePerS <= 0) return true;
    if (nowMs < this.#nextAtMs) return false;
    this.#nextAtMs = nowMs + 1000 / (ratePerS * OWNER_RATE_SHARE);
    return true;
  }

  /** Whether {@link ColdRateLimiter.tryTake} would succeed. */
  canTake(nowMs: number): boolean {
    return nowMs >= this.#nextAtMs;
  }
}
