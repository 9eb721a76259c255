/**
 * Finds out why connections to upstreams broke: whether the upstream crashed, or only its link or that one connection
 * failed.
 *
 * @module
 */

import { probeAddress, type Reachability } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import type { KnownUpstream } from "../routing/mod.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Losses within this time have one cause and share a probe; an upstream that crashed needs longer to be back. */
const PROBE_TTL_MS = 150;

/**
 * How long after an upstream turned out to be gone what serves at its address may be a new start that this VM has not
 * heard of yet. Upstreams register when they start, and write their entries again every 1.2 s.
 */
const RESTART_NEWS_MS = 5_000;

/** The loss of a connection to an upstream that had received a request. */
export interface Loss {
  readonly upstream: KnownUpstream;
  /** Time since the request was sent there. */
  readonly sentAgoMs: number;
  /** Whether this side closed it because the upstream did not answer; the upstream may only be about to crash. */
  readonly isGivenUp: boolean;
  /** Time since the first bytes of its answer's body; absent if none came. */
  readonly beganAgoMs?: number;
}

interface Probe {
  readonly reach: Promise<Reachability>;
  readonly untilMs: number;
}

/** Probes upstreams after lost connections. An upstream that breaks all its connections at once is probed once. */
export class LossProber {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #metrics: GatewayMetrics;
  readonly #probes = new Map<string, Probe>();
  /** Called when an upstream turns out to be gone. */
  onGone: (key: string) => void = () => {};
  /** Upstreams that refused a connection or were replaced, by key, with the time. */
  readonly #goneMonoMs = new Map<string, number>();

  constructor(clock: Clock, log: Log, metrics: GatewayMetrics) {
    this.#clock = clock;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Probes whether an upstream can be reached after a connection to it broke. */
  probe(upstream: KnownUpstream): Promise<Reachability> {
    const nowMs = this.#clock.monoMs();
    for (const [key, { untilMs }] of this.#probes) {
      if (untilMs <= nowMs) this.#probes.delete(key);
    }
    let probe = this.#probes.get(upstream.key);
    if (!probe) {
      const reach = this.#tryConnection(upstream);
      probe = { reach, untilMs: nowMs + PROBE_TTL_MS };
      this.#probes.set(upstream.key, probe);
    }
    return probe.reach;
  }

  /** Notes that an upstream refused a connection, so its program has ended. */
  noteGone(key: string): void {
    this.#forgetGone();
    this.onGone(key);
    this.#goneMonoMs.set(key, this.#clock.monoMs());
  }

  /** Notes that another process answered at an upstream's address, which may serve new requests. */
  noteReplaced(key: string): void {
    this.#goneMonoMs.set(key, this.#clock.monoMs());
  }

  /**
   * Returns the keys of upstreams that were gone a moment ago. Such a key may by now belong to a new start with another
   * version of the software, whose entry is not known here yet.
   */
  recentlyGone(): string[] {
    this.#forgetGone();
    return [...this.#goneMonoMs.keys()];
  }

  #forgetGone(): void {
    const sinceMs = this.#clock.monoMs() - RESTART_NEWS_MS;
    for (const [key, goneMs] of this.#goneMonoMs) {
      if (goneMs < sinceMs) this.#goneMonoMs.delete(key);
    }
  }

  async #tryConnection(
    { key, host, port, service }: KnownUpstream,
  ): Promise<Reachability> {
    const reach = await probeAddress(host, port, this.#clock);
    // One that does not react may only be cut off: its machine comes back later than the news of it.
    if (reach === "refused") this.noteGone(key);
    this.#log.warn("upstream lost", { upstream: key, service, reach });
    this.#metrics.count("losses", `service="${service}",reach="${reach}"`);
    return reach;
  }
}
