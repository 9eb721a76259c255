/**
 * Requests whose turn has come, but that wait for the upstream which has their prefix cached and will soon have room.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import type { QueueEntry } from "./queue_entry.ts";

interface DeferredEntry {
  readonly entry: QueueEntry;
  readonly upstreamId: string;
  /** From this time on, waiting costs more than a cold prefill elsewhere. */
  readonly untilMs: number;
  state: "waiting" | "ready" | "gone";
}

/** The deferred requests, by the upstream that they wait for. */
export class AffinityQueue {
  readonly #byAttemptId = new Map<string, DeferredEntry>();
  readonly #byUpstream = new Map<string, Set<DeferredEntry>>();
  readonly #ready = new Set<DeferredEntry>();
  readonly #byDeadline = new TinyQueue<DeferredEntry>(
    [],
    (a, b) => a.untilMs - b.untilMs,
  );

  add(entry: QueueEntry, upstreamId: string, untilMs: number): void {
    const deferred: DeferredEntry = {
      entry,
      upstreamId,
      untilMs,
      state: "waiting",
    };
    this.#byAttemptId.set(entry.request.attemptId, deferred);
    let waiting = this.#byUpstream.get(upstreamId);
    if (!waiting) this.#byUpstream.set(upstreamId, waiting = new Set());
    waiting.add(deferred);
    this.#byDeadline.push(deferred);
  }

  /** Returns the upstreams that requests wait for. */
  upstreamIds(): string[] {
    return [...this.#byUpstream.keys()];
  }
  countFor(upstreamId: string): number {
    return this.#byUpstream.get(upstreamId)?.size ?? 0;
  }
  /** Returns the request that has waited longest for this upstream. */
  firstFor(upstreamId: string): QueueEntry | undefined {
    const [first] = this.#byUpstream.get(upstreamId) ?? [];
    return first?.entry;
  }

  /** Returns the requests that have waited long enough and may now go to any upstream, oldest first. */
  readyEntries(nowMs: number): QueueEntry[] {
    for (;;) {
      const next = this.#byDeadline.peek();
      if (!next || next.untilMs > nowMs) break;
      this.#byDeadline.pop();
      if (next.state !== "waiting") continue;
      this.#removeWaiting(next);
      next.state = "ready";
      this.#ready.add(next);
    }
    return [...this.#ready].map((deferred) => deferred.entry);
  }

  remove(attemptId: string): void {
    const deferred = this.#byAttemptId.get(attemptId);
    if (!deferred) return;
    this.#byAttemptId.delete(attemptId);
    this.#ready.delete(deferred);
    this.#removeWaiting(deferred);
    deferred.state = "gone";
  }

  #removeWaiting(deferred: DeferredEntry): void {
    const waiting = this.#byUpstream.get(deferred.upstreamId);
    waiting?.delete(deferred);
    if (waiting?.size === 0) this.#byUpstream.delete(deferred.upstreamId);
  }
}
