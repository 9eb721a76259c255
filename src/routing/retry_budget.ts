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

/** A window is counted in this many buckets: finer ones cost memory and gain nothing with windows of ten seconds. */
const BUCKETS = 10;
/**
 * Share of the limit that is used. VMs learn at different times that a VM has joined, so two VMs may count the same part of
 * the slack as their own, and a limit that is just used up leaves nothing for what is counted elsewhere.
 */
const USED_SHARE = 0.75;

/**
 * Share of the slack that a process may use in its first window: enough for a failure now and then, so little that five
 * starts of each VM within a window stay within what {@link USED_SHARE} leaves.
 */
const START_SHARE = 0.05;

interface Bucket {
  /** Number of the bucket since the clock began. */
  readonly index: number;
  requests: number;
  retries: number;
}

/**
 * This VM's part of the retry budget of one service. Without a budget, retries of requests that fail because of
 * overload add load and prolong the overload. Each VM applies the ratio to its own requests and uses an equal part of
 * the slack, so no message is needed and the sum over all VMs stays below the limit.
 *
 * Nobody knows what the process before this one has used: its part of the slack is free again only after a whole window.
 * Until then this VM retries little more than what its own requests allow.
 */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #bucketMs: number;
  readonly #fullFromMs: number;
  readonly #buckets: Bucket[] = [];

  /** `startMs` is when this process began, on the clock of all other times. */
  constructor(limits: RetryBudgetLimits, startMs: number) {
    this.#limits = limits;
    this.#bucketMs = Math.max(1, limits.windowMs / BUCKETS);
    this.#fullFromMs = startMs + limits.windowMs;
  }

  /** Counts the first send of a request. */
  countRequest(nowMs: number): void {
    this.#bucket(nowMs).requests++;
  }

  /** Takes one retry if one is left. `sharers` is the number of VMs that may share the slack. */
  tryTake(nowMs: number, sharers: number): boolean {
    if (!this.canTake(nowMs, sharers)) return false;
    this.#bucket(nowMs).retries++;
    return true;
  }

  /** Whether {@link RetryBudget.tryTake} would succeed. */
  canTake(nowMs: number, sharers: number): boolean {
    return this.left(nowMs, sharers) >= 1;
  }

  /** Retries that are left, as a fraction; negative if the budget has shrunk below what was used. */
  left(nowMs: number, sharers: number): number {
    const { index } = this.#bucket(nowMs);
    const { ratio, slack } = this.#limits;
    const requests = Array.from({ length: BUCKETS }, () => 0);
    let retries = 0;
    for (const bucket of this.#buckets) {
      const age = index - bucket.index;
      if (age < BUCKETS) requests[age] = bucket.requests;
      retries += bucket.retries;
    }
    const slackShare = nowMs < this.#fullFromMs ? START_SHARE : USED_SHARE;
    const allowed = ratio * countedRequests(requests) +
      slackShare * slack / Math.max(1, sharers);
    return allowed - retries;
  }

  /** What counts now. */
  dump(nowMs: number): unknown {
    this.#bucket(nowMs);
    const sum = (read: (bucket: Bucket) => number) =>
      this.#buckets.reduce((total, bucket) => total + read(bucket), 0);
    return {
      requests: sum(({ requests }) => requests),
      retries: sum(({ retries }) => retries),
      hasFullSlack: nowMs >= this.#fullFromMs,
    };
  }

  /** A retry counts for one bucket longer than a window: until its whole bucket has left it. */
  #bucket(nowMs: number): Bucket {
    const index = Math.floor(nowMs / this.#bucketMs);
    while (
      this.#buckets.length > 0 && this.#buckets[0].index < index - BUCKETS
    ) {
      this.#buckets.shift();
    }
    const last = this.#buckets.at(-1);
    if (last && last.index >= index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}

function sumRange(counts: readonly number[], from: number, to: number): number {
  let sum = 0;
  for (let at = Math.max(0, from); at < Math.min(to, counts.length); at++) {
    sum += counts[at];
  }
  return sum;
}

/**
 * The requests, by age in buckets, that certainly count for a retry made now. Operators measure the retries of any window
 * against the requests of that window, of the one before it or of the one half a window before it, whichever has most.
 * It is not known yet which of the windows that contain this moment will be the worst.
 */
function countedRequests(requests: readonly number[]): number {
  let least = USED_SHARE * sumRange(requests, 0, BUCKETS);
  for (let begun = 0; begun <= BUCKETS; begun++) {
    const most = Math.max(
      sumRange(requests, 0, begun),
      sumRange(requests, begun - BUCKETS / 2, begun + BUCKETS / 2),
      sumRange(requests, begun, begun + BUCKETS),
    );
    least = Math.min(least, most);
  }
  return least;
}
