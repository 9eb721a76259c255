/**
 * Queue, upstreams and granted slots of a pool, and the step that matches them.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { Random } from "../base/mod.ts";
import { DrainRate, WaitBias } from "./admission.ts";
import { Fleet } from "./fleet.ts";
import { type Entry, type LaneName, LANES, Lanes } from "./lanes.ts";
import {
  type Place,
  place,
  placeAt,
  type PlacementView,
  weigh,
} from "./placement.ts";
import {
  type HeldSlot,
  type LoadReport,
  type PoolOutput,
  SLOT_TTL_MS,
} from "./pool_messages.ts";
import { SlotBook } from "./slot_book.ts";
import type { SlotReport } from "./slots.ts";
import type { Held } from "./upstream.ts";
import { Usage } from "./usage.ts";
import { workTokens } from "./work.ts";

/**
 * A new lead takes load reports at their word and fills half of each upstream for this long. Its predecessor's slots are
 * unknown until the entry VMs have named them, which takes one of their renewals.
 */
const CAUTION_MS = 1000;
/** Workspaces passed over whose next request can be placed nowhere yet, such as a retry that waits for one upstream. */
const MOST_SKIPS = 4;
/** Times a request may be bypassed by warmer ones: some 2 s of a busy upstream's work. */
const MOST_BYPASSES = 8;
/** Short requests within this time make the traffic mixed; see `LONG_SHARE` of the placement. */
const MIXED_MS = 5000;

interface Choice {
  readonly entry: Entry;
  readonly found: Place;
}

/** See the module. */
export class Dispatcher {
  readonly lanes = new Lanes();
  readonly fleet = new Fleet();
  readonly #slots = new SlotBook();
  readonly #rates = { short: new DrainRate(), long: new DrainRate() };
  readonly #random: Random;
  readonly #bias = { short: new WaitBias(), long: new WaitBias() };
  readonly #usage = new Usage();
  #nominalPerMs = 0;
  #cautiousUntilMs?: number;
  #shortAtMs = -Infinity;

  constructor(random: Random) {
    this.#random = random;
  }

  configure(upstreams: readonly UpstreamRow[], nowMs: number): void {
    this.fleet.configure(upstreams);
    this.#cautiousUntilMs ??= nowMs + CAUTION_MS;
    this.#nominalPerMs = this.fleet.nominalPerMs(nowMs);
  }

  /** The grant given to this attempt before, if it still holds. */
  grantOf(attemptId: string): PoolOutput | undefined {
    const held = this.#slots.get(attemptId);
    return held && grant(held, 0);
  }

  /** Places what can be placed: first those that waited for a warm upstream, then in turn. */
  dispatch(nowMs: number): PoolOutput[] {
    const outputs: PoolOutput[] = [];
    const view = this.view(nowMs);
    const go = ({ entry, found }: Choice) => {
      this.waited(entry, nowMs);
      const held = this.#take(entry, found, nowMs);
      outputs.push(grant(held, nowMs - entry.queuedAtMs));
    };
    this.#dispatchParked(view, go);
    for (;;) {
      const next = this.#next(view);
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
      slowness: 1,
      started: true,
    };
    this.#slots.add(held);
    upstream.add(held);
  }

  observe(load: LoadReport, nowMs: number): void {
    const cautious = nowMs < (this.#cautiousUntilMs ?? 0);
    this.fleet.get(load.upstreamId)
      ?.observe(load.running + load.waiting, cautious);
  }

  /** Time passes. */
  pass(nowMs: number): void {
    this.fleet.judge(nowMs);
    this.#nominalPerMs = this.fleet.nominalPerMs(nowMs);
    for (const lane of LANES) {
      const busy = this.lanes.sizeOf(lane) > 0;
      this.#rates[lane].pass(this.#nominalPerMs, busy, nowMs);
    }
  }

  /** Time until this much queued work of a lane is started. */
  drainMs(lane: LaneName, work: number): number {
    return work / this.#rates[lane].perMs(this.#nominalPerMs);
  }

  /** Time in a lane behind this much work. */
  forecast(
    lane: LaneName,
    work: number,
  ): { readonly waitMs: number; readonly rawWaitMs: number } {
    const rawWaitMs = this.drainMs(lane, work);
    return { rawWaitMs, waitMs: this.#bias[lane].corrected(rawWaitMs) };
  }

  /** An entry's wait is over, well or not. */
  waited(entry: Entry, nowMs: number): void {
    if (entry.rawWaitMs <= 0) return;
    this.#bias[entry.lane].learn(entry.rawWaitMs, nowMs - entry.queuedAtMs);
  }

  /** Time until all that is queued now is started. */
  emptyMs(): number {
    const waits = LANES.map((lane) =>
      this.drainMs(lane, this.lanes.workOf(lane))
    );
    return Math.max(...waits);
  }

  view(nowMs: number): PlacementView {
    return {
      upstreams: this.fleet.active,
      nowMs,
      random: this.#random,
      mixed: nowMs - this.#shortAtMs < MIXED_MS,
      pressure: this.fleet.pressure,
      cautious: nowMs < (this.#cautiousUntilMs ?? 0),
      over: false,
      waitingFor: (upstreamId) => this.lanes.parking.countAt(upstreamId),
    };
  }

  /** A short request arrived. */
  sawShort(nowMs: number): void {
    this.#shortAtMs = nowMs;
  }

  dump(): Record<string, unknown> {
    return {
      queued: this.lanes.size,
      queuedWork: Math.round(this.lanes.work),
      held: this.#slots.size,
      rateFactors: LANES.map((lane) => this.#rates[lane].factor),
      upstreams: this.fleet.dump(),
    };
  }

  #dispatchParked(view: PlacementView, go: (choice: Choice) => void): void {
    const { parking } = this.lanes;
    for (const entry of parking.ready(view.nowMs)) {
      const found = place(entry.request, this.#viewOf(entry, view));
      if (found.type !== "go") continue;
      this.lanes.remove(entry.request.attemptId);
      go({ entry, found: found.place });
    }
    for (const id of parking.upstreams()) {
      const upstream = this.fleet.get(id);
      for (;;) {
        const entry = parking.firstAt(id);
        const found = entry && upstream &&
          placeAt(entry.request, upstream, this.#viewOf(entry, view));
        if (!found) break;
        this.lanes.remove(entry.request.attemptId);
        go({ entry, found });
      }
    }
  }

  #viewOf(entry: Entry, view: PlacementView): PlacementView {
    const over = this.#usage.isOver(entry.request.workspace, view.nowMs);
    return over ? { ...view, over } : view;
  }

  #next(view: PlacementView): Choice | undefined {
    for (const lane of this.lanes.order()) {
      for (let skips = 0; skips <= MOST_SKIPS;) {
        const entry = this.lanes.peek(lane);
        if (!entry) break;
        const own = this.#viewOf(entry, view);
        const found = place(entry.request, own);
        if (found.type === "go") {
          return this.#prefer(entry, found.place, view.nowMs);
        }
        if (found.type === "wait") {
          const untilMs = Math.min(
            found.untilMs,
            (view.nowMs + entry.latestStartMs) / 2,
          );
          this.lanes.park(lane, found.upstream.row.id, untilMs);
          continue;
        }
        // Only these can be stuck where the next workspace is not.
        if (!own.over && entry.request.exclude.length === 0) break;
        this.lanes.skip(lane);
        skips++;
      }
    }
    return undefined;
  }

  /**
   * Where the next in turn is cold at its place and another in the queue is warm there, the other goes first. With a
   * full queue most places would else go to prompts whose prefix lies elsewhere, and the pool would spend its time on
   * prefilling again what it has; one bypassed often enough goes wherever there is room.
   */
  #prefer(entry: Entry, found: Place, nowMs: number): Choice {
    const own = { entry, found };
    if (found.probe || !found.long || entry.bypassed >= MOST_BYPASSES) {
      this.lanes.pop(entry.lane);
      return own;
    }
    const id = found.upstream.row.id;
    const other = this.lanes.peekWarm(entry.lane, id);
    if (!other || other === entry || other.request.exclude.includes(id)) {
      this.lanes.pop(entry.lane);
      return own;
    }
    const over = this.#usage.isOver(other.request.workspace, nowMs);
    const place = weigh(other.request, found.upstream, { nowMs, over });
    this.lanes.take(other);
    entry.bypassed++;
    return { entry: other, found: place };
  }

  #take(entry: Entry, found: Place, nowMs: number): Held {
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
      slowness: upstream.slowness,
      expiresAtMs: nowMs + SLOT_TTL_MS,
      started: false,
    };
    if (found.probe) upstream.health.probeSent();
    upstream.add(held);
    upstream.warm.touch(request.prefixHashes, nowMs);
    this.#slots.add(held);
    this.#rates[entry.lane].granted(entry.work);
    this.#usage.add(request.workspace, entry.weight, entry.work, nowMs);
    return held;
  }
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
