/**
 * The policies that the bench compares: those of common proxies, the lead of this gateway, and an oracle.
 *
 * @module
 */

import type { Table } from "../src/agreement/mod.ts";
import { Random } from "../src/base/mod.ts";
import {
  type HeldSlot,
  Pool,
  type PoolDigest,
  type PoolOutput,
  type RemoteRegion,
  type SlotAnswer,
  type SlotReport,
  type SlotRequest,
} from "../src/decisions/mod.ts";
import type { Engine } from "./engine.ts";

/** What a policy may know of its region, and how it returns its decisions. */
export interface PolicyContext {
  readonly region: string;
  readonly service: string;
  readonly table: Table;
  readonly engines: readonly Engine[];
  readonly seed: number;
  readonly onAnswer: (attemptId: string, answer: SlotAnswer) => void;
  readonly onOrder: (upstreamId: string, want: "active" | "parked") => void;
}

/** Chooses upstreams for requests. The bench's rows name the policies. */
export abstract class Policy {
  readonly context: PolicyContext;

  constructor(context: PolicyContext) {
    this.context = context;
  }
  abstract requestSlot(request: SlotRequest, nowMs: number): void;
  cancel(_attemptId: string, _nowMs: number): void {}
  report(_report: SlotReport, _nowMs: number): void {}
  renew(_attemptIds: readonly string[], _nowMs: number): void {}
  tick(_nowMs: number): void {}
  observe(_loads: readonly LaggedLoad[], _nowMs: number): void {}
  setRemoteRegions(_regions: readonly RemoteRegion[], _nowMs: number): void {}
  digest(_nowMs: number): PoolDigest | undefined {
    return undefined;
  }

  protected grant(request: SlotRequest, engine: Engine): void {
    this.context.onAnswer(request.attemptId, {
      type: "grant",
      attemptId: request.attemptId,
      upstreamId: engine.options.id,
      url: "",
      expiresAtMs: Infinity,
      queuedMs: 0,
    });
  }
  protected candidates(request: SlotRequest): readonly Engine[] {
    const { engines } = this.context;
    const untried = engines.filter((e) =>
      !request.exclude.includes(e.options.id)
    );
    return untried.length > 0 ? untried : engines;
  }
}

/** A load report that arrives after the configured lag. */
export interface LaggedLoad {
  readonly upstreamId: string;
  readonly running: number;
  readonly waiting: number;
  readonly atMs: number;
}

/** Uses each upstream in turn. */
export class RoundRobin extends Policy {
  #next = 0;
  requestSlot(request: SlotRequest): void {
    const engines = this.candidates(request);
    this.grant(request, engines[this.#next++ % engines.length]);
  }
}

/** Number of VMs that choose independently of each other, as common proxies do. */
const VM_COUNT = 6;

/** The load that one VM knows of: the last reports, and what it has sent itself since. */
class VmLoadView {
  readonly #reported = new Map<string, number>();
  readonly #sentSince = new Map<string, number>();

  load(engine: Engine): number {
    const { id } = engine.options;
    return (this.#reported.get(id) ?? 0) + (this.#sentSince.get(id) ?? 0);
  }
  countSent(engine: Engine): void {
    const { id } = engine.options;
    this.#sentSince.set(id, (this.#sentSince.get(id) ?? 0) + 1);
  }
  observe(loads: readonly LaggedLoad[]): void {
    this.#sentSince.clear();
    for (const load of loads) {
      this.#reported.set(load.upstreamId, load.running + load.waiting);
    }
  }
}

abstract class LoadPolicy extends Policy {
  protected readonly random = new Random(this.context.seed);
  readonly #views = Array.from({ length: VM_COUNT }, () => new VmLoadView());

  requestSlot(request: SlotRequest): void {
    const view = this.random.pick(this.#views);
    const engine = this.choose(this.candidates(request), view);
    view.countSent(engine);
    this.grant(request, engine);
  }
  override observe(loads: readonly LaggedLoad[]): void {
    for (const view of this.#views) view.observe(loads);
  }
  protected abstract choose(
    engines: readonly Engine[],
    view: VmLoadView,
  ): Engine;
}

/** Chooses the least loaded upstream by load reports that lag. */
export class LeastRequests extends LoadPolicy {
  protected choose(engines: readonly Engine[], view: VmLoadView): Engine {
    const least = Math.min(...engines.map((e) => view.load(e)));
    return this.random.pick(engines.filter((e) => view.load(e) === least));
  }
}

/** Draws two upstreams at random and chooses the less loaded one. */
export class PowerOfTwo extends LoadPolicy {
  protected choose(engines: readonly Engine[], view: VmLoadView): Engine {
    const a = this.random.pick(engines);
    const b = this.random.pick(engines);
    return view.load(a) <= view.load(b) ? a : b;
  }
}

/** Uses the decisions of this gateway's lead. */
export class Lead extends Policy {
  readonly pool: Pool;

  constructor(context: PolicyContext, startMs = 0, seed = context.seed) {
    super(context);
    const { service, region, table } = context;
    this.pool = new Pool({ service, region, seed });
    this.pool.configure(table, table.upstreams(service, region), startMs);
  }
  /** Tells a new lead which slots VMs hold. */
  adopt(held: readonly HeldSlot[], nowMs: number): void {
    this.#deliver(this.pool.adopt(held, nowMs));
  }
  requestSlot(request: SlotRequest, nowMs: number): void {
    this.#deliver(this.pool.request(request, nowMs));
  }
  override cancel(attemptId: string, nowMs: number): void {
    this.#deliver(this.pool.cancel(attemptId, nowMs));
  }
  override report(report: SlotReport, nowMs: number): void {
    this.#deliver(this.pool.report(report, nowMs));
  }
  override renew(attemptIds: readonly string[], nowMs: number): void {
    this.pool.renew(attemptIds, nowMs);
  }
  override tick(nowMs: number): void {
    this.#deliver(this.pool.tick(nowMs));
  }
  override observe(loads: readonly LaggedLoad[], nowMs: number): void {
    for (const load of loads) this.#deliver(this.pool.observe(load, nowMs));
  }
  override setRemoteRegions(
    regions: readonly RemoteRegion[],
    nowMs: number,
  ): void {
    this.pool.setRemoteRegions(regions, nowMs);
  }
  override digest(nowMs: number): PoolDigest {
    return this.pool.digest(nowMs);
  }
  #deliver(outputs: readonly PoolOutput[]): void {
    for (const output of outputs) {
      if (output.type === "answer") {
        this.context.onAnswer(output.attemptId, output.answer);
      } else this.context.onOrder(output.upstreamId, output.want);
    }
  }
}

/** Runs the lead's decisions at each VM independently, with a sixth of every upstream's slots and prefill rate. */
export class Alone extends Policy {
  readonly #vms: Lead[];
  readonly #random: Random;
  readonly #vmByAttempt = new Map<string, Lead>();

  constructor(context: PolicyContext) {
    super(context);
    this.#random = new Random(context.seed);
    this.#vms = Array.from(
      { length: VM_COUNT },
      (_, i) => new Lead(context, 0, i),
    );
    const { service, region, table } = context;
    const vmRows = table.upstreams(service, region).map((row) => ({
      ...row,
      slots: Math.ceil(row.slots / VM_COUNT),
      prefillTokensPerS: row.prefillTokensPerS / VM_COUNT,
    }));
    for (const vm of this.#vms) vm.pool.configure(table, vmRows, 0);
  }
  requestSlot(request: SlotRequest, nowMs: number): void {
    const vm = this.#random.pick(this.#vms);
    this.#vmByAttempt.set(request.attemptId, vm);
    vm.requestSlot(request, nowMs);
  }
  override cancel(attemptId: string, nowMs: number): void {
    this.#vmByAttempt.get(attemptId)?.cancel(attemptId, nowMs);
  }
  override report(report: SlotReport, nowMs: number): void {
    this.#vmByAttempt.get(report.attemptId)?.report(report, nowMs);
  }
  override renew(attemptIds: readonly string[], nowMs: number): void {
    for (const vm of this.#vms) vm.renew(attemptIds, nowMs);
  }
  override tick(nowMs: number): void {
    for (const vm of this.#vms) vm.tick(nowMs);
  }
}

/** Maximum number of queued requests that the oracle considers at a time. */
const ORACLE_MAX_REQUESTS = 150;
/** Weight of the request's own prefill time, which the oracle adds to the cost because a prefill also delays others. */
const ORACLE_PREFILL_WEIGHT = 2;

/**
 * Reads the engines' speed, queue and cache directly and without lag, which no lead can do. It keeps a queue, starts
 * the requests that need the least prefill first, drops those that can no longer meet their deadline, and places each
 * where its cost, the time to the first token plus a weight for prefill, is lowest.
 */
export class Oracle extends Policy {
  #queue: SlotRequest[] = [];

  requestSlot(request: SlotRequest, nowMs: number): void {
    this.#queue.push(request);
    if (this.#queue.length === 1) this.#dispatch(nowMs);
  }
  override cancel(attemptId: string): void {
    this.#queue = this.#queue.filter((r) => r.attemptId !== attemptId);
  }
  override tick(nowMs: number): void {
    this.#dispatch(nowMs);
  }
  #dispatch(nowMs: number): void {
    const engines = this.context.engines.filter((e) =>
      !e.isDead && !e.isSilent
    );
    const ordered = this.#queue.slice(0, ORACLE_MAX_REQUESTS).map((
      request,
    ) => ({
      request,
      uncached: Math.min(
        ...engines.map((e) => countUncachedTokens(request, e)),
      ),
    }));
    ordered.sort((a, b) => a.uncached - b.uncached);
    const unplaced: SlotRequest[] = [];
    for (const { request } of ordered) {
      const best = this.#pickEngine(request, engines);
      if (!best) {
        unplaced.push(request);
      } else if (
        nowMs + best.estimateFirstTokenMs(request) <= request.deadlineMs
      ) {
        this.grant(request, best);
      }
    }
    this.#queue = [...unplaced, ...this.#queue.slice(ORACLE_MAX_REQUESTS)];
  }
  #pickEngine(
    request: SlotRequest,
    engines: readonly Engine[],
  ): Engine | undefined {
    let best: Engine | undefined;
    let bestCostMs = Infinity;
    for (const engine of engines) {
      const { slots, prefillTokensPerS } = engine.options;
      const uncached = countUncachedTokens(request, engine);
      const costMs = engine.estimateFirstTokenMs(request) +
        (ORACLE_PREFILL_WEIGHT * uncached * 1000) / prefillTokensPerS +
        (engine.running + engine.waiting >= slots ? engine.slotFreeMs : 0);
      if (costMs >= bestCostMs) continue;
      best = engine;
      bestCostMs = costMs;
    }
    if (!best) return undefined;
    const isFull = best.running + best.waiting >= best.options.slots;
    return isFull || best.prefillTokensLeft > 1200 + request.promptTokens
      ? undefined
      : best;
  }
  protected override grant(request: SlotRequest, engine: Engine): void {
    this.context.onAnswer(request.attemptId, {
      type: "grant",
      attemptId: request.attemptId,
      upstreamId: engine.options.id,
      url: "",
      expiresAtMs: Infinity,
      queuedMs: 0,
      enginePriority: countUncachedTokens(request, engine) > 2000 ? 1 : 2,
    });
  }
}

function countUncachedTokens(request: SlotRequest, engine: Engine): number {
  return request.promptTokens - engine.countCachedTokens(request);
}
