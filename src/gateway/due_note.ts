/**
 * What a VM is about to tell its region's first lead of its load, and when.
 *
 * @module
 */

import type { SeenOutcome } from "../region/mod.ts";

/**
 * How long a change of load waits to be told, together with others. That a prompt has been read must be known soon, as
 * prompts wait some hundred ms at an engine; that an answer is over changes less.
 */
const READ_NOTE_MS = 40;
const OVER_NOTE_MS = 120;
/** Outcomes kept for the next note; more than a VM sees between two. */
const MOST_SEEN = 64;

/** See the module. Its methods return when the next note is due; `Infinity` if none is. */
export class DueNote {
  #dueMs = Infinity;
  #takenMs = -Infinity;
  #seen: SeenOutcome[] = [];

  get dueMs(): number {
    return this.#dueMs;
  }

  /** A prompt has been read. `isFirst`: nobody else has to be told. */
  noteRead(isFirst: boolean, nowMs: number): number {
    return this.#within(isFirst, nowMs, READ_NOTE_MS);
  }

  /** A send is over, with this outcome. */
  noteOver(isFirst: boolean, nowMs: number, seen?: SeenOutcome): number {
    if (seen && !isFirst && this.#seen.length < MOST_SEEN) {
      this.#seen.push(seen);
    }
    return this.#within(isFirst, nowMs, OVER_NOTE_MS);
  }

  /** What the note tells, and how long ago the last one was. */
  take(nowMs: number): { seen: readonly SeenOutcome[]; sinceMs: number } {
    const taken = { seen: this.#seen, sinceMs: nowMs - this.#takenMs };
    this.#dueMs = Infinity;
    this.#takenMs = nowMs;
    this.#seen = [];
    return taken;
  }

  #within(isFirst: boolean, nowMs: number, ms: number): number {
    if (!isFirst) this.#dueMs = Math.min(this.#dueMs, nowMs + ms);
    return this.#dueMs;
  }
}
