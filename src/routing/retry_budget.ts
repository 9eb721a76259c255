/**
 * The retry budget of a service, which all VMs share.
 *
 * @module
 */

/** Limits of the retry budget, for all VMs together. */
export interface RetryBudgetLimits {
  /** Retries allowed per request of the service. */
  readonly ratio: number;
  /** Retries allowed in addition in each window. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Requests and retries are counted in buckets of one second. Finer buckets cost memory and gain nothing with windows of
 * ten seconds.
 */
const BUCKET_MS = 1_000;
/**
 * Share of the limit that is used. VMs learn at different times that a VM has joined or left, so two VMs may count the
 * same part of the slack as their own. A quarter is reserved for that.
 */
const USED_SHARE = 0.75;

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/**
 * This VM's part of the retry budget of one service. Without a budget, retries of requests that fail because of
 * overload add load and prolong the overload. Each VM applies the ratio to its own requests and uses an equal part of
 * the slack, so no message is needed and the sum over all VMs stays below the limit.
 */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #buckets: Bucket[] = [];

  constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
  }

  /** Counts the first send of a request. */
  countRequest(nowMs: number): void {
    this.#bucket(nowMs).requests++;
  }

  /** Takes one retry if one is left. `vmCount` is the number of VMs that share the slack. */
  tryTake(nowMs: number, vmCount: number): boolean {
    if (!this.canTake(nowMs, vmCount)) return false;
    this.#bucket(nowMs).retries++;
    return true;
  }

  /** Whether {@link RetryBudget.tryTake} would succeed. */
  canTake(nowMs: number, vmCount: number): boolean {
    return this.left(nowMs, vmCount) >= 1;
  }

  /** Retries that are left, as a fraction; negative if the budget has shrunk below what was used. */
  left(nowMs: number, vmCount: number): number {
    this.#bucket(nowMs);
    const { ratio, slack } = this.#limits;
    let requests = 0;
    let retries = 0;
    for (const bucket of this.#buckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    const allowed = USED_SHARE *
      (ratio * requests + slack / Math.max(1, vmCount));
    return allowed - retries;
  }

  #bucket(nowMs: number): Bucket {
    const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    while (
      this.#buckets.length > 0 &&
      this.#buckets[0].startMs <= startMs - this.#limits.windowMs
    ) {
      this.#buckets.shift();
    }
    const last = this.#buckets.at(-1);
    if (last && last.startMs >= startMs) return last;
    const bucket = { startMs, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
