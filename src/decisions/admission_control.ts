/**
 * Admission control: an arriving request is refused, sent to another region or queued.
 *
 * @module
 */

import { Table } from "../agreement/mod.ts";
import { type CodeName, type Failure, failure } from "../base/mod.ts";
import type { Random } from "../base/mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { HomeForecast, RegionRouter } from "./region_router.ts";
import type { LaneName, QueueEntry } from "./queue_entry.ts";
import { Limiter, type RequestCost } from "./limits.ts";
import { candidateUpstreams, evaluate } from "./placement.ts";
import type { PoolOptions, PoolOutput } from "./pool_messages.ts";
import { RetryBudget } from "./retry.ts";
import type { SlotRequest } from "./slots.ts";
import type { HeldAttempt, Upstream } from "./upstream.ts";
import { priceMicrocents, workTokens } from "./work.ts";

/**
 * A workspace may fill the queue up to its share, by weight, of this many times the free places. A single workspace
 * gets two thirds of the queue, so there is always room for the first requests of another.
 */
const QUEUE_SHARE_FACTOR = 2;
/** Queue limit of a service that has no row in the table. */
const DEFAULT_QUEUE_LIMIT = 1000;
/**
 * Bounds of the time after which a refused caller may retry. A caller that retried sooner would only be refused again.
 */
const RETRY_DELAY_MS = { min: 200, max: 30_000 };
/**
 * Retries of callers refused together are spread over this part of their delay, so that they do not all come back at
 * once.
 */
const RETRY_JITTER = 0.5;

/** Result of an arrival: a queue entry, or an answer. */
export type AdmissionResult =
  | { readonly type: "queue"; readonly entry: QueueEntry }
  | { readonly type: "answered"; readonly output: PoolOutput };

interface Forecast extends HomeForecast {
  readonly lane: LaneName;
  readonly prefixUpstreamId: string | undefined;
  readonly rawWaitMs: number;
  readonly work: number;
  readonly cost: RequestCost;
}

/** Decides whether an arriving request is queued, sent to another region or refused. */
export class AdmissionControl {
  readonly #options: PoolOptions;
  readonly #dispatcher: Dispatcher;
  readonly #random: Random;
  readonly #limiter: Limiter;
  readonly #regionRouter: RegionRouter;
  readonly #retryBudget = new RetryBudget(0);
  #table = Table.empty;

  constructor(
    options: PoolOptions,
    dispatcher: Dispatcher,
    regionRouter: RegionRouter,
    random: Random,
  ) {
    this.#options = options;
    this.#regionRouter = regionRouter;
    this.#dispatcher = dispatcher;
    this.#random = random;
    this.#limiter = new Limiter(this.#table, { ...options, pools: 1 });
  }

  configure(table: Table, nowMs: number): void {
    this.#table = table;
    const { service, region } = this.#options;
    const poolSize = table.service(service)?.poolSize ?? Infinity;
    const upstreams = table.upstreams(service, region).length;
    const pools = Math.max(1, Math.ceil(upstreams / poolSize));
    this.#limiter.configure(table, { service, region, pools }, nowMs);
  }

  admit(request: SlotRequest, nowMs: number): AdmissionResult {
    const residencyFailure = this.#checkResidency(request);
    if (residencyFailure) return refusedResult(request, residencyFailure);
    this.#regionRouter.recordArrival(request, nowMs);
    if (request.deadlineMs <= nowMs) {
      return refusedResult(request, failure("deadlinePassed"));
    }
    const forecast = this.#forecast(request, nowMs);
    const sent = this.#regionRouter.trySend(request, forecast, nowMs);
    if (sent) return { type: "answered", output: sent };
    const refusal = this.#findRefusal(request, forecast, nowMs);
    if (refusal || !forecast) {
      return refusedResult(request, refusal ?? this.#noUpstreamFailure(nowMs));
    }
    return {
      type: "queue",
      entry: this.#createEntry(request, forecast, nowMs),
    };
  }

  /**
   * Refuses the queued requests that can no longer start in time. When no upstream is usable, sends all of them to
   * other regions or refuses them.
   */
  refuseLate(nowMs: number): PoolOutput[] {
    const { lanes, fleet } = this.#dispatcher;
    if (!fleet.hasUsable(nowMs)) {
      return lanes.clear().map((entry) => {
        this.releaseQueued(entry);
        return this.#regionRouter.trySend(entry.request, undefined, nowMs) ??
          refusalOutput(entry.request, this.#noUpstreamFailure(nowMs));
      });
    }
    return lanes.removeLate(nowMs).map((entry) => {
      this.releaseQueued(entry);
      this.#dispatcher.waits.recordWait(entry, nowMs);
      const waitMs = this.#dispatcher.waits.queueDrainMs();
      const reason = this.#retryableFailure("expiredInQueue", waitMs, nowMs);
      return refusalOutput(entry.request, reason);
    });
  }

  /** Refunds what the limits were charged for a queued request that left the queue without running. */
  releaseQueued(entry: QueueEntry): void {
    const nothing = { workTokens: 0, microcents: 0 };
    this.#limiter.release(entry.request.workspace, entry.cost, nothing);
  }

  /** Settles the limits for an attempt that ended after an answer of this many tokens. */
  releaseHeld(held: HeldAttempt, outputTokens: number): void {
    if (!held.cost) return;
    const actual = this.#costOf(
      workTokens({
        promptTokens: held.coldTokens,
        expectedOutputTokens: outputTokens,
      }),
      held.upstream,
    );
    this.#limiter.release(held.workspace, held.cost, actual);
  }

  // The VM that received the request checks this first, but it may still use a version of the table from before the
  // edit that bound the workspace. So it is checked here too.
  #checkResidency(request: SlotRequest): Failure | undefined {
    const row = this.#table.workspace(request.workspace);
    const { region } = this.#options;
    if (request.sentFrom === undefined) {
      const elsewhere = row?.bound && row.home !== region;
      return elsewhere ? failure("homeElsewhere") : undefined;
    }
    return row?.bound === false ? undefined : failure("homeElsewhere");
  }

  #findRefusal(
    request: SlotRequest,
    forecast: Forecast | undefined,
    nowMs: number,
  ): Failure | undefined {
    if (!forecast) return this.#noUpstreamFailure(nowMs);
    if (
      request.sentFrom !== undefined &&
      !this.#regionRouter.acceptsRequests(nowMs)
    ) {
      return this.#retryableFailure("receiverRefused", 0, nowMs);
    }
    const full = this.#checkQueueLimit(request, nowMs);
    if (full) return full;
    const slackMs = request.deadlineMs - nowMs;
    const totalMs = forecast.waitMs + forecast.firstTokenMs;
    if (totalMs > slackMs) {
      return this.#retryableFailure(
        "wouldMissDeadline",
        totalMs - slackMs,
        nowMs,
      );
    }
    const limited = this.#limiter.findRefusal(
      request.workspace,
      forecast.cost,
      nowMs,
    );
    if (limited) return limited;
    return request.exclude.length > 0 ? this.#takeRetry(nowMs) : undefined;
  }

  #takeRetry(nowMs: number): Failure | undefined {
    if (this.#retryBudget.tryTake(nowMs)) return undefined;
    return failure("noUpstream", {
      retryAtMs: this.#retryBudget.readyAtMs(nowMs),
      message: "the retry budget is used up",
    });
  }

  #checkQueueLimit(request: SlotRequest, nowMs: number): Failure | undefined {
    const { lanes } = this.#dispatcher;
    const { service } = this.#options;
    const limit = this.#table.service(service)?.queueLimit ??
      DEFAULT_QUEUE_LIMIT;
    const free = Math.max(0, limit - lanes.size);
    const weight = this.#weightOf(request.workspace);
    const share = weight / Math.max(weight, lanes.activeWeight);
    const allowed = Math.max(1, QUEUE_SHARE_FACTOR * free * share);
    if (free > 0 && lanes.countOf(request.workspace) < allowed) {
      return undefined;
    }
    return this.#retryableFailure(
      "queueFull",
      this.#dispatcher.waits.queueDrainMs(),
      nowMs,
    );
  }

  #createEntry(
    request: SlotRequest,
    forecast: Forecast,
    nowMs: number,
  ): QueueEntry {
    if (request.exclude.length === 0) this.#retryBudget.recordFirstAttempt();
    this.#limiter.charge(request.workspace, forecast.cost, nowMs);
    return {
      request,
      lane: forecast.lane,
      weight: this.#weightOf(request.workspace),
      work: forecast.work,
      cost: forecast.cost,
      queuedAtMs: nowMs,
      rawWaitMs: forecast.rawWaitMs,
      latestStartMs: request.deadlineMs - forecast.firstTokenMs,
      prefixUpstreamId: forecast.prefixUpstreamId,
      bypassCount: 0,
    };
  }

  #forecast(request: SlotRequest, nowMs: number): Forecast | undefined {
    const view = this.#dispatcher.placementView(nowMs);
    let best: ReturnType<typeof evaluate> | undefined;
    let bestMs = Infinity;
    for (const upstream of candidateUpstreams(request, view)) {
      if (request.exclude.includes(upstream.row.id)) continue;
      if (!upstream.health.isUsable(nowMs)) continue;
      const found = evaluate(request, upstream, view);
      if (found.firstTokenMs >= bestMs) continue;
      best = found;
      bestMs = found.firstTokenMs;
    }
    if (!best) return undefined;
    const {
      upstream,
      coldTokens,
      savedMs,
      firstTokenMs: firstMs,
      isLong: long,
    } = best;
    const lane = long ? "long" : "short";
    const weight = this.#weightOf(request.workspace);
    const ahead = this.#dispatcher.lanes.workAhead(
      lane,
      request.workspace,
      weight,
    );
    const work = workTokens(request, request.promptTokens - coldTokens);
    return {
      lane,
      prefixUpstreamId: savedMs > 0 ? upstream.row.id : undefined,
      ...this.#dispatcher.waits.forecast(lane, ahead),
      firstTokenMs: firstMs,
      coldMs: upstream.idleFirstTokenMs(request.promptTokens),
      work,
      cost: this.#costOf(work, upstream),
    };
  }

  #costOf(work: number, upstream: Upstream): RequestCost {
    const region = this.#table.region(this.#options.region);
    const price = region?.upstreamHourMicrocents ?? 0;
    return {
      workTokens: work,
      microcents: priceMicrocents(work, upstream.row, price),
    };
  }

  #weightOf(workspace: string): number {
    return this.#table.workspace(workspace)?.weight ?? 1;
  }

  #noUpstreamFailure(nowMs: number): Failure {
    return this.#retryableFailure("noUpstream", 1000, nowMs);
  }

  #retryableFailure(code: CodeName, waitMs: number, nowMs: number): Failure {
    const jitter = 1 + RETRY_JITTER * this.#random.next();
    const bounded = Math.min(
      RETRY_DELAY_MS.max,
      Math.max(RETRY_DELAY_MS.min, waitMs * jitter),
    );
    return failure(code, { retryAtMs: Math.ceil(nowMs + bounded) });
  }
}

function refusedResult(request: SlotRequest, reason: Failure): AdmissionResult {
  return { type: "answered", output: refusalOutput(request, reason) };
}

function refusalOutput(request: SlotRequest, reason: Failure): PoolOutput {
  return {
    type: "answer",
    attemptId: request.attemptId,
    answer: { type: "refuse", failure: reason },
  };
}
