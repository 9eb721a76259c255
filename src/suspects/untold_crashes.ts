/**
 * The crashes that a VM still has to tell others, because messages may be lost and VMs cut off.
 *
 * @module
 */

import type { CrashRow } from "./crash.ts";
import type { CrashHistory } from "./crash_history.ts";

/** Maximum number of rows that are resent each time until the VM that sends those of all VMs knows them. */
const MAX_UNHEARD_ROWS = 20;

/** A crash to tell others. Its row is looked up when it is sent, as it may be cleared by then. */
interface Untold {
  readonly trait: string;
  readonly upstreamKey: string;
  /** Until when it is resent in any case. */
  readonly untilMs: number;
  /** Whether the VM that sends the rows of all VMs has sent this one in the state in which it is known here. */
  isHeard: boolean;
}

/** Tracks which crashes a VM has to tell others. */
export class UntoldCrashes {
  readonly #history: CrashHistory;
  /** By trait and upstream; those that were resent least recently come first. */
  readonly #untold = new Map<string, Untold>();

  constructor(history: CrashHistory) {
    this.#history = history;
  }

  /** Has rows resent until `untilMs`, and after that until the VM that sends those of all VMs has sent them. */
  add(rows: readonly CrashRow[], untilMs: number): void {
    for (const [trait, upstreamKey] of rows) {
      const name = nameOf(trait, upstreamKey);
      const longestMs = Math.max(untilMs, this.#untold.get(name)?.untilMs ?? 0);
      this.#untold.set(name, {
        trait,
        upstreamKey,
        untilMs: longestMs,
        isHeard: false,
      });
    }
  }

  /**
   * Compares a row from another VM with what is known here after its merge. `isFromFirst` is set if that VM sends the
   * rows of all VMs.
   */
  compare(row: CrashRow, isFromFirst: boolean, nowMs: number): void {
    const [trait, upstreamKey, , isCleared] = row;
    const known = this.#history.rowOf(trait, upstreamKey, nowMs);
    if (!known) return;
    const untold = this.#untold.get(nameOf(trait, upstreamKey));
    const isAgreed = known[3] === isCleared;
    if (!isAgreed) this.add([known], nowMs);
    else if (untold && isFromFirst) untold.isHeard = true;
  }

  /** Forgets what others were told, and what has expired here. */
  sweep(nowMs: number): void {
    for (const [name, untold] of this.#untold) {
      const { trait, upstreamKey, untilMs, isHeard } = untold;
      const isTold = isHeard && nowMs >= untilMs;
      const isKnown = this.#history.rowOf(trait, upstreamKey, nowMs);
      if (isTold || !isKnown) this.#untold.delete(name);
    }
  }

  /** Returns the rows to tell others this time. */
  take(nowMs: number): CrashRow[] {
    const untold = [...this.#untold];
    const own = untold.filter(([, { untilMs }]) => nowMs < untilMs);
    const unheard = untold.filter(([, { untilMs }]) => nowMs >= untilMs)
      .slice(0, MAX_UNHEARD_ROWS);
    // Moved to the end of the map, they come last next time.
    for (const [name, row] of unheard) {
      this.#untold.delete(name);
      this.#untold.set(name, row);
    }
    return [...own, ...unheard]
      .map(([, { trait, upstreamKey }]) =>
        this.#history.rowOf(trait, upstreamKey, nowMs)
      ).filter((row) => row !== undefined);
  }
}

function nameOf(trait: string, upstreamKey: string): string {
  return `${trait} ${upstreamKey}`;
}
