/**
 * The next load note of a VM to its region's first lead: what it contains, and when it is due.
 *
 * @module
 */

import type { SeenOutcome } from "../region/mod.ts";

/**
 * How long a change of load waits, so that several go into one note. The end of a prompt's reading is reported
 * sooner, as prompts wait some hundred ms at an engine; the end of an answer changes less.
 */
const READ_DELAY_MS = 40;
const END_DELAY_MS = 120;
/** Maximum outcomes kept for the next note; a VM sees fewer between two notes. */
const MAX_OUTCOMES = 64;

/** Collects the next load note. Its `note` methods return when the note is due; `Infinity` if none is. */
export class PendingLoadNote {
  #dueMs = Infinity;
  #lastTakenMs = -Infinity;
  #outcomes: SeenOutcome[] = [];

  get dueMs(): number {
    return this.#dueMs;
  }

  /** Notes that a prompt has been read. `needsNoNote` if the VM's regular reports suffice. */
  noteRead(needsNoNote: boolean, nowMs: number): number {
    return this.#schedule(needsNoNote, nowMs, READ_DELAY_MS);
  }

  /** Notes that a send is over, with its outcome if known. */
  noteSendEnd(
    needsNoNote: boolean,
    nowMs: number,
    outcome?: SeenOutcome,
  ): number {
    if (outcome && !needsNoNote && this.#outcomes.length < MAX_OUTCOMES) {
      this.#outcomes.push(outcome);
    }
    return this.#schedule(needsNoNote, nowMs, END_DELAY_MS);
  }

  /** Takes what the note contains, with the time since the last one, and starts the next note. */
  take(nowMs: number): { seen: readonly SeenOutcome[]; sinceMs: number } {
    const taken = { seen: this.#outcomes, sinceMs: nowMs - this.#lastTakenMs };
    this.#dueMs = Infinity;
    this.#lastTakenMs = nowMs;
    this.#outcomes = [];
    return taken;
  }

  #schedule(needsNoNote: boolean, nowMs: number, delayMs: number): number {
    if (!needsNoNote) this.#dueMs = Math.min(this.#dueMs, nowMs + delayMs);
    return this.#dueMs;
  }
}
