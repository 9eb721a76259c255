/**
 * What happens to a request on arrival: refused, sent to another region, or let into the queue.
 *
 * @module
 */

import { Table } from "../agreement/mod.ts";
import { type CodeName, type Failure, failure } from "../base/mod.ts";
import type { Random } from "../base/mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { Exchange, HomeForecast } from "./exchange.ts";
import type { Entry, LaneName } from "./lane_entry.ts";
import { LimitBook, type Use } from "./limits.ts";
import { candidates, weigh } from "./placement.ts";
import type { PoolOptions, PoolOutput } from "./pool_messages.ts";
import { RetryBudget } from "./retry.ts";
import type { SlotRequest } from "./slots.ts";
import type { Held, Upstream } from "./upstream.ts";
import { priceMicrocents, workTokens } from "./work.ts";

/**
 * A workspace may fill the queue up to its share, by weight, of this many times what is left free. One alone gets two
 * thirds of the queue, and there is always room for the first requests of another.
 */
const QUEUE_ALPHA = 2;
/** Queue limit where the table has no row of the service. */
const DEFAULT_QUEUE = 1000;
/** Earliest return of a refused caller. Sooner, and the same refusal would be all it gets. */
const RETRY_MS = { least: 200, most: 30_000 };
/** Callers refused together are spread over this part of their wait, or they would come back together. */
const RETRY_SPREAD = 0.5;

/** What became of an arrival. */
export type Arrival =
  | { readonly type: "queue"; readonly entry: Entry }
  | { readonly type: "answered"; readonly output: PoolOutput };

interface Forecast extends HomeForecast {
  readonly lane: LaneName;
  readonly warmAt: string | undefined;
  readonly rawWaitMs: number;
  readonly work: number;
  readonly use: Use;
}

/** See the module. */
export class Gate {
  readonly #options: PoolOptions;
  readonly #dispatcher: Dispatcher;
  readonly #random: Random;
  readonly #limits: LimitBook;
  readonly #exchange: Exchange;
  readonly #retries = new RetryBudget(0);
  #table = Table.empty;

  constructor(
    options: PoolOptions,
    dispatcher: Dispatcher,
    exchange: Exchange,
    random: Random,
  ) {
    this.#options = options;
    this.#exchange = exchange;
    this.#dispatcher = dispatcher;
    this.#random = random;
    this.#limits = new LimitBook(this.#table, { ...options, pools: 1 });
  }

  configure(table: Table, nowMs: number): void {
    this.#table = table;
    const { service, region } = this.#options;
    const poolSize = table.service(service)?.poolSize ?? Infinity;
    const upstreams = table.upstreams(service, region).length;
    const pools = Math.max(1, Math.ceil(upstreams / poolSize));
    this.#limits.configure(table, { service, region, pools }, nowMs);
  }

  arrive(request: SlotRequest, nowMs: number): Arrival {
    const bound = this.#residency(request);
    if (bound) return refused(request, bound);
    this.#exchange.arrived(request, nowMs);
    if (request.deadlineMs <= nowMs) {
      return refused(request, failure("deadlinePassed"));
    }
    const forecast = this.#forecast(request, nowMs);
    const sent = this.#exchange.send(request, forecast, nowMs);
    if (sent) return { type: "answered", output: sent };
    const no = this.#refusal(request, forecast, nowMs);
    if (no || !forecast) {
      return refused(request, no ?? this.#noUpstream(nowMs));
    }
    return { type: "queue", entry: this.#enter(request, forecast, nowMs) };
  }

  /** Refuses what can no longer start in time; once no upstream is left, sends away or refuses all. */
  refuseLate(nowMs: number): PoolOutput[] {
    const { lanes, fleet } = this.#dispatcher;
    if (!fleet.usable(nowMs)) {
      return lanes.clear().map((entry) => {
        this.forget(entry);
        return this.#exchange.send(entry.request, undefined, nowMs) ??
          answer(entry.request, this.#noUpstream(nowMs));
      });
    }
    return lanes.removeLate(nowMs).map((entry) => {
      this.forget(entry);
      this.#dispatcher.waits.ended(entry, nowMs);
      const waitMs = this.#dispatcher.waits.emptyMs();
      const why = this.#later("expiredInQueue", waitMs, nowMs);
      return answer(entry.request, why);
    });
  }

  /** A queued request was given up: it used nothing. */
  forget(entry: Entry): void {
    const nothing = { workTokens: 0, microcents: 0 };
    this.#limits.release(entry.request.workspace, entry.use, nothing);
  }

  /** A slot came back after an answer of this many tokens. */
  release(held: Held, outputTokens: number): void {
    if (!held.use) return;
    const actual = this.#use(
      workTokens({
        promptTokens: held.coldTokens,
        expectedOutputTokens: outputTokens,
      }),
      held.upstream,
    );
    this.#limits.release(held.workspace, held.use, actual);
  }

  // Checked here too, although the VM that took the request checks it first: a version of the table older than the edit
  // that bound a workspace may still be in force there.
  #residency(request: SlotRequest): Failure | undefined {
    const row = this.#table.workspace(request.workspace);
    const { region } = this.#options;
    if (request.sentFrom === undefined) {
      const elsewhere = row?.bound && row.home !== region;
      return elsewhere ? failure("homeElsewhere") : undefined;
    }
    return row?.bound === false ? undefined : failure("homeElsewhere");
  }

  #refusal(
    request: SlotRequest,
    forecast: Forecast | undefined,
    nowMs: number,
  ): Failure | undefined {
    if (!forecast) return this.#noUpstream(nowMs);
    if (request.sentFrom !== undefined && !this.#exchange.takesIn(nowMs)) {
      return this.#later("receiverRefused", 0, nowMs);
    }
    const full = this.#queueFull(request, nowMs);
    if (full) return full;
    const slackMs = request.deadlineMs - nowMs;
    const totalMs = forecast.waitMs + forecast.firstMs;
    if (totalMs > slackMs) {
      return this.#later("wouldMissDeadline", totalMs - slackMs, nowMs);
    }
    const limited = this.#limits.refusal(
      request.workspace,
      forecast.use,
      nowMs,
    );
    if (limited) return limited;
    return request.exclude.length > 0 ? this.#retryRefusal(nowMs) : undefined;
  }

  #retryRefusal(nowMs: number): Failure | undefined {
    if (this.#retries.tryTake(nowMs)) return undefined;
    return failure("noUpstream", {
      retryAtMs: this.#retries.readyAtMs(nowMs),
      message: "the retry budget is used up",
    });
  }

  #queueFull(request: SlotRequest, nowMs: number): Failure | undefined {
    const { lanes } = this.#dispatcher;
    const { service } = this.#options;
    const limit = this.#table.service(service)?.queueLimit ?? DEFAULT_QUEUE;
    const free = Math.max(0, limit - lanes.size);
    const weight = this.#weight(request.workspace);
    const share = weight / Math.max(weight, lanes.activeWeight);
    const allowed = Math.max(1, QUEUE_ALPHA * free * share);
    if (free > 0 && lanes.countOf(request.workspace) < allowed) {
      return undefined;
    }
    return this.#later(
      "queueFull",
      this.#dispatcher.waits.emptyMs(),
      nowMs,
    );
  }

  #enter(request: SlotRequest, forecast: Forecast, nowMs: number): Entry {
    if (request.exclude.length === 0) this.#retries.firstAttempt();
    this.#limits.take(request.workspace, forecast.use, nowMs);
    return {
      request,
      lane: forecast.lane,
      weight: this.#weight(request.workspace),
      work: forecast.work,
      use: forecast.use,
      queuedAtMs: nowMs,
      rawWaitMs: forecast.rawWaitMs,
      latestStartMs: request.deadlineMs - forecast.firstMs,
      warmAt: forecast.warmAt,
      bypassed: 0,
    };
  }

  #forecast(request: SlotRequest, nowMs: number): Forecast | undefined {
    const view = this.#dispatcher.view(nowMs);
    let best: ReturnType<typeof weigh> | undefined;
    let bestMs = Infinity;
    for (const upstream of candidates(request, view)) {
      if (request.exclude.includes(upstream.row.id)) continue;
      if (!upstream.health.usable(nowMs)) continue;
      const found = weigh(request, upstream, view);
      if (found.firstMs >= bestMs) continue;
      best = found;
      bestMs = found.firstMs;
    }
    if (!best) return undefined;
    const { upstream, coldTokens, savedMs, firstMs, long } = best;
    const lane = long ? "long" : "short";
    const weight = this.#weight(request.workspace);
    const ahead = this.#dispatcher.lanes.ahead(lane, request.workspace, weight);
    const work = workTokens(request, request.promptTokens - coldTokens);
    return {
      lane,
      warmAt: savedMs > 0 ? upstream.row.id : undefined,
      ...this.#dispatcher.waits.forecast(lane, ahead),
      firstMs,
      coldMs: upstream.ownMs(request.promptTokens),
      work,
      use: this.#use(work, upstream),
    };
  }

  #use(work: number, upstream: Upstream): Use {
    const region = this.#table.region(this.#options.region);
    const price = region?.upstreamHourMicrocents ?? 0;
    return {
      workTokens: work,
      microcents: priceMicrocents(work, upstream.row, price),
    };
  }

  #weight(workspace: string): number {
    return this.#table.workspace(workspace)?.weight ?? 1;
  }

  #noUpstream(nowMs: number): Failure {
    return this.#later("noUpstream", 1000, nowMs);
  }

  #later(code: CodeName, waitMs: number, nowMs: number): Failure {
    const spread = 1 + RETRY_SPREAD * this.#random.next();
    const bounded = Math.min(
      RETRY_MS.most,
      Math.max(RETRY_MS.least, waitMs * spread),
    );
    return failure(code, { retryAtMs: Math.ceil(nowMs + bounded) });
  }
}

function refused(request: SlotRequest, why: Failure): Arrival {
  return { type: "answered", output: answer(request, why) };
}

function answer(request: SlotRequest, why: Failure): PoolOutput {
  return {
    type: "answer",
    attemptId: request.attemptId,
    answer: { type: "refuse", failure: why },
  };
}
