/**
 * What is known about whether a request has run.
 *
 * @module
 */

import { type Failure, failure } from "../base/mod.ts";

/**
 * Tells whether one request may have run. Each send counts as run from before its first byte leaves until it is proved
 * that it hasn't, whatever happens in between: a caller or VM that is told "not run" sends the request again.
 */
export class RunEvidence {
  #mayHaveRun = false;
  #isSendOpen = false;

  /** Whether a send of the request has run, or is not known not to have. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun || this.#isSendOpen;
  }

  /** Notes that a send is about to begin. */
  noteSend(): void {
    this.#mayHaveRun ||= this.#isSendOpen;
    this.#isSendOpen = true;
  }

  /** Notes the proof that the last send hasn't run and never will. */
  noteNotRun(): void {
    this.#isSendOpen = false;
  }

  /** Notes that the last send may have run, whatever becomes known of it later. */
  noteMayHaveRun(): void {
    this.#mayHaveRun = true;
  }

  /** Returns a failure as it may be told: none says "not run" of a request that may have run. */
  checkFailure(cause: Failure): Failure {
    if (cause.ran !== "no" || !this.mayHaveRun) return cause;
    return failure("upstreamFailed");
  }
}
