/**
 * How the regions share a workspace's limit.
 *
 * A region may admit requests up to its share without asking another region, so the total stays below the limit while
 * regions can't reach each other. The implementations differ in how much they refuse within the limit when most requests
 * come from callers of one region.
 *
 * @module
 */

/** How long a standby row from the previous lead stays valid. */
export const STANDBY_VALID_MS = 3_000;

/** One workspace in a {@link ShareReport}. */
export interface ShareRow {
  readonly workspace: string;
  /** Recent demand of the workspace's callers in the sending region, in units a second. */
  readonly demandPerS: number;
  /** The sending region's share of the limit, from 0 to 1. */
  readonly share: number;
  /** Total that the sender has ever given to the receiver, in millionths of the limit. */
  readonly given: number;
  /** Total that the sender knows the receiver has given to it, in millionths of the limit. */
  readonly taken: number;
}

/** What the first lead of a region reports to the first lead of another region. */
export interface ShareReport {
  readonly region: string;
  readonly rows: readonly ShareRow[];
  /** Whether the sender has moved shares of no workspace but those of the rows. */
  readonly isComplete: boolean;
  /** Workspaces of which the sender needs the receiver's row. */
  readonly asks: readonly string[];
}

/** State of one workspace that a lead replicates to the VMs that would succeed it. */
export interface StandbyRow {
  readonly workspace: string;
  readonly given: Readonly<Record<string, number>>;
  readonly taken: Readonly<Record<string, number>>;
  /** Units left in the workspace's bucket, as a share of the burst. */
  readonly level: number;
  /** Units left, which the sender will not grant any more; only in a {@link Handover}. */
  readonly units?: number;
}

/** What a lead that stops counting for its region tells the one that counts next. */
export interface Handover {
  readonly rows: readonly StandbyRow[];
  /** How long nothing was used of the workspaces that have no row, in ms. */
  readonly unusedMs: number;
}

/**
 * The shares that regions have of the workspaces' limits, as far as one region has them reported. Times are of a
 * monotonic clock.
 */
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

  /** Whether it is known what this region holds of a workspace; {@link Shares.shareOf} is less than that before. */
  isKnown(_workspace: string, _nowMs: number): boolean {
    return true;
  }

  /** Called when this VM becomes its region's first lead. */
  abstract startLeading(nowMs: number): void;

  /** Counts the units that callers ask for, admitted or not. */
  abstract noteDemand(workspace: string, units: number, nowMs: number): void;

  /** Gives shares to other regions, as far as this region can spare them. */
  abstract rebalance(nowMs: number): void;

  /** Builds the report to another region; `undefined` if there is nothing to report. */
  abstract buildReport(region: string, nowMs: number): ShareReport | undefined;

  /** Applies a report from another region. */
  abstract applyReport(report: ShareReport, nowMs: number): void;

  /** Workspaces of which a share was given away and that no call has returned since, at most `max`. */
  abstract takeNewGifts(max: number): readonly string[];

  /** The counters that a successor in this region needs. */
  abstract standbyCounters(
    workspace: string,
  ): Pick<StandbyRow, "given" | "taken">;

  /** Applies a row that the previous lead replicated. */
  abstract applyStandby(row: StandbyRow, nowMs: number): void;
}

/** Gives each region the same constant share. It needs no messages, so none can be lost. */
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

  takeNewGifts(): readonly string[] {
    return [];
  }

  standbyCounters(): Pick<StandbyRow, "given" | "taken"> {
    return { given: {}, taken: {} };
  }

  applyStandby(): void {}
}
