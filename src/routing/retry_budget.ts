/**
 * The budget of repeated sends, which all VMs share.
 *
 * @module
 */

/** Bounds of the budget, for all VMs together. */
export interface RetryBudgetLimits {
  /** Repeats per request of the service. */
  readonly ratio: number;
  /** Repeats beyond that in each window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Seconds are counted in one bucket each: a finer split costs memory and gains nothing at ten-second windows. */
const BUCKET_MS = 1_000;
/**
 * The share of the bound that is used. VMs see each other come and go at different moments, so two may count the same
 * part as theirs; a quarter is kept for that.
 */
const USED_SHARE = 0.75;

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/**
 * This VM's part of one service's budget. Without it, repeats of requests that fail for overload add load and keep the
 * overload going. Each VM uses the ratio on its own requests and an equal part of the slack, so no message is needed
 * and the sum over all VMs stays below the bound.
 */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #buckets: Bucket[] = [];

  constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
  }

  /** Counts a request's first send. */
  countRequest(nowMs: number): void {
    this.#bucket(nowMs).requests++;
  }

  /** Takes one repeat if there is one left; `vms` is how many VMs share the slack. */
  tryTake(nowMs: number, vmCount: number): boolean {
    if (!this.canTake(nowMs, vmCount)) return false;
    this.#bucket(nowMs).retries++;
    return true;
  }

  /** Whether {@link RetryBudget.tryTake} would succeed. */
  canTake(nowMs: number, vmCount: number): boolean {
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
    return retries + 1 <= allowed;
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
