/**
 * A witness during a store outage: it holds the owner's grants that are not in the store, and promises not to take
 * over.
 *
 * @module
 */

import type { ClaimEvent } from "./claim_record.ts";

/** Grants of an owner that cannot reach the store. A message without events renews the promise. */
export interface ReplicaMessage {
  readonly epoch: number;
  /** The head's revision last known to the owner. */
  readonly headRev: number;
  /** All events with lower numbers are in the store and can be dropped. */
  readonly nextN: number;
  readonly events: readonly ClaimEvent[];
}

/** A witness's answer: whether it holds the events and gives the promise. */
export interface ReplicaAnswer {
  readonly accepted: boolean;
}

/** A witness's state for one shard: its promise and the grants that it holds. */
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
   * Stores the events and promises not to take over the shard for `promiseMs`. Refuses once a takeover from this head
   * was sent: that write may still take effect, however late, and the old owner would grant claims alongside the new
   * one. After a change of the head that write can only fail, so promises are possible again.
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

  /** Rules out promises for the head of this revision from now on. Call it before the takeover is sent. */
  startTakeover(headRev: number): void {
    this.#takeoverRev = Math.max(this.#takeoverRev, headRev);
  }

  /** Returns the events of an owner's `epoch` that are not in the store, in order. */
  uncommittedEvents(epoch: number, nextN: number): ClaimEvent[] {
    if (epoch !== this.#epoch) return [];
    return [...this.#events.values()]
      .filter((event) => event.n >= nextN)
      .sort((a, b) => a.n - b.n);
  }
}
