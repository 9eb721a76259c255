/**
 * Checks requests against their workspaces' quotas as they are placed, and charges those that are sent.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { Step } from "../routing/mod.ts";
import type { PlacementRequest } from "./local_placement.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { CountedBy, Quotas } from "./quotas.ts";
import type { LinkedCandidate } from "./upstream_link.ts";

/** Minimum retry delay of callers; one that came back sooner would spend most of the time on its new connection. */
const MIN_RETRY_MS = 50;
/** Maximum retry delay of callers: a tiny quota refills only in hours, but callers may check again after this long. */
const MAX_RETRY_MS = 60_000;
/** Jitter of the retry delay of callers over their quota, as a share of the delay. */
const RETRY_JITTER_SHARE = 0.5;

/** A step, and who charged its request to a quota or refused it. */
export interface CountedStep {
  readonly step: Step<LinkedCandidate>;
  /** Absent if the quota is not checked now. */
  readonly countedBy?: CountedBy;
}

/** The refusal of a request over its workspace's quota. */
export interface QuotaRefusal {
  readonly step: Step<never> & { type: "refuse" };
  readonly countedBy: CountedBy;
}

/** Options of {@link QuotaCheck}. */
export interface QuotaCheckOptions {
  readonly quotas: Quotas;
  readonly metrics: GatewayMetrics;
}

/** Checks and charges the quotas of workspaces. */
export class QuotaCheck {
  readonly #options: QuotaCheckOptions;
  readonly #random: Random;

  constructor(options: QuotaCheckOptions, random: Random) {
    this.#options = options;
    this.#random = random;
  }

  /** Charges a request that is sent to its workspace's quota; refuses it if the quota does not suffice. */
  charge(step: Step<LinkedCandidate>, request: PlacementRequest): CountedStep {
    const { quota } = request;
    if (!quota || (step.type !== "send" && step.type !== "relay")) {
      return { step };
    }
    return this.refusalOf(request) ??
      { step, countedBy: this.#options.quotas.take(quota) };
  }

  /** Returns the refusal of a request over its workspace's quota, before it is placed; `undefined` if it fits. */
  refusalOf({ quota }: PlacementRequest): QuotaRefusal | undefined {
    const { quotas, metrics } = this.#options;
    const waitMs = quota ? quotas.waitMs(quota) : 0;
    if (waitMs <= 0) return undefined;
    const { countedBy } = quotas;
    metrics.count("over_quota", `by="${countedBy}"`);
    const jitterFactor = 1 + RETRY_JITTER_SHARE * this.#random.next();
    return {
      countedBy,
      step: {
        type: "refuse",
        reason: "overQuota",
        comeBackMs: Math.ceil(
          Math.min(Math.max(waitMs, MIN_RETRY_MS), MAX_RETRY_MS) * jitterFactor,
        ),
        here: 0,
        resting: 0,
        elsewhere: [],
      },
    };
  }
}
