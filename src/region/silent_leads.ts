/**
 * Leads that a VM reports to and doesn't hear.
 *
 * @module
 */

import { ROSTER_TIMEOUT_MS } from "./heard_rosters.ts";

/** A lead that stays silent although this VM reports to it is left out for this long, unless it is heard earlier. */
const SILENT_LEAD_MS = 15_000;

/** Tracks which leads are silent. Times are of a monotonic clock. */
export class SilentLeads {
  /** When this VM began to report to each lead. */
  readonly #reportedSinceMs = new Map<string, number>();
  /** When each silent lead that this VM reports to was last found silent. */
  readonly #silentSinceMs = new Map<string, number>();

  has(id: string): boolean {
    return this.#silentSinceMs.has(id);
  }

  /** Notes that a VM was heard. */
  noteHeard(id: string): void {
    this.#silentSinceMs.delete(id);
  }

  /** Notes a report to the leads `ids`, of which `isHeard` tells whether they are heard. */
  noteReport(
    ids: ReadonlySet<string>,
    isHeard: (id: string) => boolean,
    nowMs: number,
  ): void {
    for (const id of this.#reportedSinceMs.keys()) {
      if (!ids.has(id)) this.#reportedSinceMs.delete(id);
    }
    for (const id of ids) {
      const sinceMs = this.#reportedSinceMs.get(id);
      if (sinceMs === undefined) this.#reportedSinceMs.set(id, nowMs);
      else if (nowMs - sinceMs >= ROSTER_TIMEOUT_MS && !isHeard(id)) {
        this.#silentSinceMs.set(id, nowMs);
      }
    }
  }

  /** Forgets leads that were found silent long ago. */
  expire(nowMs: number): void {
    for (const [id, sinceMs] of this.#silentSinceMs) {
      if (nowMs - sinceMs >= SILENT_LEAD_MS) this.#silentSinceMs.delete(id);
    }
  }

  /** Starts anew to wait for rosters, since nothing could be heard during a pause of this process. */
  skipPause(): void {
    this.#reportedSinceMs.clear();
  }
}
