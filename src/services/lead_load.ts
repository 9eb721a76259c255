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
export const POLL_MS = 1000;

/** Asks each upstream at its own phase of the second, one question to each at a time. */
export class LoadPoller {
  readonly #clock: Clock;
  readonly #source: LoadSource;
  readonly #onLoad: (poolKey: string, load: LoadReport) => void;
  readonly #nextAtMs = new Map<string, number>();
  readonly #asking = new Set<string>();

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
    const led = new Set<string>();
    for (const { key, upstreams } of pools) {
      upstreams.forEach((upstream, index) => {
        led.add(upstream.id);
        const phaseMs = POLL_MS * index / upstreams.length;
        const dueMs = this.#nextAtMs.get(upstream.id) ?? nowMs + phaseMs;
        this.#nextAtMs.set(upstream.id, dueMs);
        if (dueMs > nowMs || this.#asking.has(upstream.id)) return;
        this.#nextAtMs.set(upstream.id, nowMs + POLL_MS);
        void this.#read(key, upstream, nowMs + POLL_MS);
      });
    }
    for (const id of this.#nextAtMs.keys()) {
      if (!led.has(id)) this.#nextAtMs.delete(id);
    }
  }

  async #read(
    poolKey: string,
    upstream: UpstreamRow,
    deadlineMs: number,
  ): Promise<void> {
    this.#asking.add(upstream.id);
    try {
      const load = await this.#source.read(upstream, deadlineMs);
      if (load) this.#onLoad(poolKey, load);
    } finally {
      this.#asking.delete(upstream.id);
    }
  }
}
