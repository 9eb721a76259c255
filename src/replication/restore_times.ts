/**
 * When the store came back from an older copy, as this VM saw or heard.
 *
 * @module
 */

import { TRIAL_LEASE_MS } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { VmState } from "../region/mod.ts";

/** How long VMs that start are told: as long as what the store forgot may matter to them. */
const TELL_MS = TRIAL_LEASE_MS;

/** Keeps the latest time at which the store came back. Times are of the monotonic clock, `-Infinity` if it never did. */
export class RestoreTimes {
  readonly #clock: Clock;
  readonly #seenMonoMs: () => number;
  #heardMonoMs = -Infinity;

  /** `seenMonoMs` returns what this VM knows from the store's states. */
  constructor(clock: Clock, seenMonoMs: () => number) {
    this.#clock = clock;
    this.#seenMonoMs = seenMonoMs;
  }

  /** The latest time, as this VM saw or heard. */
  get latestMonoMs(): number {
    return Math.max(this.#seenMonoMs(), this.#heardMonoMs);
  }

  /** Notes that another VM said how long ago it was. */
  noteHeard(agoMs: number): void {
    const heardMonoMs = this.#clock.monoMs() - agoMs;
    this.#heardMonoMs = Math.max(this.#heardMonoMs, heardMonoMs);
  }

  /** What this VM tells others. What it only heard is left out: it would go in circles, a little later each time. */
  get announced(): Pick<VmState, "restoredAgoMs"> {
    const agoMs = this.#clock.monoMs() - this.#seenMonoMs();
    return agoMs < TELL_MS ? { restoredAgoMs: Math.round(agoMs) } : {};
  }
}
