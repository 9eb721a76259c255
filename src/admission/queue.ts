/**
 * The queue of a region's lead: the requests that wait for a place, in the order in which they get one.
 *
 * Priority classes come first, then fair shares between the workspaces of a class, then the due times within a
 * workspace. An entry that waited most of its time competes with the most urgent class.
 *
 * @module
 */

import { Classes, classOf } from "./classes.ts";
import { EntryHeap } from "./entry_heap.ts";
import {
  agedAtMs,
  costOf,
  endOf,
  type Entry,
  type WaitingRequest,
} from "./waiting_request.ts";

/** What {@link AdmissionQueue.dump} returns. */
export interface AdmissionDump {
  readonly size: number;
  /** Longest time since the first arrival of a waiting request, as of the last call with a time. */
  readonly longestWaitMs: number;
  /** Number of entries by class, then by workspace. */
  readonly sizes: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

/** Limits of an {@link AdmissionQueue}. */
export interface QueueLimits {
  readonly maxEntries: number;
  /** Tokens by which the shares of workspaces may differ while due times decide; 0 if absent. */
  readonly shareToleranceTokens?: number;
}

/** Requests that wait for a place. Times must not decrease from call to call. */
export class AdmissionQueue {
  readonly #maxEntries: number;
  readonly #entries = new Map<string, Entry>();
  readonly #classes: Classes;
  /** Entries by the time at which they might have ended; renewals don't update it. */
  readonly #ending = new EntryHeap();
  #added = 0;
  #lastMs = 0;

  constructor({ maxEntries, shareToleranceTokens = 0 }: QueueLimits) {
    this.#maxEntries = maxEntries;
    this.#classes = new Classes(shareToleranceTokens);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Adds a request. Returns `false` if the queue is full or the request is in it. */
  add(request: WaitingRequest, nowMs: number): boolean {
    this.#lastMs = nowMs;
    if (this.size >= this.#maxEntries || this.#entries.has(request.id)) {
      return false;
    }
    const entry = this.#entryOf(request, nowMs);
    entry.isQueued = true;
    this.#added++;
    this.#entries.set(request.id, entry);
    this.#classes.add(entry);
    this.#ending.push(entry, endOf(entry), this.size);
    return true;
  }

  /** Notes that the VM is still waiting. Returns `false` if the queue doesn't have the request. */
  renew(id: string, nowMs: number): boolean {
    const entry = this.#entries.get(id);
    if (!entry) return false;
    entry.renewedMs = nowMs;
    return true;
  }

  /** Removes a request that has not been served, without a charge. */
  remove(id: string): WaitingRequest | undefined {
    const entry = this.#entries.get(id);
    if (!entry) return undefined;
    this.#classes.remove(entry);
    return this.#forget(entry);
  }

  /**
   * The requests to serve next in service order, at most `most`, and at most one per workspace and class. A
   * {@link take} changes the order, so the heads are to be read again after it.
   */
  heads(most: number, nowMs: number): WaitingRequest[] {
    this.#lastMs = nowMs;
    return this.#classes.heads(most, nowMs).map(({ request }) => request);
  }

  /** Removes a request that is served, and charges its workspace. Returns `undefined` if it is unknown or has ended. */
  take(id: string, nowMs: number): WaitingRequest | undefined {
    this.#lastMs = nowMs;
    const entry = this.#entries.get(id);
    if (!entry || endOf(entry) <= nowMs) return undefined;
    this.#classes.take(entry, nowMs);
    return this.#forget(entry);
  }

  /**
   * How many entries would be served before a request, in the present order. The request may be queued or not. Within
   * a workspace that would be served before it, entries count as equally large.
   */
  entriesAhead(request: WaitingRequest, nowMs: number): number {
    this.#lastMs = nowMs;
    const queued = this.#entries.get(request.id);
    return this.#classes.countAhead(
      queued ?? this.#entryOf(request, nowMs),
      nowMs,
    );
  }

  /** Removes and returns the requests that were not renewed in time or are past their deadlines, by id. */
  expire(nowMs: number): WaitingRequest[] {
    this.#lastMs = nowMs;
    const expired: WaitingRequest[] = [];
    for (;;) {
      const entry = this.#ending.popDue(nowMs);
      if (!entry) break;
      const endsAtMs = endOf(entry);
      if (endsAtMs > nowMs) this.#ending.push(entry, endsAtMs, this.size);
      else expired.push(this.remove(entry.request.id)!);
    }
    return expired.sort((a, b) => a.id < b.id ? -1 : 1);
  }

  /** The state for operators. */
  dump(): AdmissionDump {
    const longestWaitMs = [...this.#entries.values()].reduce(
      (longest, { request }) =>
        Math.max(longest, this.#lastMs - request.arrivedMs),
      0,
    );
    return { size: this.size, longestWaitMs, sizes: this.#classes.sizes() };
  }

  #entryOf(request: WaitingRequest, nowMs: number): Entry {
    return {
      request,
      number: this.#added,
      costTokens: costOf(request),
      classIndex: classOf(request.priority),
      agedAtMs: agedAtMs(request),
      renewedMs: nowMs,
      isQueued: false,
    };
  }

  #forget(entry: Entry): WaitingRequest {
    entry.isQueued = false;
    this.#entries.delete(entry.request.id);
    return entry.request;
  }
}
