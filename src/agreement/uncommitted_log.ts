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

/** Identifies a caller that waits for a reply. Assigned by the driver of the state machine. */
export type Ticket = number;

/** A request for a key that already has an unsettled claim. */
export interface WaitingRequest {
  readonly request: ClaimRequest;
  readonly ticket: Ticket;
}

/** Maximum number and size of the events in one message or write. */
export interface EventLimits {
  readonly events: number;
  readonly bytes: number;
}

/** An event that is not in the store yet. */
export interface LogEntry {
  readonly event: ClaimEvent;
  readonly bytes: number;
  readonly ticket: Ticket | undefined;
  readonly deadlineMs: number;
  /** Requests for the same key that wait for the outcome of this claim. */
  readonly waiters: WaitingRequest[];
}

/**
 * Holds an owner's events from the first one that is not in the store. In a long outage there are many, nearly all of
 * them settled, so the lookups made for each claim use maps instead of scanning the log.
 */
export class UncommittedLog {
  #entries: LogEntry[] = [];
  #bytes = 0;
  readonly #unsettled = new Map<number, LogEntry>();
  readonly #pendingClaims = new Map<string, LogEntry>();

  get size(): number {
    return this.#entries.length;
  }
  /** Size that the events will have in the store. */
  get bytes(): number {
    return this.#bytes;
  }
  /** Number of entries that wait to be settled. */
  get waitingCount(): number {
    return this.#unsettled.size;
  }
  /** The highest `n` in the log, or -1. */
  get lastN(): number {
    return this.#entries.at(-1)?.event.n ?? -1;
  }

  /** Adds an event whose caller waits until it is settled. */
  add(event: ClaimEvent, ticket: Ticket, deadlineMs: number): void {
    const entry = this.#push(event, ticket, deadlineMs);
    this.#unsettled.set(event.n, entry);
    if (event.state === "claimed") this.#pendingClaims.set(event.key, entry);
  }

  /** Adds an event that no caller waits for. */
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

  /** Marks an entry as answered. */
  settle(entry: LogEntry): void {
    this.#unsettled.delete(entry.event.n);
    if (this.#pendingClaims.get(entry.event.key) === entry) {
      this.#pendingClaims.delete(entry.event.key);
    }
  }

  /** Returns the unsettled claim on a key. */
  pendingClaim(key: string): LogEntry | undefined {
    return this.#pendingClaims.get(key);
  }

  /** Returns the unsettled entries up to number `maxN`, in order. */
  unsettled(maxN = Infinity): LogEntry[] {
    const found: LogEntry[] = [];
    for (const entry of this.#unsettled.values()) {
      if (entry.event.n > maxN) break;
      found.push(entry);
    }
    return found;
  }

  /** Returns the events from `fromN` on, as many as `limits` allows, but at least one if there is any. */
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

  /** Drops the events below `nextN`, which the store now holds. Returns the unsettled entries among them. */
  dropStored(nextN: number): LogEntry[] {
    const firstKept = this.#indexFrom(nextN);
    for (const { bytes } of this.#entries.slice(0, firstKept)) {
      this.#bytes -= bytes;
    }
    this.#entries = this.#entries.slice(firstKept);
    return this.unsettled(nextN - 1);
  }

  /** Empties the log. Returns its unsettled entries. */
  clear(): LogEntry[] {
    this.#entries = [];
    this.#bytes = 0;
    return this.unsettled();
  }

  /** Index of the first event whose number is at least `n`. */
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
