/**
 * Limits of rows: requests and tokens a second, requests side by side, and spend an hour.
 *
 * Each lead holds a fixed part of every limit and asks nobody before it admits, so the parts never add up to more than
 * the row says, also while regions cannot reach each other or the store is down.
 *
 * @module
 */

import type { Table, WorkspaceRow } from "../agreement/mod.ts";
import { type Failure, failure } from "../base/mod.ts";
import { Bucket } from "./bucket.ts";
import {
  type HomeWeights,
  homeWeights,
  limitPart,
  type LimitPlace,
} from "./limit_parts.ts";

/** A rate's bucket holds this much of it: callers send in clumps, and a second smooths them. */
const RATE_BURST_MS = 1000;
const HOUR_MS = 3_600_000;
/**
 * Part of an hour's spend that may go at once. The rest fills evenly over the hour, so that no 60 minutes, wherever they
 * start, cost more than the limit.
 */
const SPEND_BURST = 1 / 12;
/** Earliest return of a caller whose limit gives no time: a concurrency limit frees when one of its requests ends. */
const CONCURRENCY_RETRY_MS = 500;
/** A limit of zero never frees by itself; callers are told to come back when an operator may have raised it. */
const CLOSED_RETRY_MS = 60_000;
/** Meters kept before those idle for {@link IDLE_MS} are dropped. */
const SWEEP_METERS = 512;
const IDLE_MS = HOUR_MS;

/** What a request would use. */
export interface Use {
  readonly workTokens: number;
  readonly microcents: number;
}

interface Limits {
  readonly requestsPerS?: number;
  readonly tokensPerS?: number;
  readonly spendMicrocentsPerHour?: number;
}

/** The use of one row at this lead. */
class Meter {
  running = 0;
  usedAtMs = 0;
  #requests?: Bucket;
  #tokens?: Bucket;
  #spend?: Bucket;

  configure(limits: Limits, part: number, nowMs: number): void {
    const { requestsPerS, tokensPerS, spendMicrocentsPerHour } = limits;
    this.#requests = rate(this.#requests, requestsPerS, part, nowMs);
    this.#tokens = rate(this.#tokens, tokensPerS, part, nowMs);
    this.#spend = spend(this.#spend, spendMicrocentsPerHour, part, nowMs);
  }

  refusal(use: Use, retryOf: string, nowMs: number): Failure | undefined {
    return check(this.#requests, 1, "rateLimited", retryOf, nowMs) ??
      check(this.#tokens, use.workTokens, "rateLimited", retryOf, nowMs) ??
      check(this.#spend, use.microcents, "spendExhausted", retryOf, nowMs);
  }

  take(use: Use, nowMs: number): void {
    this.usedAtMs = nowMs;
    this.#requests?.take(1, nowMs);
    this.#tokens?.take(use.workTokens, nowMs);
    this.#spend?.take(use.microcents, nowMs);
  }

  settle(estimated: Use, actual: Use): void {
    this.#tokens?.refund(estimated.workTokens - actual.workTokens);
    this.#spend?.refund(estimated.microcents - actual.microcents);
  }
}

function rate(
  bucket: Bucket | undefined,
  perS: number | undefined,
  part: number,
  nowMs: number,
): Bucket | undefined {
  if (perS === undefined) return undefined;
  const perMs = (perS * part) / 1000;
  // At least one request fits, or a small part of a small limit would let none pass.
  const most = perS === 0 ? 0 : Math.max(1, perMs * RATE_BURST_MS);
  if (!bucket) return new Bucket(perMs, most, nowMs);
  bucket.resize(perMs, most, nowMs);
  return bucket;
}

function spend(
  bucket: Bucket | undefined,
  perHour: number | undefined,
  part: number,
  nowMs: number,
): Bucket | undefined {
  if (perHour === undefined) return undefined;
  const most = perHour * part * SPEND_BURST;
  const perMs = (perHour * part * (1 - SPEND_BURST)) / HOUR_MS;
  if (!bucket) return new Bucket(perMs, most, nowMs);
  bucket.resize(perMs, most, nowMs);
  return bucket;
}

function check(
  bucket: Bucket | undefined,
  amount: number,
  code: "rateLimited" | "spendExhausted",
  row: string,
  nowMs: number,
): Failure | undefined {
  if (!bucket) return undefined;
  const readyAtMs = bucket.readyAtMs(amount, nowMs);
  if (readyAtMs <= nowMs) return undefined;
  const retryAtMs = Number.isFinite(readyAtMs)
    ? Math.ceil(readyAtMs)
    : nowMs + CLOSED_RETRY_MS;
  return failure(code, {
    retryAtMs,
    message: `the limit of ${row} is used up`,
  });
}

/** The meters of a lead. */
export class LimitBook {
  readonly #meters = new Map<string, Meter>();
  #table: Table;
  #place: LimitPlace;
  #weights: ReadonlyMap<string, HomeWeights> = new Map();
  #traffic?: Meter;

  constructor(table: Table, place: LimitPlace) {
    this.#table = table;
    this.#place = place;
  }

  configure(table: Table, place: LimitPlace, nowMs: number): void {
    this.#table = table;
    this.#place = place;
    this.#weights = homeWeights(table);
    for (const [id, meter] of this.#meters) this.#fit(id, meter, nowMs);
    const row = table.traffic(place.service, place.region);
    this.#traffic ??= new Meter();
    this.#traffic.configure(row ?? {}, 1 / place.pools, nowMs);
  }

  /** Why the request may not pass now, if so. */
  refusal(workspace: string, use: Use, nowMs: number): Failure | undefined {
    const meter = this.#meter(workspace, nowMs);
    const { service, region } = this.#place;
    const row = this.#table.workspace(workspace);
    const limit = row?.concurrency;
    if (
      limit !== undefined &&
      meter.running >= concurrencyPart(limit, this.#part(row))
    ) {
      return failure("concurrencyLimited", {
        retryAtMs: nowMs + CONCURRENCY_RETRY_MS,
      });
    }
    return meter.refusal(use, `workspace ${workspace}`, nowMs) ??
      this.#traffic?.refusal(use, `${service} in ${region}`, nowMs);
  }

  /** The request passed: it counts from now, queued or running. */
  take(workspace: string, use: Use, nowMs: number): void {
    const meter = this.#meter(workspace, nowMs);
    meter.running++;
    meter.take(use, nowMs);
    this.#traffic?.take(use, nowMs);
  }

  /** The request ended; what it did not use is given back. */
  release(workspace: string, estimated: Use, actual: Use): void {
    const meter = this.#meters.get(workspace);
    if (!meter) return;
    meter.running = Math.max(0, meter.running - 1);
    meter.settle(estimated, actual);
    this.#traffic?.settle(estimated, actual);
  }

  #meter(workspace: string, nowMs: number): Meter {
    let meter = this.#meters.get(workspace);
    if (!meter) {
      if (this.#meters.size >= SWEEP_METERS) this.#sweep(nowMs);
      meter = new Meter();
      this.#fit(workspace, meter, nowMs);
      this.#meters.set(workspace, meter);
    }
    return meter;
  }

  #fit(workspace: string, meter: Meter, nowMs: number): void {
    const row = this.#table.workspace(workspace);
    meter.configure(row ?? {}, this.#part(row), nowMs);
  }

  #part(row: WorkspaceRow | undefined): number {
    return row ? limitPart(this.#table, row, this.#place, this.#weights) : 1;
  }

  #sweep(nowMs: number): void {
    for (const [id, meter] of this.#meters) {
      if (meter.running === 0 && nowMs - meter.usedAtMs > IDLE_MS) {
        this.#meters.delete(id);
      }
    }
  }
}

// A part below one rounds up: with a limit of one, held in three parts, every lead would otherwise refuse for ever. The
// limit may then be passed by at most the number of leads, which only matters to limits smaller than that.
function concurrencyPart(limit: number, part: number): number {
  if (limit === 0 || part === 0) return 0;
  return Math.max(1, Math.floor(limit * part));
}
