/**
 * Trials: runs of suspects, of which one takes place at a time over all VMs.
 *
 * @module
 */

import type { SuspectRecords } from "./suspect_records.ts";
import { isPartTrait } from "./traits.ts";

/** How long a VM does not ask the store again for the trial of a part, which many requests have. */
const TAKEN_MS = 1_000;
/**
 * How long after the crash of a trial the next one may take place: all VMs that can be reached know of the crash by
 * then.
 */
const CRASH_NEWS_MS = 1_000;

/** When a VM waits for trials, and asks for them. */
export interface TrialPacing {
  sleep(ms: number): Promise<void>;
  /**
   * Whether this VM may ask the store now for the trial of a part; drawn at random, so that the many VMs that get requests
   * with the part don't all ask at once.
   */
  mayAsk(): boolean;
}

/** Takes and releases the permissions for trials on one VM. */
export class Trials {
  readonly #records: SuspectRecords;
  readonly #nowMs: () => number;
  readonly #pacing: TrialPacing;
  /** Until when a trial of a part may take place, on this VM or another. */
  readonly #takenUntilMs = new Map<string, number>();

  /** `nowMs` is the monotonic clock. */
  constructor(
    records: SuspectRecords,
    nowMs: () => number,
    pacing: TrialPacing,
  ) {
    this.#records = records;
    this.#nowMs = nowMs;
    this.#pacing = pacing;
  }

  /** Takes the permission for a trial of a trait; resolves to whether it was free and the store reachable. */
  async take(trait: string): Promise<boolean> {
    this.#forgetOver();
    if (isPartTrait(trait)) {
      if (this.#takenUntilMs.has(trait) || !this.#pacing.mayAsk()) return false;
      // Requests of this VM that come meanwhile do not ask the store as well.
      this.#takenUntilMs.set(trait, this.#nowMs() + TAKEN_MS);
    }
    return await this.#records.acquireTrial(trait);
  }

  #forgetOver(): void {
    for (const [trait, untilMs] of this.#takenUntilMs) {
      if (untilMs <= this.#nowMs()) this.#takenUntilMs.delete(trait);
    }
  }

  /** Releases a permission that was taken, after a crash once all VMs know of it. */
  async release(trait: string, hasCrashed: boolean): Promise<void> {
    if (hasCrashed) await this.#pacing.sleep(CRASH_NEWS_MS);
    this.#takenUntilMs.delete(trait);
    await this.#records.releaseTrial(trait);
  }
}
