/**
 * Requests whose turn has come and that wait for one upstream, because it holds their prefix and will soon have room.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import type { Entry } from "./lane_entry.ts";

interface Parked {
  readonly entry: Entry;
  readonly upstreamId: string;
  /** When waiting costs more than a cold prefill elsewhere. */
  readonly untilMs: number;
  state: "waiting" | "ready" | "gone";
}

/** See the module. */
export class Parking {
  readonly #byId = new Map<string, Parked>();
  readonly #byUpstream = new Map<string, Set<Parked>>();
  readonly #ready = new Set<Parked>();
  readonly #due = new TinyQueue<Parked>(
    [],
    (a, b) => a.untilMs - b.untilMs,
  );

  park(entry: Entry, upstreamId: string, untilMs: number): void {
    const parked: Parked = { entry, upstreamId, untilMs, state: "waiting" };
    this.#byId.set(entry.request.attemptId, parked);
    let waiting = this.#byUpstream.get(upstreamId);
    if (!waiting) this.#byUpstream.set(upstreamId, waiting = new Set());
    waiting.add(parked);
    this.#due.push(parked);
  }

  /** Upstreams that requests wait for. */
  upstreams(): string[] {
    return [...this.#byUpstream.keys()];
  }
  countAt(upstreamId: string): number {
    return this.#byUpstream.get(upstreamId)?.size ?? 0;
  }
  /** The one that has waited longest for this upstream. */
  firstAt(upstreamId: string): Entry | undefined {
    const [first] = this.#byUpstream.get(upstreamId) ?? [];
    return first?.entry;
  }

  /** Those that waited long enough and now take any place, oldest first. */
  ready(nowMs: number): Entry[] {
    for (;;) {
      const next = this.#due.peek();
      if (!next || next.untilMs > nowMs) break;
      this.#due.pop();
      if (next.state !== "waiting") continue;
      this.#leave(next);
      next.state = "ready";
      this.#ready.add(next);
    }
    return [...this.#ready].map((parked) => parked.entry);
  }

  remove(attemptId: string): void {
    const parked = this.#byId.get(attemptId);
    if (!parked) return;
    this.#byId.delete(attemptId);
    this.#ready.delete(parked);
    this.#leave(parked);
    parked.state = "gone";
  }

  #leave(parked: Parked): void {
    const waiting = this.#byUpstream.get(parked.upstreamId);
    waiting?.delete(parked);
    if (waiting?.size === 0) this.#byUpstream.delete(parked.upstreamId);
  }
}
