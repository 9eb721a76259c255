/**
 * Polls the load reports of the upstreams whose pools this VM leads.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { LoadReport } from "../decisions/mod.ts";

/** Reads the load report of an upstream. */
export abstract class LoadSource {
  /** Returns the report, or `undefined` if none arrived before `deadlineMs`. */
  abstract read(
    upstream: UpstreamRow,
    deadlineMs: number,
  ): Promise<LoadReport | undefined>;
  abstract close(): Promise<void>;
}

/** The interval between two polls of an upstream, and the timeout of each poll. */
export const POLL_INTERVAL_MS = 1000;

/** Polls the upstreams of a pool evenly spread over the interval, with at most one poll in flight per upstream. */
export class LoadPoller {
  readonly #clock: Clock;
  readonly #source: LoadSource;
  readonly #onLoad: (poolKey: string, load: LoadReport) => void;
  readonly #nextPollMs = new Map<string, number>();
  readonly #inFlight = new Set<string>();

  constructor(
    clock: Clock,
    source: LoadSource,
    onLoad: (poolKey: string, load: LoadReport) => void,
  ) {
    this.#clock = clock;
    this.#source = source;
    this.#onLoad = onLoad;
  }

  /** Polls the upstreams that are due. `pools` are the pools that this VM leads now. */
  poll(
    pools: Iterable<{ key: string; upstreams: readonly UpstreamRow[] }>,
  ): void {
    const nowMs = this.#clock.nowMs();
    const polledIds = new Set<string>();
    for (const { key, upstreams } of pools) {
      upstreams.forEach((upstream, index) => {
        polledIds.add(upstream.id);
        const phaseMs = POLL_INTERVAL_MS * index / upstreams.length;
        const dueMs = this.#nextPollMs.get(upstream.id) ?? nowMs + phaseMs;
        this.#nextPollMs.set(upstream.id, dueMs);
        if (dueMs > nowMs || this.#inFlight.has(upstream.id)) return;
        this.#nextPollMs.set(upstream.id, nowMs + POLL_INTERVAL_MS);
        void this.#read(key, upstream, nowMs + POLL_INTERVAL_MS);
      });
    }
    for (const id of this.#nextPollMs.keys()) {
      if (!polledIds.has(id)) this.#nextPollMs.delete(id);
    }
  }

  async #read(
    poolKey: string,
    upstream: UpstreamRow,
    deadlineMs: number,
  ): Promise<void> {
    this.#inFlight.add(upstream.id);
    try {
      const load = await this.#source.read(upstream, deadlineMs);
      if (load) this.#onLoad(poolKey, load);
    } finally {
      this.#inFlight.delete(upstream.id);
    }
  }
}
