/**
 * Holds a pool's queue, upstreams and granted slots, and grants slots to queued requests.
 *
 * @module
 */

import type { ServiceRow, UpstreamRow } from "../agreement/mod.ts";
import type { Random } from "../base/mod.ts";
import { type Assignment, Scheduler } from "./scheduler.ts";
import { Fleet } from "./fleet.ts";
import type { QueueEntry } from "./queue_entry.ts";
import { Lanes } from "./lanes.ts";
import type { PlacementView } from "./placement.ts";
import {
  type HeldSlot,
  type LoadReport,
  type PoolOutput,
  SLOT_TTL_MS,
} from "./pool_messages.ts";
import { Autoscaler } from "./autoscaler.ts";
import { GrantedSlots } from "./granted_slots.ts";
import type { SlotReport } from "./slots.ts";
import {
  computeOverdueAtMs,
  type HeldAttempt,
  type Upstream,
} from "./upstream.ts";
import { WaitForecaster } from "./wait_forecaster.ts";
import { workTokens } from "./work.ts";

/** Upstreams that may have gained room since the last step. */
export type ChangedUpstreams = "all" | readonly string[];

/** The queue, the upstreams and the granted slots of one pool. */
export class Dispatcher {
  readonly lanes = new Lanes();
  readonly fleet = new Fleet();
  readonly waits = new WaitForecaster(this.lanes);
  readonly #granted = new GrantedSlots();
  readonly #scheduler: Scheduler;
  readonly #autoscaler = new Autoscaler();

  constructor(random: Random) {
    this.#scheduler = new Scheduler(this.lanes, this.fleet, random);
  }

  configure(upstreams: readonly UpstreamRow[], nowMs: number): void {
    this.fleet.configure(upstreams);
    this.#scheduler.start(nowMs);
  }

  /** Returns the earlier grant of this attempt if its slot is still held. */
  grantOf(attemptId: string): PoolOutput | undefined {
    const held = this.#granted.get(attemptId);
    return held && grantOutput(held, 0);
  }

  /**
   * Grants slots to all requests that can be placed: first to those that wait for the upstream that has their prefix
   * cached, then in queue order. `changed` names the upstreams that may have gained room, or all of them: checking all
   * at each step costs more the larger the pool is.
   */
  dispatch(changed: ChangedUpstreams, nowMs: number): PoolOutput[] {
    const outputs: PoolOutput[] = [];
    const assign = (assignment: Assignment) => {
      const held = this.#grantSlot(assignment, nowMs);
      outputs.push(grantOutput(held, nowMs - assignment.entry.queuedAtMs));
    };
    const { affinityQueue: affinity } = this.lanes;
    const ids = changed === "all" ? affinity.upstreamIds() : changed;
    this.#scheduler.placeDeferred(nowMs, ids, assign);
    for (;;) {
      const next = this.#scheduler.takeNext(nowMs);
      if (!next) break;
      assign(next);
    }
    this.lanes.restore();
    return outputs;
  }

  /** Updates the estimates from an attempt's report; returns the attempt if it ended. */
  report(report: SlotReport, nowMs: number): HeldAttempt | undefined {
    const held = this.#granted.get(report.attemptId);
    if (!held) return undefined;
    if (report.firstTokenMs !== undefined && !held.hasStarted) {
      this.fleet.recordFirstToken(held, report.firstTokenMs, nowMs);
    }
    if (report.outcome === "started") return undefined;
    this.#granted.remove(report.attemptId);
    this.fleet.recordEnd(held, report.outcome, nowMs, report.cachedTokens);
    const actual = workTokens({
      promptTokens: held.coldTokens,
      expectedOutputTokens: report.outputTokens,
    });
    this.lanes.charge(held.lane, held.workspace, actual - held.work);
    return held;
  }

  renew(attemptId: string, untilMs: number): boolean {
    return this.lanes.has(attemptId) || this.#granted.renew(attemptId, untilMs);
  }

  /** Frees the slot of an attempt whose caller has gone. */
  cancel(attemptId: string, nowMs: number): HeldAttempt | undefined {
    const held = this.#granted.remove(attemptId);
    if (held) this.fleet.recordEnd(held, "canceled", nowMs);
    return held;
  }

  /** Frees the slots that were not renewed in time, and returns their attempts. */
  expire(nowMs: number): HeldAttempt[] {
    const expired = this.#granted.removeExpired(nowMs);
    for (const held of expired) this.fleet.recordEnd(held, "canceled", nowMs);
    return expired;
  }

  adopt(slot: HeldSlot, nowMs: number): void {
    const upstream = this.fleet.get(slot.upstreamId);
    if (!upstream || this.#granted.get(slot.attemptId)) return;
    const held: HeldAttempt = {
      ...slot,
      upstream,
      work: workTokens(slot),
      coldTokens: 0,
      prefixAgeMs: 0,
      prefixHashes: [],
      lane: "short",
      isLong: false,
      enginePriority: 1,
      isProbe: false,
      grantedAtMs: nowMs,
      firstTokenDueMs: nowMs,
      overdueAtMs: Infinity,
      slowness: 1,
      hasStarted: true,
    };
    this.#granted.add(held);
    upstream.add(held);
  }

  observe(load: LoadReport, nowMs: number): void {
    const cautious = this.#scheduler.isCautious(nowMs);
    this.fleet.get(load.upstreamId)
      ?.observe(load.running + load.waiting, cautious);
  }

  /** Updates the health of the upstreams and the drain rates. */
  advance(nowMs: number): void {
    this.fleet.updateHealth(nowMs);
    this.waits.advance(this.fleet.nominalPerMs(nowMs), nowMs);
  }

  /** Returns the orders that keep as many upstreams awake as the service needs. */
  scale(service: ServiceRow | undefined, nowMs: number): PoolOutput[] {
    const { active } = this.fleet;
    const [first] = active;
    if (!first) return [];
    const step = this.#autoscaler.plan({
      service,
      awake: active.length,
      parked: this.fleet.scaledDown().length,
      perUpstreamPerMs: first.row.prefillTokensPerS / 1000,
      waitMs: this.waits.queueDrainMs(),
      nowMs,
    });
    if (step.type === "park") this.fleet.drainOne();
    const woken = step.type === "wake"
      ? this.fleet.wake(step.count, nowMs)
      : [];
    return [
      ...woken.map((upstream) => orderOutput(upstream, "active")),
      ...this.fleet.parkDrained().map((upstream) =>
        orderOutput(upstream, "parked")
      ),
    ];
  }

  /** Returns the state that a placement depends on. */
  placementView(nowMs: number): PlacementView {
    return this.#scheduler.placementView(nowMs);
  }

  /** Adds an admitted request to the queue. */
  enqueue(entry: QueueEntry, nowMs: number): void {
    if (entry.lane === "short") this.#scheduler.recordShort(nowMs);
    this.lanes.push(entry);
  }

  dump(): Record<string, unknown> {
    return {
      queued: this.lanes.size,
      queuedWork: Math.round(this.lanes.work),
      held: this.#granted.size,
      rateFactors: this.waits.dump(),
      upstreams: this.fleet.dump(),
    };
  }

  #grantSlot(
    { entry, candidate: found }: Assignment,
    nowMs: number,
  ): HeldAttempt {
    const { request } = entry;
    const { upstream } = found;
    const held: HeldAttempt = {
      attemptId: request.attemptId,
      upstream,
      workspace: request.workspace,
      work: entry.work,
      cost: entry.cost,
      promptTokens: request.promptTokens,
      expectedOutputTokens: request.expectedOutputTokens,
      coldTokens: found.coldTokens,
      prefixAgeMs: upstream.cachedPrefixes.ageMs(
        request.prefixHashes[found.matchedBlocks - 1],
        nowMs,
      ),
      prefixHashes: request.prefixHashes,
      lane: entry.lane,
      isLong: found.isLong,
      enginePriority: found.enginePriority,
      isProbe: found.isProbe,
      grantedAtMs: nowMs,
      firstTokenDueMs: nowMs + found.firstTokenMs,
      overdueAtMs: computeOverdueAtMs(nowMs, found.firstTokenMs),
      slowness: upstream.slowness,
      expiresAtMs: nowMs + SLOT_TTL_MS,
      hasStarted: false,
    };
    if (found.isProbe) upstream.health.recordProbe();
    upstream.add(held);
    upstream.cachedPrefixes.touch(request.prefixHashes, nowMs);
    this.#granted.add(held);
    this.waits.recordGrant(entry, nowMs);
    this.#scheduler.recordGrant({ entry, candidate: found }, nowMs);
    this.#autoscaler.recordGrant(entry.work);
    return held;
  }
}

function orderOutput(
  upstream: Upstream,
  want: "active" | "parked",
): PoolOutput {
  return { type: "order", upstreamId: upstream.row.id, want };
}

function grantOutput(held: HeldAttempt, queuedMs: number): PoolOutput {
  return {
    type: "answer",
    attemptId: held.attemptId,
    answer: {
      type: "grant",
      attemptId: held.attemptId,
      upstreamId: held.upstream.row.id,
      url: held.upstream.row.url,
      expiresAtMs: held.expiresAtMs,
      queuedMs,
      enginePriority: held.enginePriority,
    },
  };
}
