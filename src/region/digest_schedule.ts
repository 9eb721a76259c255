/**
 * When a lead's digests to other regions are due.
 *
 * @module
 */

import type { Report } from "./messages.ts";

/** A lost VM makes a digest due at once, but two digests are at least this far apart. */
const MIN_DIGEST_GAP_MS = 250;

/** A digest that is due. */
export interface DigestDue {
  readonly type: "digest";
  readonly ips: readonly string[];
  /** Region of a receiver that may know no VM of its own region; `undefined` if the receivers are leads. */
  readonly toRegion?: string;
  /** See {@link RegionDigest.isAhead}. */
  readonly isAhead?: true;
}

/** Schedules the digests of a lead. Times are of a monotonic clock. */
export class DigestSchedule {
  #dueMs = -Infinity;
  #sentMs = -Infinity;
  #readyCount = 0;
  #isAhead = false;

  /** When the next digest is due, as far as is known now. */
  get dueMs(): number {
    return this.#isAhead ? this.#sentMs + MIN_DIGEST_GAP_MS : this.#dueMs;
  }

  /** Makes a digest due ahead of schedule if fewer VMs take requests than before. */
  noteReporters(reports: readonly Report[]): void {
    const count = reports.filter(({ ready }) => ready).length;
    if (count < this.#readyCount) this.#isAhead = true;
    this.#readyCount = count;
  }

  /** Takes the digest that is due now; the next one is due in `everyMs` at the latest. */
  take(
    ips: readonly string[],
    everyMs: number,
    nowMs: number,
  ): DigestDue[] {
    if (nowMs < this.dueMs) return [];
    const isAhead = this.#isAhead || undefined;
    this.#isAhead = false;
    this.#sentMs = nowMs;
    this.#dueMs = nowMs + everyMs;
    return [{ type: "digest", ips, isAhead }];
  }
}
