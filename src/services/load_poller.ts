/**
 * Polling of upstreams' own load reports by the VM that leads them.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { LoadReport } from "../decisions/mod.ts";

/** Reads what an upstream says of its load. */
export abstract class LoadSource {
  /** The report, or `undefined` when none came until `deadlineMs`. */
  abstract read(
    upstream: UpstreamRow,
    deadlineMs: number,
  ): Promise<LoadReport | undefined>;
  abstract close(): Promise<void>;
}

/** Each led upstream is asked once in this time, and has as long to answer. */
export const POLL_INTERVAL_MS = 1000;

/** Asks each upstream at its own phase of the second, one question to each at a time. */
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

  /** Asks those whose time has come, of the pools that are led now. */
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
