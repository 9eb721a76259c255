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
const READ_DELAY_MS = 40;
const END_DELAY_MS = 120;
/** Outcomes kept for the next note; more than a VM sees between two. */
const MAX_OUTCOMES = 64;

/** See the module. Its methods return when the next note is due; `Infinity` if none is. */
export class PendingLoadNote {
  #dueMs = Infinity;
  #lastTakenMs = -Infinity;
  #outcomes: SeenOutcome[] = [];

  get dueMs(): number {
    return this.#dueMs;
  }

  /** A prompt has been read. `isFirst`: nobody else has to be told. */
  noteRead(needsNoNote: boolean, nowMs: number): number {
    return this.#schedule(needsNoNote, nowMs, READ_DELAY_MS);
  }

  /** A send is over, with this outcome. */
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

  /** What the note tells, and how long ago the last one was. */
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
