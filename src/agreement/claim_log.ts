/**
 * An owner's events that are not in the store yet, in order, with the callers that wait for them.
 *
 * @module
 */

import type { ClaimAsk, ClaimEvent } from "./claim_record.ts";

/** Names who waits for a reply; the driver of the machine gives it out. */
export type Ticket = number;

/** An ask for a key whose first claim is not settled yet. */
export interface ParkedAsk {
  readonly ask: ClaimAsk;
  readonly ticket: Ticket;
}

/** An event on its way. */
export interface LogEntry {
  readonly event: ClaimEvent;
  readonly ticket: Ticket | undefined;
  readonly deadlineMs: number;
  /** Asks that wait to learn how this one ends. */
  readonly parked: ParkedAsk[];
}

/**
 * The events from the first that is not in the store. In a long outage there are many, nearly all settled, so what is
 * asked at each claim goes by maps and not over all.
 */
export class ClaimLog {
  #entries: LogEntry[] = [];
  readonly #unsettled = new Map<number, LogEntry>();
  readonly #pendingClaims = new Map<string, LogEntry>();

  get size(): number {
    return this.#entries.length;
  }
  /** How many entries wait to be settled. */
  get waiting(): number {
    return this.#unsettled.size;
  }
  /** The highest `n` in the log, or -1. */
  get lastN(): number {
    return this.#entries.at(-1)?.event.n ?? -1;
  }

  /** Adds an event that waits to be settled. */
  add(event: ClaimEvent, ticket: Ticket, deadlineMs: number): void {
    const entry = { event, ticket, deadlineMs, parked: [] };
    this.#entries.push(entry);
    this.#unsettled.set(event.n, entry);
    if (event.state === "claimed") this.#pendingClaims.set(event.key, entry);
  }

  /** Adds an event that nobody waits for. */
  addSettled(event: ClaimEvent): void {
    const entry = { event, ticket: undefined, deadlineMs: 0, parked: [] };
    this.#entries.push(entry);
  }

  /** Marks an entry as replied to. */
  settle(entry: LogEntry): void {
    this.#unsettled.delete(entry.event.n);
    if (this.#pendingClaims.get(entry.event.key) === entry) {
      this.#pendingClaims.delete(entry.event.key);
    }
  }

  /** The unsettled claim on a key. */
  pendingClaim(key: string): LogEntry | undefined {
    return this.#pendingClaims.get(key);
  }

  /** The entries to settle, up to `n`, in order. */
  unsettled(n = Infinity): LogEntry[] {
    const found: LogEntry[] = [];
    for (const entry of this.#unsettled.values()) {
      if (entry.event.n > n) break;
      found.push(entry);
    }
    return found;
  }

  /** The events from `fromN` on, at most `most`. */
  events(fromN: number, most: number): ClaimEvent[] {
    const start = this.#position(fromN);
    return this.#entries.slice(start, start + most)
      .map((entry) => entry.event);
  }

  /** Drops what the store now holds; unsettled entries among it are returned. */
  dropBelow(nextN: number): LogEntry[] {
    this.#entries = this.#entries.slice(this.#position(nextN));
    return this.unsettled(nextN - 1);
  }

  /** Empties the log; unsettled entries are returned. */
  clear(): LogEntry[] {
    this.#entries = [];
    return this.unsettled();
  }

  /** Where the first event with at least this `n` stands. */
  #position(n: number): number {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#entries[middle].event.n < n) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
