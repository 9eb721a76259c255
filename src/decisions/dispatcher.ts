/**
 * Queue, upstreams and granted slots of a pool, and the step that matches them.
 *
 * @module
 */

import type { ServiceRow, UpstreamRow } from "../agreement/mod.ts";
import type { Random } from "../base/mod.ts";
import { type Choice, Chooser } from "./chooser.ts";
import { Fleet } from "./fleet.ts";
import type { Entry } from "./lane_entry.ts";
import { Lanes } from "./lanes.ts";
import type { PlacementView } from "./placement.ts";
import {
  type HeldSlot,
  type LoadReport,
  type PoolOutput,
  SLOT_TTL_MS,
} from "./pool_messages.ts";
import { Release } from "./release.ts";
import { SlotBook } from "./slot_book.ts";
import type { SlotReport } from "./slots.ts";
import { type Held, overdueAt, type Upstream } from "./upstream.ts";
import { Waits } from "./waits.ts";
import { workTokens } from "./work.ts";

/** Upstreams that may have got room since the last step. */
export type Changed = "all" | readonly string[];

/** See the module. */
export class Dispatcher {
  readonly lanes = new Lanes();
  readonly fleet = new Fleet();
  readonly waits = new Waits(this.lanes);
  readonly #slots = new SlotBook();
  readonly #chooser: Chooser;
  readonly #release = new Release();

  constructor(random: Random) {
    this.#chooser = new Chooser(this.lanes, this.fleet, random);
  }

  configure(upstreams: readonly UpstreamRow[], nowMs: number): void {
    this.fleet.configure(upstreams);
    this.#chooser.begin(nowMs);
  }

  /** The grant given to this attempt before, if it still holds. */
  grantOf(attemptId: string): PoolOutput | undefined {
    const held = this.#slots.get(attemptId);
    return held && grant(held, 0);
  }

  /**
   * Places what can be placed: first those that waited for a warm upstream, then in turn. `changed` names the one
   * upstream that may have got room, or all: looking through them at each step would cost more in a larger pool.
   */
  dispatch(changed: Changed, nowMs: number): PoolOutput[] {
    const outputs: PoolOutput[] = [];
    const go = (choice: Choice) => {
      const held = this.#take(choice, nowMs);
      outputs.push(grant(held, nowMs - choice.entry.queuedAtMs));
    };
    const { parking } = this.lanes;
    const ids = changed === "all" ? parking.upstreams() : changed;
    this.#chooser.parked(nowMs, ids, go);
    for (;;) {
      const next = this.#chooser.next(nowMs);
      if (!next) break;
      go(next);
    }
    this.lanes.restore();
    return outputs;
  }

  /** Learns from an attempt; returns what it held if it ended. */
  report(report: SlotReport, nowMs: number): Held | undefined {
    const held = this.#slots.get(report.attemptId);
    if (!held) return undefined;
    if (report.firstTokenMs !== undefined && !held.started) {
      this.fleet.started(held, report.firstTokenMs, nowMs);
    }
    if (report.outcome === "started") return undefined;
    this.#slots.remove(report.attemptId);
    this.fleet.ended(held, report.outcome, nowMs, report.cachedTokens);
    const actual = workTokens({
      promptTokens: held.coldTokens,
      expectedOutputTokens: report.outputTokens,
    });
    this.lanes.charge(held.lane, held.workspace, actual - held.work);
    return held;
  }

  renew(attemptId: string, untilMs: number): boolean {
    return this.lanes.has(attemptId) || this.#slots.renew(attemptId, untilMs);
  }

  /** The slot's caller has gone. */
  giveUp(attemptId: string, nowMs: number): Held | undefined {
    const held = this.#slots.remove(attemptId);
    if (held) this.fleet.ended(held, "canceled", nowMs);
    return held;
  }

  /** Slots that nobody renewed. */
  expire(nowMs: number): Held[] {
    const expired = this.#slots.removeExpired(nowMs);
    for (const held of expired) this.fleet.ended(held, "canceled", nowMs);
    return expired;
  }

  adopt(slot: HeldSlot, nowMs: number): void {
    const upstream = this.fleet.get(slot.upstreamId);
    if (!upstream || this.#slots.get(slot.attemptId)) return;
    const held: Held = {
      ...slot,
      upstream,
      work: workTokens(slot),
      coldTokens: 0,
      beliefAgeMs: 0,
      prefixHashes: [],
      lane: "short",
      long: false,
      enginePriority: 1,
      probe: false,
      grantedAtMs: nowMs,
      firstTokenDueMs: nowMs,
      overdueAtMs: Infinity,
      slowness: 1,
      started: true,
    };
    this.#slots.add(held);
    upstream.add(held);
  }

  observe(load: LoadReport, nowMs: number): void {
    const cautious = this.#chooser.isCautious(nowMs);
    this.fleet.get(load.upstreamId)
      ?.observe(load.running + load.waiting, cautious);
  }

  /** Time passes. */
  pass(nowMs: number): void {
    this.fleet.judge(nowMs);
    this.waits.pass(this.fleet.nominalPerMs(nowMs), nowMs);
  }

  /** Orders that keep as many upstreams awake as the service needs. */
  release(service: ServiceRow | undefined, nowMs: number): PoolOutput[] {
    const { active } = this.fleet;
    const [first] = active;
    if (!first) return [];
    const step = this.#release.plan({
      service,
      awake: active.length,
      parked: this.fleet.released().length,
      perUpstreamPerMs: first.row.prefillTokensPerS / 1000,
      waitMs: this.waits.emptyMs(),
      nowMs,
    });
    if (step.type === "park") this.fleet.drainOne();
    const woken = step.type === "wake"
      ? this.fleet.wake(step.count, nowMs)
      : [];
    return [
      ...woken.map((upstream) => order(upstream, "active")),
      ...this.fleet.park().map((upstream) => order(upstream, "parked")),
    ];
  }

  /** What a placement is decided on now. */
  view(nowMs: number): PlacementView {
    return this.#chooser.view(nowMs);
  }

  /** A request was let into the queue. */
  push(entry: Entry, nowMs: number): void {
    if (entry.lane === "short") this.#chooser.sawShort(nowMs);
    this.lanes.push(entry);
  }

  dump(): Record<string, unknown> {
    return {
      queued: this.lanes.size,
      queuedWork: Math.round(this.lanes.work),
      held: this.#slots.size,
      rateFactors: this.waits.dump(),
      upstreams: this.fleet.dump(),
    };
  }

  #take({ entry, found }: Choice, nowMs: number): Held {
    const { request } = entry;
    const { upstream } = found;
    const held: Held = {
      attemptId: request.attemptId,
      upstream,
      workspace: request.workspace,
      work: entry.work,
      use: entry.use,
      promptTokens: request.promptTokens,
      expectedOutputTokens: request.expectedOutputTokens,
      coldTokens: found.coldTokens,
      beliefAgeMs: upstream.warm.ageMs(
        request.prefixHashes[found.matched - 1],
        nowMs,
      ),
      prefixHashes: request.prefixHashes,
      lane: entry.lane,
      long: found.long,
      enginePriority: found.enginePriority,
      probe: found.probe,
      grantedAtMs: nowMs,
      firstTokenDueMs: nowMs + found.firstMs,
      overdueAtMs: overdueAt(nowMs, found.firstMs),
      slowness: upstream.slowness,
      expiresAtMs: nowMs + SLOT_TTL_MS,
      started: false,
    };
    if (found.probe) upstream.health.probeSent();
    upstream.add(held);
    upstream.warm.touch(request.prefixHashes, nowMs);
    this.#slots.add(held);
    this.waits.granted(entry, nowMs);
    this.#chooser.granted({ entry, found }, nowMs);
    this.#release.granted(entry.work);
    return held;
  }
}

function order(upstream: Upstream, want: "active" | "parked"): PoolOutput {
  return { type: "order", upstreamId: upstream.row.id, want };
}

function grant(held: Held, queuedMs: number): PoolOutput {
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
