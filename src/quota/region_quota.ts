/**
 * A region's part of the limits, counted exactly by its first lead.
 *
 * @module
 */

import {
  type LimitOf,
  PartCount,
  type QuotaSlack,
  type QuotaUse,
  SPARE_OF_SLACK,
  USED_EXCESS,
} from "./counts.ts";
import { Turns } from "./turns.ts";
import { type Shares, STANDBY_MS, type StandbyRow } from "./shares.ts";

/** Rows of one standby message, some four kilobytes; with more called workspaces they take turns. */
const MOST_ROWS = 64;
/** A workspace that nobody called for this long, and whose bucket is full again, is forgotten. */
const IDLE_MS = 30_000;

interface ToldLevel {
  readonly level: number;
  readonly heardMs: number;
}

/** See the module. */
export class RegionQuota {
  readonly #shares: Shares;
  readonly #limitOf: LimitOf;
  readonly #spareUnits: number;
  /** What a share is multiplied by. */
  readonly #stretch: number;
  /** Since when this VM counts: buckets fill from then on, whenever their workspace is called first. */
  #sinceMs: number;
  readonly #counts = new Map<string, PartCount>();
  /** When each workspace was called last. */
  readonly #calledMs = new Map<string, number>();
  readonly #turns = new Turns();
  readonly #toldLevels = new Map<string, ToldLevel>();

  constructor(
    shares: Shares,
    limitOf: LimitOf,
    { slackUnits, excess }: Pick<QuotaSlack, "slackUnits" | "excess">,
    nowMs: number,
  ) {
    this.#sinceMs = nowMs;
    this.#shares = shares;
    this.#limitOf = limitOf;
    this.#stretch = 1 + excess * USED_EXCESS;
    this.#spareUnits = slackUnits * SPARE_OF_SLACK / shares.regionCount;
  }

  /**
   * How long until the use fits, in ms; 0 if it does now. `heard` is the part of the region's VMs that can ask: the others
   * use parts of their own.
   */
  waitMs(
    { workspace, units }: QuotaUse,
    heard: number,
    nowMs: number,
  ): number {
    const bucket = this.#count(workspace, heard, nowMs)?.bucket;
    return bucket ? bucket.readyAtMs(units, nowMs) - nowMs : 0;
  }

  /** Counts a request that is sent. */
  take({ workspace, units }: QuotaUse, heard: number, nowMs: number): void {
    this.#count(workspace, heard, nowMs)?.bucket.take(units, nowMs);
  }

  /** Counts what callers ask for, within the limit or not. */
  noteDemand({ workspace, units }: QuotaUse, nowMs: number): void {
    this.#shares.noteDemand(workspace, units, nowMs);
  }

  /** A request that was counted has not run. */
  giveBack({ workspace, units }: QuotaUse): void {
    this.#counts.get(workspace)?.bucket.refund(units);
  }

  /** What a successor has to know next, of workspaces that were called. */
  standby(nowMs: number): StandbyRow[] {
    this.#forget(nowMs);
    const called = this.called(nowMs);
    return [...this.#turns.next(called, MOST_ROWS, (row) => row.workspace)];
  }

  /** What is known of each workspace that was called. */
  called(nowMs: number): StandbyRow[] {
    return [...this.#counts].map(([workspace, count]) => ({
      workspace,
      ...this.#shares.standby(workspace),
      level: count.level(nowMs),
    }));
  }

  #forget(nowMs: number): void {
    for (const [workspace, calledMs] of this.#calledMs) {
      const level = this.#counts.get(workspace)?.level(nowMs) ?? 1;
      if (nowMs - calledMs < IDLE_MS || level < 1) continue;
      this.#calledMs.delete(workspace);
      this.#counts.delete(workspace);
    }
  }

  /** Takes in what a predecessor said. */
  noteStandby(row: StandbyRow, nowMs: number): void {
    this.#shares.noteStandby(row, nowMs);
    this.#toldLevels.set(row.workspace, { level: row.level, heardMs: nowMs });
  }

  /** This VM counts from now on; what it may have counted before is of the past. */
  begin(nowMs: number): void {
    this.#counts.clear();
    this.#sinceMs = nowMs;
    this.#shares.begin(nowMs);
  }

  #count(
    workspace: string,
    heard: number,
    nowMs: number,
  ): PartCount | undefined {
    this.#calledMs.set(workspace, nowMs);
    const limit = this.#limitOf(workspace);
    if (!limit) {
      this.#counts.delete(workspace);
      return undefined;
    }
    const part = {
      share: this.#shares.shareOf(workspace, nowMs) * heard * this.#stretch,
      spareUnits: this.#spareUnits * heard,
    };
    let count = this.#counts.get(workspace);
    if (count) count.fit(limit, part, nowMs);
    else {
      const told = this.#toldLevels.get(workspace);
      const isFresh = told && this.#sinceMs - told.heardMs < STANDBY_MS;
      count = isFresh
        ? new PartCount(limit, part, told.level, told.heardMs)
        : new PartCount(limit, part, 0, this.#sinceMs);
      this.#counts.set(workspace, count);
    }
    return count;
  }
}
