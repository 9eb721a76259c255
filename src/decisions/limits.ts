/**
 * Limits of rows: requests and tokens per second, concurrent requests, and spend per hour.
 *
 * Each lead holds a fixed part of every limit and asks no other VM before it admits a request. So the parts never add
 * up to more than the row's limit, even while regions cannot reach each other or the store is down.
 *
 * @module
 */

import type { Table, WorkspaceRow } from "../agreement/mod.ts";
import { type Failure, failure } from "../base/mod.ts";
import { TokenBucket } from "./token_bucket.ts";
import {
  computeHomeWeights,
  computeLimitPart,
  type HomeWeights,
  type LimitScope,
} from "./limit_parts.ts";

/** A rate's bucket holds what the rate allows in this time, since callers send in bursts. */
const RATE_BURST_MS = 1000;
const HOUR_MS = 3_600_000;
/**
 * Part of an hour's spend that may be used at once. The rest refills evenly over the hour, so that no 60 minutes,
 * wherever they start, cost more than the limit.
 */
const SPEND_BURST_SHARE = 1 / 12;
/**
 * Retry delay at a concurrency limit. When it frees is unknown, as one of the workspace's requests has to end first.
 */
const CONCURRENCY_RETRY_MS = 500;
/** Retry delay at a limit of zero, which never frees by itself: by then an operator may have raised it. */
const ZERO_LIMIT_RETRY_MS = 60_000;
/** Meters idle for {@link IDLE_MS} are dropped only once there are this many. */
const MIN_SWEEP_METERS = 512;
const IDLE_MS = HOUR_MS;

/** Work and price of a request, estimated or actual. */
export interface RequestCost {
  readonly workTokens: number;
  readonly microcents: number;
}

interface Limits {
  readonly requestsPerS?: number;
  readonly tokensPerS?: number;
  readonly spendMicrocentsPerHour?: number;
}

/** Tracks the use of one row's limits at this lead. */
class Meter {
  running = 0;
  usedAtMs = 0;
  #requests?: TokenBucket;
  #tokens?: TokenBucket;
  #spend?: TokenBucket;

  configure(limits: Limits, part: number, nowMs: number): void {
    const { requestsPerS, tokensPerS, spendMicrocentsPerHour } = limits;
    this.#requests = fitRateBucket(this.#requests, requestsPerS, part, nowMs);
    this.#tokens = fitRateBucket(this.#tokens, tokensPerS, part, nowMs);
    this.#spend = fitSpendBucket(
      this.#spend,
      spendMicrocentsPerHour,
      part,
      nowMs,
    );
  }

  findRefusal(
    cost: RequestCost,
    rowName: string,
    nowMs: number,
  ): Failure | undefined {
    return checkBucket(this.#requests, 1, "rateLimited", rowName, nowMs) ??
      checkBucket(
        this.#tokens,
        cost.workTokens,
        "rateLimited",
        rowName,
        nowMs,
      ) ??
      checkBucket(
        this.#spend,
        cost.microcents,
        "spendExhausted",
        rowName,
        nowMs,
      );
  }

  charge(cost: RequestCost, nowMs: number): void {
    this.usedAtMs = nowMs;
    this.#requests?.take(1, nowMs);
    this.#tokens?.take(cost.workTokens, nowMs);
    this.#spend?.take(cost.microcents, nowMs);
  }

  settle(estimated: RequestCost, actual: RequestCost): void {
    this.#tokens?.refund(estimated.workTokens - actual.workTokens);
    this.#spend?.refund(estimated.microcents - actual.microcents);
  }
}

function fitRateBucket(
  bucket: TokenBucket | undefined,
  perS: number | undefined,
  part: number,
  nowMs: number,
): TokenBucket | undefined {
  if (perS === undefined) return undefined;
  const perMs = (perS * part) / 1000;
  // The bucket holds at least one request; otherwise a small part of a small limit would let none pass.
  const capacity = perS === 0 ? 0 : Math.max(1, perMs * RATE_BURST_MS);
  if (!bucket) return new TokenBucket(perMs, capacity, nowMs);
  bucket.resize(perMs, capacity, nowMs);
  return bucket;
}

function fitSpendBucket(
  bucket: TokenBucket | undefined,
  perHour: number | undefined,
  part: number,
  nowMs: number,
): TokenBucket | undefined {
  if (perHour === undefined) return undefined;
  const capacity = perHour * part * SPEND_BURST_SHARE;
  const perMs = (perHour * part * (1 - SPEND_BURST_SHARE)) / HOUR_MS;
  if (!bucket) return new TokenBucket(perMs, capacity, nowMs);
  bucket.resize(perMs, capacity, nowMs);
  return bucket;
}

function checkBucket(
  bucket: TokenBucket | undefined,
  amount: number,
  code: "rateLimited" | "spendExhausted",
  rowName: string,
  nowMs: number,
): Failure | undefined {
  if (!bucket) return undefined;
  const readyAtMs = bucket.readyAtMs(amount, nowMs);
  if (readyAtMs <= nowMs) return undefined;
  const retryAtMs = Number.isFinite(readyAtMs)
    ? Math.ceil(readyAtMs)
    : nowMs + ZERO_LIMIT_RETRY_MS;
  return failure(code, {
    retryAtMs,
    message: `the limit of ${rowName} is used up`,
  });
}

/** Applies this lead's part of all limits. */
export class Limiter {
  readonly #meters = new Map<string, Meter>();
  #table: Table;
  #scope: LimitScope;
  #weights: ReadonlyMap<string, HomeWeights> = new Map();
  #trafficMeter?: Meter;

  constructor(table: Table, scope: LimitScope) {
    this.#table = table;
    this.#scope = scope;
  }

  configure(table: Table, scope: LimitScope, nowMs: number): void {
    this.#table = table;
    this.#scope = scope;
    this.#weights = computeHomeWeights(table);
    for (const [id, meter] of this.#meters) {
      this.#configureMeter(id, meter, nowMs);
    }
    const row = table.traffic(scope.service, scope.region);
    this.#trafficMeter ??= new Meter();
    this.#trafficMeter.configure(row ?? {}, 1 / scope.pools, nowMs);
  }

  /** Returns the failure if a limit does not let the request pass now. */
  findRefusal(
    workspace: string,
    cost: RequestCost,
    nowMs: number,
  ): Failure | undefined {
    const meter = this.#meterOf(workspace, nowMs);
    const { service, region } = this.#scope;
    const row = this.#table.workspace(workspace);
    const limit = row?.concurrency;
    if (
      limit !== undefined &&
      meter.running >= concurrencyPart(limit, this.#partOf(row))
    ) {
      return failure("concurrencyLimited", {
        retryAtMs: nowMs + CONCURRENCY_RETRY_MS,
      });
    }
    return meter.findRefusal(cost, `workspace ${workspace}`, nowMs) ??
      this.#trafficMeter?.findRefusal(cost, `${service} in ${region}`, nowMs);
  }

  /** Charges an admitted request, which counts from now on, queued or running. */
  charge(workspace: string, cost: RequestCost, nowMs: number): void {
    const meter = this.#meterOf(workspace, nowMs);
    meter.running++;
    meter.charge(cost, nowMs);
    this.#trafficMeter?.charge(cost, nowMs);
  }

  /** Ends a request and refunds what it did not use. */
  release(
    workspace: string,
    estimated: RequestCost,
    actual: RequestCost,
  ): void {
    const meter = this.#meters.get(workspace);
    if (!meter) return;
    meter.running = Math.max(0, meter.running - 1);
    meter.settle(estimated, actual);
    this.#trafficMeter?.settle(estimated, actual);
  }

  #meterOf(workspace: string, nowMs: number): Meter {
    let meter = this.#meters.get(workspace);
    if (!meter) {
      if (this.#meters.size >= MIN_SWEEP_METERS) this.#sweep(nowMs);
      meter = new Meter();
      this.#configureMeter(workspace, meter, nowMs);
      this.#meters.set(workspace, meter);
    }
    return meter;
  }

  #configureMeter(workspace: string, meter: Meter, nowMs: number): void {
    const row = this.#table.workspace(workspace);
    meter.configure(row ?? {}, this.#partOf(row), nowMs);
  }

  #partOf(row: WorkspaceRow | undefined): number {
    return row
      ? computeLimitPart(this.#table, row, this.#scope, this.#weights)
      : 1;
  }

  #sweep(nowMs: number): void {
    for (const [id, meter] of this.#meters) {
      if (meter.running === 0 && nowMs - meter.usedAtMs > IDLE_MS) {
        this.#meters.delete(id);
      }
    }
  }
}

// A part below one rounds up: with a limit of one, held in three parts, every lead would otherwise refuse all requests.
// The limit may then be exceeded by at most the number of leads, which only matters to limits smaller than that.
function concurrencyPart(limit: number, part: number): number {
  if (limit === 0 || part === 0) return 0;
  return Math.max(1, Math.floor(limit * part));
}
