/**
 * Why connections to upstreams broke: whether the upstream ended, or only its link or that one connection.
 *
 * @module
 */

import { type Reach, reachOf } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import type { KnownUpstream } from "../routing/mod.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Losses that come within this time have one cause; an upstream that ended needs longer to be back. */
const PROBE_TTL_MS = 150;

/** How a request that had reached an upstream lost its connection. */
export interface Loss {
  readonly upstream: KnownUpstream;
  /** Time since the request was sent there. */
  readonly sentAgoMs: number;
  /** Whether this side closed it, as the upstream said nothing: it may only be about to end. */
  readonly isGivenUp: boolean;
  /** Time since the first bytes of its answer's body; absent if none came. */
  readonly beganAgoMs?: number;
}

interface Probe {
  readonly reach: Promise<Reach>;
  readonly untilMs: number;
}

/** See the module. An upstream that breaks all its connections at once is looked at once. */
export class LossProber {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #metrics: GatewayMetrics;
  readonly #probes = new Map<string, Probe>();

  constructor(clock: Clock, log: Log, metrics: GatewayMetrics) {
    this.#clock = clock;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Looks what an upstream is like now that a connection to it broke. */
  probe(upstream: KnownUpstream): Promise<Reach> {
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

  async #tryConnection(
    { key, host, port, service }: KnownUpstream,
  ): Promise<Reach> {
    const reach = await reachOf(host, port, this.#clock);
    this.#log.warn("upstream lost", { upstream: key, service, reach });
    this.#metrics.count("losses", `service="${service}",reach="${reach}"`);
    return reach;
  }
}
