/**
 * A witness's side of an outage: it holds the owner's grants that are not in the store, and promises not to take over.
 *
 * @module
 */

import type { ClaimEvent } from "./claim_record.ts";

/** Grants of an owner that cannot reach the store. An empty one renews the promise. */
export interface ReplicaMessage {
  readonly epoch: number;
  /** The head's revision as the owner last knew it. */
  readonly headRev: number;
  /** Every event below this is in the store and can be dropped. */
  readonly nextN: number;
  readonly events: readonly ClaimEvent[];
}

/** What a witness answers: whether it holds the events and the promise. */
export interface ReplicaAnswer {
  readonly accepted: boolean;
}

/** A witness's memory for one shard. */
export class ClaimWitness {
  #epoch = 0;
  #promisedUntilMonoMs = -Infinity;
  #events = new Map<number, ClaimEvent>();
  #takeoverRev = 0;

  get promisedUntilMonoMs(): number {
    return this.#promisedUntilMonoMs;
  }

  /** Number of events held, for dumps. */
  get size(): number {
    return this.#events.size;
  }

  /**
   * Holds the events and promises not to take the shard over for `promiseMs`. Refused once a take-over of this head
   * was sent: its write may still take effect, however late, and the owner would grant beside the new one. A head
   * that changed since defeats that write, so the promise can be given again.
   */
  accept(
    message: ReplicaMessage,
    monoMs: number,
    promiseMs: number,
  ): ReplicaAnswer {
    if (message.epoch < this.#epoch || message.headRev <= this.#takeoverRev) {
      return { accepted: false };
    }
    if (message.epoch > this.#epoch) this.#events.clear();
    this.#epoch = message.epoch;
    for (const n of this.#events.keys()) {
      if (n < message.nextN) this.#events.delete(n);
    }
    for (const event of message.events) this.#events.set(event.n, event);
    this.#promisedUntilMonoMs = Math.max(
      this.#promisedUntilMonoMs,
      monoMs + promiseMs,
    );
    return { accepted: true };
  }

  /** From here on no promise is given for the head of this revision; call it before the take-over is sent. */
  startTakeover(headRev: number): void {
    this.#takeoverRev = Math.max(this.#takeoverRev, headRev);
  }

  /** The events of an owner's `epoch` that are not in the store, in order. */
  uncommittedEvents(epoch: number, nextN: number): ClaimEvent[] {
    if (epoch !== this.#epoch) return [];
    return [...this.#events.values()]
      .filter((event) => event.n >= nextN)
      .sort((a, b) => a.n - b.n);
  }
}
