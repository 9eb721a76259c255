/**
 * Services and state that all requests of a VM share.
 *
 * @module
 */

import { answerTexts, upstreamTexts } from "../adapters/mod.ts";
import { ByteBudget, type Clock, Random } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import type { StoreView } from "../replication/mod.ts";
import {
  RetryBudget,
  type RetryBudgetLimits,
  UsualDurations,
} from "../routing/mod.ts";
import type { LossProber } from "./losses.ts";
import type { Members } from "./members.ts";
import type { StreamOrigins } from "./origins.ts";
import type { Placer } from "./placer.ts";
import type { Quotas } from "./quotas.ts";
import type { Relays } from "./relays.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { GatewaySettings } from "./settings.ts";
import type { Suspects } from "./suspects.ts";
import { StartQueue } from "./start_queue.ts";
import type { UpstreamNotices } from "./upstream_notices.ts";
import type { Upstreams } from "./upstreams.ts";

/** Share of a VM's memory for request bodies; the process itself needs about a third. */
const BODY_MEMORY_SHARE = 0.25;
/** Share of a VM's memory for unfinished events of streams. */
const HELD_EVENTS_SHARE = 0.05;
/** Share of a VM's memory for calls of other VMs that are being read. */
const PEER_CALLS_SHARE = 0.02;
/** Bytes of the unit in which settings give memory. */
export const BYTES_PER_MB = 1_000_000;

/**
 * Event loop lag above which callers may have left before their requests are read. The process then checks for that
 * before it sends a request, so that no upstream works for a caller that has left.
 */
const HIGH_LAG_MS = 50;

/** A request in flight. */
export interface OpenCall {
  /** Sends it elsewhere if it may be repeated and its upstream has not answered, as there is just time left for that. */
  leaveSilentUpstream(): void;
  /** Ends it because this VM's planned stop is over: with a complete answer, unless part of one was sent. */
  stop(): void;
}

/** The services, settings and counters that each request uses. */
export class GatewayContext {
  /** Replaced as a whole when the settings change. */
  settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly storeView: StoreView;
  readonly members: Members;
  readonly upstreams: Upstreams;
  readonly relays: Relays;
  readonly placer: Placer;
  readonly quotas: Quotas;
  readonly metrics: GatewayMetrics;
  readonly losses: LossProber;
  readonly notices: UpstreamNotices;
  readonly suspects: Suspects;
  readonly origins: StreamOrigins;
  readonly random = new Random(process.pid ^ Date.now());
  readonly bodies: ByteBudget;
  /** Memory for unfinished events of streams. */
  readonly heldEvents: ByteBudget;
  /** Memory for calls of other VMs that are being read. */
  readonly peerCalls: ByteBudget;
  readonly startQueue: StartQueue;
  /** Whether this VM is being stopped. */
  isDraining = false;
  /** When the stop signal arrived, on the monotonic clock. */
  drainStartMonoMs = Infinity;
  /** When the requests that are still open are ended, on the monotonic clock. */
  endMonoMs = Infinity;
  /** How long plain calls take. */
  readonly callDurations = new UsualDurations();
  /** The requests in flight. */
  readonly openCalls = new Set<OpenCall>();
  /** When the process began, on the monotonic clock. */
  readonly startMonoMs: number;
  readonly #retryBudgets = new Map<string, RetryBudget>();

  constructor(
    parts: Pick<
      GatewayContext,
      | "settings"
      | "clock"
      | "startMonoMs"
      | "log"
      | "storeView"
      | "members"
      | "upstreams"
      | "relays"
      | "placer"
      | "quotas"
      | "metrics"
      | "losses"
      | "notices"
      | "suspects"
      | "origins"
    >,
  ) {
    this.settings = parts.settings;
    this.clock = parts.clock;
    this.log = parts.log;
    this.storeView = parts.storeView;
    this.members = parts.members;
    this.upstreams = parts.upstreams;
    this.relays = parts.relays;
    this.placer = parts.placer;
    this.quotas = parts.quotas;
    this.metrics = parts.metrics;
    this.losses = parts.losses;
    this.notices = parts.notices;
    this.suspects = parts.suspects;
    this.origins = parts.origins;
    this.startMonoMs = parts.startMonoMs;
    this.startQueue = new StartQueue(parts.clock);
    const memoryBytes = parts.settings.vm.memoryMb * BYTES_PER_MB;
    this.bodies = new ByteBudget(memoryBytes * BODY_MEMORY_SHARE);
    this.heldEvents = new ByteBudget(memoryBytes * HELD_EVENTS_SHARE);
    this.peerCalls = new ByteBudget(memoryBytes * PEER_CALLS_SHARE);
  }

  /** What this process holds of messages, and how many requests, for logs and metrics. */
  get held(): Record<string, number> {
    return {
      bodyBytes: this.bodies.bytes,
      eventBytes: this.heldEvents.bytes,
      peerCallBytes: this.peerCalls.bytes,
      textBytes: answerTexts.bytes,
      upstreamTextBytes: upstreamTexts.bytes,
      openCalls: this.openCalls.size,
    };
  }

  /** Whether callers may have left before their requests are read. */
  get isLagging(): boolean {
    return this.members.lagMs > HIGH_LAG_MS;
  }

  /** The retry budget of a service. */
  retryBudget(service: string): RetryBudget {
    let budget = this.#retryBudgets.get(service);
    if (!budget) {
      const { repeatRatio, repeatSlack, repeatWindowMs } = this.settings.bounds;
      const limits: RetryBudgetLimits = {
        ratio: repeatRatio,
        slack: repeatSlack,
        windowMs: repeatWindowMs,
      };
      budget = new RetryBudget(limits, this.startMonoMs);
      this.#retryBudgets.set(service, budget);
    }
    return budget;
  }

  /** What the retry budgets count, by service. */
  dumpRetryBudgets(): Record<string, unknown> {
    const nowMs = this.clock.monoMs();
    const rows = [...this.#retryBudgets].map((
      [service, budget],
    ) => [service, budget.dump(nowMs)]);
    return Object.fromEntries(rows);
  }
}
