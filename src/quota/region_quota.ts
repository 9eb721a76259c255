/**
 * A region's part of the workspaces' limits. The first lead of the region counts the exact usage.
 *
 * @module
 */

import {
  burstOfPart,
  type LimitLookup,
  type LimitPart,
  PartUsage,
  type QuotaSlack,
  type QuotaUse,
  SPARE_SLACK_SHARE,
  USED_EXCESS_SHARE,
} from "./part_usage.ts";
import type { QuotaLimit } from "../workspaces/mod.ts";
import { RoundRobin } from "./round_robin.ts";
import {
  type Handover,
  type Shares,
  STANDBY_VALID_MS,
  type StandbyRow,
} from "./shares.ts";

/** Maximum rows of one standby message, about 4 KB. When there are more, messages send them in turn. */
const MAX_ROWS = 64;
/** A workspace is dropped when it was not used for this long and its bucket is full again. */
const IDLE_MS = 30_000;
const MS_PER_S = 1_000;
/**
 * Share of the tolerated excess of a window that a VM may grant at once as it begins to count, so that a workspace below
 * its limit is not refused in the first moments.
 */
const START_EXCESS_SHARE = 0.125;

interface StandbyLevel {
  readonly level: number;
  readonly heardMs: number;
}

/** The usage of one workspace, and what the size of its part rests on. */
interface RegionUsage {
  readonly usage: PartUsage;
  readonly heardShare: number;
  readonly isKnown: boolean;
}

/**
 * Counts the usage of all VMs of a region against the region's shares of the workspaces' limits.
 *
 * Whoever begins to count has nothing to grant but what is proved to be left: others may have granted the rest.
 */
export class RegionQuota {
  readonly #shares: Shares;
  readonly #limitOf: LimitLookup;
  readonly #spareUnits: number;
  /** Factor on each share that lets the region admit its part of the tolerated excess. */
  readonly #excessFactor: number;
  /** Share of a window's units that may be granted at once as this VM begins to count. */
  readonly #startExcess: number;
  readonly #windowMs: number;
  /** When this VM began to count. Buckets fill from then on, even if their workspace is first used later. */
  #startedMs: number;
  /** Since when nothing was used of the workspaces that are neither in use nor handed over. */
  #unusedSinceMs: number;
  readonly #usages = new Map<string, RegionUsage>();
  /** When each workspace was last used. */
  readonly #lastUsedMs = new Map<string, number>();
  readonly #roundRobin = new RoundRobin();
  readonly #standbyLevels = new Map<string, StandbyLevel>();
  /** Units that the previous lead handed over, of workspaces that were not used since. */
  readonly #handedUnits = new Map<string, number>();

  constructor(
    shares: Shares,
    limitOf: LimitLookup,
    { slackUnits, excess, windowMs }: QuotaSlack,
    nowMs: number,
  ) {
    this.#startedMs = nowMs;
    this.#unusedSinceMs = nowMs;
    this.#shares = shares;
    this.#limitOf = limitOf;
    this.#excessFactor = 1 + excess * USED_EXCESS_SHARE;
    this.#startExcess = excess * START_EXCESS_SHARE;
    this.#windowMs = windowMs;
    this.#spareUnits = slackUnits * SPARE_SLACK_SHARE / shares.regionCount;
  }

  /**
   * How long until the use fits, in ms; 0 if it fits now. `heardShare` is the share of the region's VMs that reach this
   * lead; the other VMs admit requests from their own parts.
   */
  waitMs(
    { workspace, units }: QuotaUse,
    heardShare: number,
    nowMs: number,
  ): number {
    const bucket = this.#usageOf(workspace, heardShare, nowMs)?.bucket;
    return bucket ? bucket.readyAtMs(units, nowMs) - nowMs : 0;
  }

  /** Counts a request that is sent. */
  take(
    { workspace, units }: QuotaUse,
    heardShare: number,
    nowMs: number,
  ): void {
    this.#usageOf(workspace, heardShare, nowMs)?.bucket.take(units, nowMs);
  }

  /** Counts the units that callers ask for, admitted or not. */
  noteDemand({ workspace, units }: QuotaUse, nowMs: number): void {
    this.#shares.noteDemand(workspace, units, nowMs);
  }

  /** Refunds the units of a counted request that did not run. */
  refund({ workspace, units }: QuotaUse): void {
    this.#usages.get(workspace)?.usage.bucket.refund(units);
  }

  /**
   * The next rows to replicate to possible successors: of the workspaces with new gifts, then of those in use. No other
   * region may be told of a gift before the successors are.
   */
  nextStandbyRows(nowMs: number): StandbyRow[] {
    this.#dropIdle(nowMs);
    const gifts = new Set(this.#shares.takeNewGifts(MAX_ROWS));
    const max = MAX_ROWS - gifts.size;
    const others = this.#roundRobin
      .next([...this.#usages.keys()], max, (workspace) => workspace)
      .filter((workspace) => !gifts.has(workspace));
    return [...gifts, ...others].map((name) => this.#standbyRow(name, nowMs));
  }

  /** The state of each workspace in use. */
  standbyRows(nowMs: number): StandbyRow[] {
    return [...this.#usages.keys()].map((name) =>
      this.#standbyRow(name, nowMs)
    );
  }

  #standbyRow(workspace: string, nowMs: number): StandbyRow {
    return {
      workspace,
      ...this.#shares.standbyCounters(workspace),
      // What a workspace without callers has left is not counted; its bucket fills again from now on.
      level: this.#usages.get(workspace)?.usage.level(nowMs) ?? 0,
    };
  }

  /** Units left of a workspace. */
  leftUnits(workspace: string, nowMs: number): number {
    const usage = this.#usages.get(workspace)?.usage;
    return usage ? Math.max(0, usage.bucket.levelAt(nowMs)) : 0;
  }

  /** What is left of each workspace, in parts of one message each. The caller grants nothing any more. */
  handOver(nowMs: number): Handover[] {
    const rows = [...this.#usages].map(([workspace, { usage }]) => ({
      ...this.#standbyRow(workspace, nowMs),
      units: usage.bucket.levelAt(nowMs),
    }));
    for (const [workspace, units] of this.#handedUnits) {
      rows.push({ ...this.#standbyRow(workspace, nowMs), units });
    }
    // A receiver that got one part of several can't tell which workspaces are in none of them.
    const unusedMs = rows.length <= MAX_ROWS ? nowMs - this.#unusedSinceMs : 0;
    const parts: Handover[] = [];
    for (let at = 0; at === 0 || at < rows.length; at += MAX_ROWS) {
      parts.push({ rows: rows.slice(at, at + MAX_ROWS), unusedMs });
    }
    return parts;
  }

  #dropIdle(nowMs: number): void {
    for (const [workspace, lastUsedMs] of this.#lastUsedMs) {
      const level = this.#usages.get(workspace)?.usage.level(nowMs) ?? 1;
      if (nowMs - lastUsedMs < IDLE_MS || level < 1) continue;
      this.#lastUsedMs.delete(workspace);
      this.#usages.delete(workspace);
    }
  }

  /** Applies a row that the previous lead replicated. */
  applyStandby(row: StandbyRow, nowMs: number): void {
    this.#shares.applyStandby(row, nowMs);
    this.#standbyLevels.set(row.workspace, {
      level: row.level,
      heardMs: nowMs,
    });
  }

  /** Starts to lead the region; what this VM hears of shares from now on counts. */
  startLeading(nowMs: number): void {
    this.#startEmpty(nowMs);
    this.#shares.startLeading(nowMs);
  }

  /** Starts to count for the region, with what the previous lead handed over, and else with nothing. */
  startCounting(nowMs: number, handover?: Handover): void {
    this.#startEmpty(nowMs);
    if (!handover) return;
    this.#unusedSinceMs = nowMs - handover.unusedMs;
    this.applyHandover(handover, nowMs);
  }

  /** Applies what the previous lead handed over, of workspaces that were not used here yet. */
  applyHandover({ rows }: Handover, nowMs: number): void {
    for (const row of rows) {
      const { workspace, units } = row;
      this.#shares.applyStandby(row, nowMs);
      if (units === undefined || this.#usages.has(workspace)) continue;
      this.#handedUnits.set(workspace, units);
    }
  }

  /** Leaves out a time in which this VM was held up and others granted in its place. */
  skipPause(fromMs: number, toMs: number): void {
    this.#unusedSinceMs += toMs - fromMs;
    for (const { usage } of this.#usages.values()) {
      usage.bucket.skip(fromMs, toMs);
    }
  }

  /** Drops what this VM may have counted in an earlier term. */
  #startEmpty(nowMs: number): void {
    this.#usages.clear();
    this.#handedUnits.clear();
    this.#startedMs = nowMs;
    this.#unusedSinceMs = nowMs;
  }

  #usageOf(
    workspace: string,
    heardShare: number,
    nowMs: number,
  ): PartUsage | undefined {
    this.#lastUsedMs.set(workspace, nowMs);
    const limit = this.#limitOf(workspace);
    if (!limit) {
      this.#usages.delete(workspace);
      return undefined;
    }
    const part = {
      share: this.#shares.shareOf(workspace, nowMs) * heardShare *
        this.#excessFactor,
      spareUnits: this.#spareUnits * heardShare,
    };
    const isKnown = this.#shares.isKnown(workspace, nowMs);
    const before = this.#usages.get(workspace);
    // What VMs that fall silent may use, and shares of which this lead now learns, are no units that moved here.
    const hasMoved = before?.heardShare === heardShare &&
      before.isKnown === isKnown;
    const usage = before?.usage ?? this.#createUsage(workspace, limit, part);
    this.#usages.set(workspace, { usage, heardShare, isKnown });
    usage.resize(limit, part, nowMs, hasMoved);
    return usage;
  }

  #createUsage(
    workspace: string,
    limit: QuotaLimit,
    part: LimitPart,
  ): PartUsage {
    const standby = this.#standbyLevels.get(workspace);
    const handedUnits = this.#handedUnits.get(workspace);
    this.#standbyLevels.delete(workspace);
    this.#handedUnits.delete(workspace);
    if (handedUnits !== undefined) {
      return new PartUsage(limit, part, handedUnits, this.#startedMs);
    }
    const isFresh = standby &&
      this.#startedMs - standby.heardMs < STANDBY_VALID_MS;
    if (!isFresh) {
      const startUnits = this.#startUnits(limit, part);
      return new PartUsage(limit, part, startUnits, this.#unusedSinceMs);
    }
    // The previous lead may have granted what it had left; what it had overdrawn is still owed.
    const owedUnits = Math.min(0, standby.level) * burstOfPart(limit, part);
    return new PartUsage(limit, part, owedUnits, this.#startedMs);
  }

  #startUnits(
    { unitsPerS, burstUnits }: QuotaLimit,
    { share }: LimitPart,
  ): number {
    const windowUnits = unitsPerS * this.#windowMs / MS_PER_S + burstUnits;
    return windowUnits * share * this.#startExcess;
  }
}
