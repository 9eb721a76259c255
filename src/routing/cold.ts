/**
 * Limits the rate of requests to cold upstreams.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/**
 * Selects the only VM that may send to a cold upstream. A cold upstream crashes when it gets requests well above its
 * rate limit, which applies to all VMs together. With one owner the limit holds without messages between VMs. While VMs
 * disagree on which VMs are alive, two may send.
 */
export function selectColdOwner(
  upstreamKey: string,
  vmIds: readonly string[],
): string | undefined {
  return rendezvous(upstreamKey, vmIds, (id) => id)[0];
}

/**
 * Share of the rate limit that one owner uses. While VMs disagree, or when one owner follows another, two owners may
 * each send 0.75 of the limit and one request more in any second. Together that is 1.5 times the limit and two more,
 * which stays within the allowed 1.5 times the limit and three more. If each owner used a limit of 4.27 per second in
 * full, two would send ten requests in a second where 9.4 are allowed.
 */
const OWNER_RATE_SHARE = 0.75;

/**
 * Rate limiter for one cold upstream. It spaces requests evenly, by the interval that the owner's share of the rate
 * gives.
 */
export class ColdRateLimiter {
  #nextAtMs = -Infinity;

  /** Returns whether a request may be sent now, and counts it if so. A `ratePerS` of 0 means no limit. */
  tryTake(nowMs: number, ratePerS: number): boolean {
    if (ratePerS <= 0) return true;
    if (nowMs < this.#nextAtMs) return false;
    this.#nextAtMs = nowMs + 1000 / (ratePerS * OWNER_RATE_SHARE);
    return true;
  }

  /** Whether {@link ColdRateLimiter.tryTake} would succeed with a limit. */
  canTake(nowMs: number): boolean {
    return nowMs >= this.#nextAtMs;
  }
}
