/**
 * An owner's events that are not in the store yet, in order, with the callers that wait for them.
 *
 * @module
 */

import {
  type ClaimEvent,
  type ClaimRequest,
  eventBytes,
} from "./claim_record.ts";

/** Names who waits for a reply; the driver of the machine gives it out. */
export type Ticket = number;

/** An ask for a key whose first claim is not settled yet. */
export interface WaitingRequest {
  readonly request: ClaimRequest;
  readonly ticket: Ticket;
}

/** How much goes into one message or write. */
export interface EventLimits {
  readonly events: number;
  readonly bytes: number;
}

/** An event on its way. */
export interface LogEntry {
  readonly event: ClaimEvent;
  readonly bytes: number;
  readonly ticket: Ticket | undefined;
  readonly deadlineMs: number;
  /** Asks that wait to learn how this one ends. */
  readonly waiters: WaitingRequest[];
}

/**
 * The events from the first that is not in the store. In a long outage there are many, nearly all settled, so what is
 * asked at each claim goes by maps and not over all.
 */
export class UncommittedLog {
  #entries: LogEntry[] = [];
  #bytes = 0;
  readonly #unsettled = new Map<number, LogEntry>();
  readonly #pendingClaims = new Map<string, LogEntry>();

  get size(): number {
    return this.#entries.length;
  }
  /** The bytes that the events take in the store. */
  get bytes(): number {
    return this.#bytes;
  }
  /** How many entries wait to be settled. */
  get unsettledCount(): number {
    return this.#unsettled.size;
  }
  /** The highest `n` in the log, or -1. */
  get lastN(): number {
    return this.#entries.at(-1)?.event.n ?? -1;
  }

  /** Adds an event that waits to be settled. */
  add(event: ClaimEvent, ticket: Ticket, deadlineMs: number): void {
    const entry = this.#push(event, ticket, deadlineMs);
    this.#unsettled.set(event.n, entry);
    if (event.state === "claimed") this.#pendingClaims.set(event.key, entry);
  }

  /** Adds an event that nobody waits for. */
  addSettled(event: ClaimEvent): void {
    this.#push(event, undefined, 0);
  }

  #push(event: ClaimEvent, ticket: Ticket | undefined, deadlineMs: number) {
    const bytes = eventBytes(event);
    const entry: LogEntry = { event, bytes, ticket, deadlineMs, waiters: [] };
    this.#entries.push(entry);
    this.#bytes += bytes;
    return entry;
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
  unsettled(maxN = Infinity): LogEntry[] {
    const found: LogEntry[] = [];
    for (const entry of this.#unsettled.values()) {
      if (entry.event.n > maxN) break;
      found.push(entry);
    }
    return found;
  }

  /** The events from `fromN` on, as many as fit; one always does. */
  events(fromN: number, limits: EventLimits): ClaimEvent[] {
    const events: ClaimEvent[] = [];
    let bytes = 0;
    for (let i = this.#indexFrom(fromN); i < this.#entries.length; i++) {
      const entry = this.#entries[i];
      bytes += entry.bytes;
      if (events.length >= limits.events) break;
      if (events.length > 0 && bytes > limits.bytes) break;
      events.push(entry.event);
    }
    return events;
  }

  /** Drops what the store now holds; unsettled entries among it are returned. */
  dropStored(nextN: number): LogEntry[] {
    const firstKept = this.#indexFrom(nextN);
    for (const { bytes } of this.#entries.slice(0, firstKept)) {
      this.#bytes -= bytes;
    }
    this.#entries = this.#entries.slice(firstKept);
    return this.unsettled(nextN - 1);
  }

  /** Empties the log; unsettled entries are returned. */
  clear(): LogEntry[] {
    this.#entries = [];
    this.#bytes = 0;
    return this.unsettled();
  }

  /** Where the first event with at least this `n` stands. */
  #indexFrom(n: number): number {
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
