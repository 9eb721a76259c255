/**
 * Queue, upstreams and granted slots of a pool, and the step that matches them.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { Random } from "../base/mod.ts";
import { DrainRate } from "./admission.ts";
import { Fleet } from "./fleet.ts";
import { type Entry, Lanes } from "./lanes.ts";
import { type Place, place, type PlacementView } from "./placement.ts";
import {
  type HeldSlot,
  type LoadReport,
  type PoolOutput,
  SLOT_TTL_MS,
} from "./pool_messages.ts";
import { SlotBook } from "./slot_book.ts";
import type { SlotReport } from "./slots.ts";
import type { Held } from "./upstream.ts";
import { workTokens } from "./work.ts";

/**
 * A new lead takes load reports at their word and fills half of each upstream for this long. Its predecessor's slots are
 * unknown until the entry VMs have named them, which takes one of their renewals.
 */
const CAUTION_MS = 1000;
/** Entries looked at behind one that can be placed nowhere yet, such as a retry that waits for one last upstream. */
const LOOK_BEHIND = 4;
/** Short requests within this time make the traffic mixed; see `LONG_SHARE` of the placement. */
const MIXED_MS = 5000;

/** See the module. */
export class Dispatcher {
  readonly lanes = new Lanes();
  readonly fleet = new Fleet();
  readonly #slots = new SlotBook();
  readonly #rate = new DrainRate();
  readonly #random: Random;
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

  /** Places what can be placed. */
  dispatch(nowMs: number): PoolOutput[] {
    const outputs: PoolOutput[] = [];
    const skipped: Entry[] = [];
    for (;;) {
      const next = this.#next(nowMs, skipped);
      if (!next) break;
      const held = this.#take(next.entry, next.found, nowMs);
      outputs.push(grant(held, nowMs - next.entry.queuedAtMs));
    }
    for (const entry of skipped) this.lanes.push(entry);
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
    this.fleet.ended(held, report.outcome, nowMs);
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
      prefixHashes: [],
      lane: "short",
      long: false,
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
    this.#rate.pass(this.#nominalPerMs, this.lanes.size > 0, nowMs);
  }

  /** Time until this much queued work is started. */
  drainMs(work: number): number {
    return work / this.#rate.perMs(this.#nominalPerMs);
  }

  view(nowMs: number): PlacementView {
    return {
      upstreams: this.fleet.active,
      nowMs,
      random: this.#random,
      mixed: nowMs - this.#shortAtMs < MIXED_MS,
      pressure: this.fleet.pressure,
      cautious: nowMs < (this.#cautiousUntilMs ?? 0),
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
      rateFactor: this.#rate.factor,
      upstreams: this.fleet.dump(),
    };
  }

  #next(
    nowMs: number,
    skipped: Entry[],
  ): { entry: Entry; found: Place } | undefined {
    for (const lane of this.lanes.order()) {
      for (;;) {
        const entry = this.lanes.peek(lane);
        if (!entry) break;
        const found = place(entry.request, this.view(nowMs));
        if (found) {
          this.lanes.pop(lane);
          return { entry, found };
        }
        // Only one that avoids upstreams can be stuck where the next one is not.
        const picky = entry.request.exclude.length > 0;
        if (!picky || skipped.length >= LOOK_BEHIND) break;
        skipped.push(this.lanes.remove(entry.request.attemptId)!);
      }
    }
    return undefined;
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
      prefixHashes: request.prefixHashes,
      lane: entry.lane,
      long: found.long,
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
    this.#rate.granted(entry.work);
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
    },
  };
}
