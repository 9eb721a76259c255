/**
 * How the regions share a workspace's limit.
 *
 * A region may hand out its share without asking anybody, so the sum stays below the limit while regions can't reach each
 * other. The ways to share differ in what they refuse within the limit, when callers of one region send most of it.
 *
 * @module
 */

/** What a predecessor said is good for this long. */
export const STANDBY_VALID_MS = 3_000;

/** One workspace in a note. */
export interface ShareRow {
  readonly workspace: string;
  /** Units a second that its callers asked the telling region for lately. */
  readonly demandPerS: number;
  /** The telling region's share of the limit, from 0 to 1. */
  readonly share: number;
  /** All that the teller has ever given to the reader, in millionths of the limit. */
  readonly given: number;
  /** All that the teller knows the reader to have given it. */
  readonly taken: number;
}

/** What one region's first lead tells another's. */
export interface ShareReport {
  readonly region: string;
  readonly rows: readonly ShareRow[];
}

/** What a lead tells those that would take its place. */
export interface StandbyRow {
  readonly workspace: string;
  readonly given: Readonly<Record<string, number>>;
  readonly taken: Readonly<Record<string, number>>;
  /** What is left in its bucket, as a share of the burst. */
  readonly level: number;
}

/** See the module. Times are of a monotonic clock. */
export abstract class Shares {
  protected readonly self: string;
  /** All regions, this one included. */
  protected readonly regions: readonly string[];

  constructor(self: string, regions: readonly string[]) {
    this.self = self;
    this.regions = [...new Set([...regions, self])].sort();
  }

  get regionCount(): number {
    return this.regions.length;
  }

  /** This region's share of a workspace's limit, from 0 to 1. The shares of all regions never add up to more than 1. */
  abstract shareOf(workspace: string, nowMs: number): number;

  /** This VM becomes its region's first lead. */
  abstract startLeading(nowMs: number): void;

  /** Counts what callers ask for, within the limit or not. */
  abstract noteDemand(workspace: string, units: number, nowMs: number): void;

  /** Moves shares, as far as this region may give. */
  abstract rebalance(nowMs: number): void;

  /** What another region is told; `undefined` if there is nothing to say. */
  abstract buildReport(region: string, nowMs: number): ShareReport | undefined;

  /** Takes in what another region told. */
  abstract applyReport(report: ShareReport, nowMs: number): void;

  /** What a successor in this region has to know. */
  abstract standbyCounters(
    workspace: string,
  ): Pick<StandbyRow, "given" | "taken">;

  /** Takes in what a predecessor said. */
  abstract applyStandby(row: StandbyRow, nowMs: number): void;
}

/** Each region has the same share for good: no message, and nothing to lose. */
export class EqualShares extends Shares {
  shareOf(): number {
    return 1 / this.regions.length;
  }

  startLeading(): void {}

  noteDemand(): void {}

  rebalance(): void {}

  buildReport(): undefined {
    return undefined;
  }

  applyReport(): void {}

  standbyCounters(): Pick<StandbyRow, "given" | "taken"> {
    return { given: {}, taken: {} };
  }

  applyStandby(): void {}
}
