/**
 * Requests whose turn has come and that wait for one upstream, because it holds their prefix and will soon have room.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import type { QueueEntry } from "./queue_entry.ts";

interface DeferredEntry {
  readonly entry: QueueEntry;
  readonly upstreamId: string;
  /** When waiting costs more than a cold prefill elsewhere. */
  readonly untilMs: number;
  state: "waiting" | "ready" | "gone";
}

/** See the module. */
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

  /** Upstreams that requests wait for. */
  upstreamIds(): string[] {
    return [...this.#byUpstream.keys()];
  }
  countFor(upstreamId: string): number {
    return this.#byUpstream.get(upstreamId)?.size ?? 0;
  }
  /** The one that has waited longest for this upstream. */
  firstFor(upstreamId: string): QueueEntry | undefined {
    const [first] = this.#byUpstream.get(upstreamId) ?? [];
    return first?.entry;
  }

  /** Those that waited long enough and now take any place, oldest first. */
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
