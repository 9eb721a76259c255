/**
 * A region's part of the workspaces' limits. The first lead of the region counts the exact usage.
 *
 * @module
 */

import {
  type LimitLookup,
  PartUsage,
  type QuotaSlack,
  type QuotaUse,
  SPARE_SLACK_SHARE,
  USED_EXCESS_SHARE,
} from "./part_usage.ts";
import { RoundRobin } from "./round_robin.ts";
import { type Shares, STANDBY_VALID_MS, type StandbyRow } from "./shares.ts";

/** Maximum rows of one standby message, about 4 KB. When there are more, messages send them in turn. */
const MAX_ROWS = 64;
/** A workspace is dropped when it was not used for this long and its bucket is full again. */
const IDLE_MS = 30_000;

interface StandbyLevel {
  readonly level: number;
  readonly heardMs: number;
}

/** Counts the usage of all VMs of a region against the region's shares of the workspaces' limits. */
export class RegionQuota {
  readonly #shares: Shares;
  readonly #limitOf: LimitLookup;
  readonly #spareUnits: number;
  /** Factor on each share that lets the region admit its part of the tolerated excess. */
  readonly #excessFactor: number;
  /** When this VM began to count. Buckets fill from then on, even if their workspace is first used later. */
  #startedMs: number;
  readonly #usages = new Map<string, PartUsage>();
  /** When each workspace was last used. */
  readonly #lastUsedMs = new Map<string, number>();
  readonly #roundRobin = new RoundRobin();
  readonly #standbyLevels = new Map<string, StandbyLevel>();

  constructor(
    shares: Shares,
    limitOf: LimitLookup,
    { slackUnits, excess }: Pick<QuotaSlack, "slackUnits" | "excess">,
    nowMs: number,
  ) {
    this.#startedMs = nowMs;
    this.#shares = shares;
    this.#limitOf = limitOf;
    this.#excessFactor = 1 + excess * USED_EXCESS_SHARE;
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
    this.#usages.get(workspace)?.bucket.refund(units);
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
      level: this.#usages.get(workspace)?.level(nowMs) ?? 0,
    };
  }

  #dropIdle(nowMs: number): void {
    for (const [workspace, lastUsedMs] of this.#lastUsedMs) {
      const level = this.#usages.get(workspace)?.level(nowMs) ?? 1;
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

  /** Starts to count as the region's first lead; drops what this VM may have counted in an earlier term. */
  startLeading(nowMs: number): void {
    this.#usages.clear();
    this.#startedMs = nowMs;
    this.#shares.startLeading(nowMs);
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
    let usage = this.#usages.get(workspace);
    if (usage) usage.resize(limit, part, nowMs);
    else {
      const standbyLevel = this.#standbyLevels.get(workspace);
      const isFresh = standbyLevel &&
        this.#startedMs - standbyLevel.heardMs < STANDBY_VALID_MS;
      usage = isFresh
        ? new PartUsage(limit, part, standbyLevel.level, standbyLevel.heardMs)
        : new PartUsage(limit, part, 0, this.#startedMs);
      this.#usages.set(workspace, usage);
    }
    return usage;
  }
}
