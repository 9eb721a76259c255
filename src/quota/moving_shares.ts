/**
 * Shares of a limit that move between regions with the demand of callers.
 *
 * Only the region that holds a share can give it away. It uses less from that moment on and reports the gift in a counter
 * that only grows; the receiving region uses more once it has read the counter. A lost, late or repeated message does no
 * harm, so the shares never add up to more than the whole limit, whichever links are cut. The counters form an escrow, as
 * in bounded counters.
 *
 * @module
 */

import {
  type ShareReport,
  type ShareRow,
  Shares,
  STANDBY_VALID_MS,
  type StandbyRow,
} from "./shares.ts";
import { RoundRobin } from "./round_robin.ts";

/** Counters are integers in millionths of the limit, so that rounding loses no share. */
const MILLION = 1_000_000;
/** A region always keeps this part of an equal share, so that its first callers after a quiet time needn't wait. */
const MIN_SHARE_OF_EQUAL = 0.1;
/** A smaller move is not made, as it is not worth a message. */
const MIN_MOVE = 0.01 * MILLION;
/** Demand is averaged over this time: a short burst must not move shares, but the hourly change must within a second. */
const DEMAND_AVERAGE_MS = 700;
/** A region whose last report is older than this gets nothing, since its demand is unknown. */
const REPORT_VALID_MS = 1_500;
/** A workspace that was not used for this long is left out of reports if its shares never moved. */
const IDLE_MS = 15_000;
/** Maximum rows of one report, about 2 KB. When more workspaces are active, reports send them in turn. */
const MAX_ROWS = 48;
/** Demand assumed in addition for each region, as a share of the total, so that shares without callers become equal. */
const IDLE_DEMAND_SHARE = 0.01;
/**
 * A new lead uses only the share that a region always keeps, and more with each region that reports to it, because its own
 * region may have given away the rest before. After this time it uses its full share even without reports, since no region
 * is left that would know of such gifts.
 */
const UNKNOWN_MS = 30_000;

/** Demand and share of another region for one workspace. */
interface ReportedDemand {
  readonly demandPerS: number;
  readonly share: number;
  readonly heardMs: number;
}

/** One region's state of the shares of one workspace. */
class Ledger {
  /** Total given to each region, and total taken from it, in millionths. */
  readonly given = new Map<string, number>();
  readonly taken = new Map<string, number>();
  readonly reports = new Map<string, ReportedDemand>();
  #demandPerS = 0;
  #demandMs: number;
  lastUsedMs: number;

  constructor(nowMs: number) {
    this.#demandMs = nowMs;
    this.lastUsedMs = nowMs;
  }

  demandPerS(nowMs: number): number {
    const passedMs = Math.max(0, nowMs - this.#demandMs);
    this.#demandMs = nowMs;
    this.#demandPerS *= Math.exp(-passedMs / DEMAND_AVERAGE_MS);
    return this.#demandPerS;
  }

  noteDemand(units: number, nowMs: number): void {
    this.#demandPerS = this.demandPerS(nowMs) +
      units * 1_000 / DEMAND_AVERAGE_MS;
    this.lastUsedMs = nowMs;
  }
}

/** Whether shares were given or taken. Such a ledger is reported even if it is idle, as a new lead elsewhere needs it. */
function hasMoved({ given, taken }: Ledger): boolean {
  return given.size > 0 || taken.size > 0;
}

/** Raises a counter that only grows to a received value. */
function raiseCounter(
  counters: Map<string, number>,
  region: string,
  to: number,
): void {
  if (Number.isInteger(to) && to > (counters.get(region) ?? 0)) {
    counters.set(region, to);
  }
}

function sum(counters: ReadonlyMap<string, number>): number {
  let total = 0;
  for (const count of counters.values()) total += count;
  return total;
}

/** Moves shares to the regions with the most demand; see the module for why they never exceed the limit. */
export class MovingShares extends Shares {
  readonly #ledgers = new Map<string, Ledger>();
  #startedMs: number;
  #standbyMs = -Infinity;
  readonly #equalShare: number;
  readonly #minShare: number;
  /** Regions that have reported since this lead started. */
  readonly #heardRegions = new Set<string>();
  /** By the region that gets the reports. */
  readonly #roundRobins = new Map<string, RoundRobin>();

  constructor(self: string, regions: readonly string[], nowMs: number) {
    super(self, regions);
    this.#startedMs = nowMs;
    this.#equalShare = Math.floor(MILLION / this.regions.length);
    this.#minShare = Math.floor(this.#equalShare * MIN_SHARE_OF_EQUAL);
  }

  shareOf(workspace: string, nowMs: number): number {
    const ledger = this.#ledgers.get(workspace);
    const share = ledger ? this.#shareOfLedger(ledger) : this.#equalShare;
    return Math.min(share, this.#maxUsable(nowMs)) / MILLION;
  }

  /** Maximum share that this lead may use until every region has reported what it got from this one, in millionths. */
  #maxUsable(nowMs: number): number {
    const others = this.regions.length - 1;
    const unheard = others - this.#heardRegions.size;
    if (unheard === 0 || nowMs - this.#startedMs >= UNKNOWN_MS) return MILLION;
    return this.#minShare +
      (this.#equalShare - this.#minShare) * (1 - unheard / others);
  }

  /**
   * Clears the regions that have reported, because another VM may have led meanwhile and given shares away. This VM has
   * the counters of such gifts only if the other one has just replicated its state here.
   */
  startLeading(nowMs: number): void {
    this.#startedMs = nowMs;
    if (nowMs - this.#standbyMs >= STANDBY_VALID_MS) this.#heardRegions.clear();
  }

  noteDemand(workspace: string, units: number, nowMs: number): void {
    this.#ledgerOf(workspace, nowMs).noteDemand(units, nowMs);
  }

  rebalance(nowMs: number): void {
    if (this.#maxUsable(nowMs) < MILLION) return;
    for (const ledger of this.#ledgers.values()) this.#giveAway(ledger, nowMs);
  }

  buildReport(region: string, nowMs: number): ShareReport | undefined {
    const active = [...this.#ledgers].filter(([, ledger]) =>
      nowMs - ledger.lastUsedMs < IDLE_MS || hasMoved(ledger)
    );
    // Even an empty report shows that this region is reachable, so that a new lead there may use its share.
    if (active.length === 0) return { region: this.self, rows: [] };
    const batch = this.#roundRobinFor(region).next(
      active,
      MAX_ROWS,
      ([name]) => name,
    );
    return {
      region: this.self,
      rows: batch.map(([workspace, ledger]) => ({
        workspace,
        demandPerS: Math.round(ledger.demandPerS(nowMs)),
        share: this.#shareOfLedger(ledger) / MILLION,
        given: ledger.given.get(region) ?? 0,
        taken: ledger.taken.get(region) ?? 0,
      })),
    };
  }

  applyReport({ region, rows }: ShareReport, nowMs: number): void {
    if (region === this.self || !this.regions.includes(region)) return;
    for (const row of rows) this.#applyRow(region, row, nowMs);
    this.#heardRegions.add(region);
  }

  standbyCounters(workspace: string): Pick<StandbyRow, "given" | "taken"> {
    const ledger = this.#ledgers.get(workspace);
    return {
      given: Object.fromEntries(ledger?.given ?? []),
      taken: Object.fromEntries(ledger?.taken ?? []),
    };
  }

  applyStandby({ workspace, given, taken }: StandbyRow, nowMs: number): void {
    const ledger = this.#ledgerOf(workspace, nowMs);
    for (const region of this.regions) {
      raiseCounter(ledger.given, region, given[region]);
      raiseCounter(ledger.taken, region, taken[region]);
    }
    this.#standbyMs = nowMs;
    for (const region of this.regions) {
      if (region !== this.self) this.#heardRegions.add(region);
    }
  }

  #roundRobinFor(region: string): RoundRobin {
    let roundRobin = this.#roundRobins.get(region);
    if (!roundRobin) {
      roundRobin = new RoundRobin();
      this.#roundRobins.set(region, roundRobin);
    }
    return roundRobin;
  }

  #applyRow(region: string, row: ShareRow, nowMs: number): void {
    const ledger = this.#ledgerOf(row.workspace, nowMs);
    raiseCounter(ledger.taken, region, row.given);
    // The region may have taken more than this lead knows of, if the previous lead gave it.
    raiseCounter(ledger.given, region, row.taken);
    // Shares in transit count as received; otherwise they would be given again.
    const inTransit = Math.max(0, (ledger.given.get(region) ?? 0) - row.taken);
    ledger.reports.set(region, {
      demandPerS: row.demandPerS,
      share: row.share + inTransit / MILLION,
      heardMs: nowMs,
    });
    if (row.demandPerS > 0) ledger.lastUsedMs = nowMs;
  }

  #ledgerOf(workspace: string, nowMs: number): Ledger {
    let ledger = this.#ledgers.get(workspace);
    if (!ledger) {
      ledger = new Ledger(nowMs);
      this.#ledgers.set(workspace, ledger);
    }
    return ledger;
  }

  #shareOfLedger({ given, taken }: Ledger): number {
    return Math.max(this.#minShare, this.#equalShare + sum(taken) - sum(given));
  }

  /** Gives what this region has above its target share by demand to the regions below theirs. */
  #giveAway(ledger: Ledger, nowMs: number): void {
    const others = [...ledger.reports].filter(([, { heardMs }]) =>
      nowMs - heardMs < REPORT_VALID_MS
    );
    if (others.length === 0) return;
    const own = {
      demandPerS: ledger.demandPerS(nowMs),
      share: this.#shareOfLedger(ledger) / MILLION,
    };
    const all = [own, ...others.map(([, report]) => report)];
    const demand = all.reduce((total, { demandPerS }) => total + demandPerS, 0);
    const pool = all.reduce((total, { share }) => total + share, 0) * MILLION;
    const spare = Math.max(0, pool - all.length * this.#minShare);
    const idleDemand = Math.max(1, demand) * IDLE_DEMAND_SHARE;
    const weight = demand + idleDemand * all.length;
    const targetOf = ({ demandPerS }: { readonly demandPerS: number }) =>
      this.#minShare + spare * (demandPerS + idleDemand) / weight;
    const excess = own.share * MILLION - targetOf(own);
    if (excess < MIN_MOVE) return;
    const lacks = others.map(([region, report]) => ({
      region,
      lack: Math.max(0, targetOf(report) - report.share * MILLION),
    }));
    const totalLack = lacks.reduce((total, { lack }) => total + lack, 0);
    const moved = Math.min(excess, totalLack);
    if (moved < MIN_MOVE) return;
    for (const { region, lack } of lacks) {
      const given = Math.floor(moved * lack / totalLack);
      if (given === 0) continue;
      ledger.given.set(region, (ledger.given.get(region) ?? 0) + given);
      const report = ledger.reports.get(region)!;
      // The gift counts as received; otherwise each rebalance would repeat it until the region reports.
      ledger.reports.set(region, {
        ...report,
        share: report.share + given / MILLION,
      });
    }
  }
}
