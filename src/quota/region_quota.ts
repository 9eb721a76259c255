/**
 * A region's part of the limits, counted exactly by its first lead.
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

/** Rows of one standby message, some four kilobytes; with more called workspaces they take turns. */
const MAX_ROWS = 64;
/** A workspace that nobody called for this long, and whose bucket is full again, is forgotten. */
const IDLE_MS = 30_000;

interface StandbyLevel {
  readonly level: number;
  readonly heardMs: number;
}

/** See the module. */
export class RegionQuota {
  readonly #shares: Shares;
  readonly #limitOf: LimitLookup;
  readonly #spareUnits: number;
  /** What a share is multiplied by. */
  readonly #excessFactor: number;
  /** Since when this VM counts: buckets fill from then on, whenever their workspace is called first. */
  #startedMs: number;
  readonly #usages = new Map<string, PartUsage>();
  /** When each workspace was called last. */
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
   * How long until the use fits, in ms; 0 if it does now. `heard` is the part of the region's VMs that can ask: the others
   * use parts of their own.
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

  /** Counts what callers ask for, within the limit or not. */
  noteDemand({ workspace, units }: QuotaUse, nowMs: number): void {
    this.#shares.noteDemand(workspace, units, nowMs);
  }

  /** A request that was counted has not run. */
  refund({ workspace, units }: QuotaUse): void {
    this.#usages.get(workspace)?.bucket.refund(units);
  }

  /** What a successor has to know next, of workspaces that were called. */
  nextStandbyRows(nowMs: number): StandbyRow[] {
    this.#dropIdle(nowMs);
    const rows = this.standbyRows(nowMs);
    return [...this.#roundRobin.next(rows, MAX_ROWS, (row) => row.workspace)];
  }

  /** What is known of each workspace that was called. */
  standbyRows(nowMs: number): StandbyRow[] {
    return [...this.#usages].map(([workspace, usage]) => ({
      workspace,
      ...this.#shares.standbyCounters(workspace),
      level: usage.level(nowMs),
    }));
  }

  #dropIdle(nowMs: number): void {
    for (const [workspace, lastUsedMs] of this.#lastUsedMs) {
      const level = this.#usages.get(workspace)?.level(nowMs) ?? 1;
      if (nowMs - lastUsedMs < IDLE_MS || level < 1) continue;
      this.#lastUsedMs.delete(workspace);
      this.#usages.delete(workspace);
    }
  }

  /** Takes in what a predecessor said. */
  applyStandby(row: StandbyRow, nowMs: number): void {
    this.#shares.applyStandby(row, nowMs);
    this.#standbyLevels.set(row.workspace, {
      level: row.level,
      heardMs: nowMs,
    });
  }

  /** This VM counts from now on; what it may have counted before is of the past. */
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
