/**
 * The latest verdicts of a lead on what was queued, for VMs that ask again because a message was lost.
 *
 * @module
 */

import type { PlacementVerdict } from "./placement_wire.ts";

/** A verdict whose message was lost is sent again for this long; its VM asks again after a quarter of a second. */
const REMEMBER_MS = 2_000;

interface Decided {
  readonly verdict: PlacementVerdict;
  readonly atMs: number;
}

/** Remembers verdicts by the id of their entry. */
export class RecentVerdicts {
  readonly #decided = new Map<string, Decided>();

  get size(): number {
    return this.#decided.size;
  }

  note(id: string, verdict: PlacementVerdict, nowMs: number): void {
    this.#decided.set(id, { verdict, atMs: nowMs });
  }

  get(id: string, nowMs: number): PlacementVerdict | undefined {
    const decided = this.#decided.get(id);
    if (!decided || nowMs - decided.atMs >= REMEMBER_MS) return undefined;
    return decided.verdict;
  }

  /** Forgets what is too old; the oldest come first. */
  sweep(nowMs: number): void {
    for (const [id, { atMs }] of this.#decided) {
      if (nowMs - atMs < REMEMBER_MS) return;
      this.#decided.delete(id);
    }
  }
}
