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
/** Maximum workspaces of which shares are given away at once: one standby message has room for them all. */
const MAX_GIFTS = MAX_ROWS;
/** Demand assumed in addition for each region, as a share of the total, so that shares without callers become equal. */
const IDLE_DEMAND_SHARE = 0.01;
/** Maximum workspaces that one report asks about: one report answers them all. */
const MAX_ASKS = MAX_ROWS;
/** An answer takes a report interval and two link delays; a workspace is not asked about again before. */
const ASK_AGAIN_MS = 500;
/** A workspace with less demand than this is not asked about. */
const MIN_ASK_DEMAND_PER_S = 1;
/**
 * A new lead uses only the share of a workspace that a region always keeps until every region has reported this workspace,
 * because its own region may have given away the rest before. After this time it uses its full share even without reports:
 * a region that is down for good must not take its part of the limit with it. While regions are cut from each other for
 * longer than this, a lead without standby state may therefore use what its region gave away.
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
  /** When each region was last asked about the workspace. */
  readonly askedMs = new Map<string, number>();
  /** When the previous lead last replicated this ledger here. */
  standbyMs = -Infinity;
  lastGiftMs = -Infinity;
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

type NamedLedger = readonly [workspace: string, ledger: Ledger];

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
  readonly #equalShare: number;
  readonly #minShare: number;
  readonly #others: readonly string[];
  /** When each region last sent a report that held all workspaces of which it has moved shares. */
  readonly #completeMs = new Map<string, number>();
  /** Workspaces that each region has asked about since the last report to it. */
  readonly #asked = new Map<string, readonly string[]>();
  readonly #newGifts = new Set<string>();
  /** By the region that gets the reports. */
  readonly #roundRobins = new Map<string, RoundRobin>();

  constructor(self: string, regions: readonly string[], nowMs: number) {
    super(self, regions);
    this.#startedMs = nowMs;
    this.#equalShare = Math.floor(MILLION / this.regions.length);
    this.#minShare = Math.floor(this.#equalShare * MIN_SHARE_OF_EQUAL);
    this.#others = this.regions.filter((region) => region !== self);
  }

  shareOf(workspace: string, nowMs: number): number {
    const ledger = this.#ledgers.get(workspace);
    const share = ledger ? this.#shareOfLedger(ledger) : this.#equalShare;
    return Math.min(share, this.#maxUsable(ledger, nowMs)) / MILLION;
  }

  override isKnown(workspace: string, nowMs: number): boolean {
    return this.#isSure(this.#ledgers.get(workspace), nowMs);
  }

  #isSure(ledger: Ledger | undefined, nowMs: number): boolean {
    return nowMs - this.#startedMs >= UNKNOWN_MS ||
      this.#others.every((region) => this.#isKnown(ledger, region));
  }

  /** Maximum share of a workspace that this lead may use, in millionths. */
  #maxUsable(ledger: Ledger | undefined, nowMs: number): number {
    // One region alone may have got everything but the share that is never given away.
    return this.#isSure(ledger, nowMs) ? MILLION : this.#minShare;
  }

  /** Whether this lead knows what its region has given of a workspace to another region. */
  #isKnown(ledger: Ledger | undefined, region: string): boolean {
    const standbyMs = ledger?.standbyMs ?? -Infinity;
    return this.#startedMs - standbyMs < STANDBY_VALID_MS ||
      this.#isReported(ledger, region);
  }

  /** Whether another region has told this lead what it was given of a workspace. */
  #isReported(ledger: Ledger | undefined, region: string): boolean {
    const heardMs = Math.max(
      ledger?.reports.get(region)?.heardMs ?? -Infinity,
      this.#completeMs.get(region) ?? -Infinity,
    );
    return heardMs >= this.#startedMs;
  }

  /**
   * Reports from before count no more, because another VM may have led meanwhile and given shares away. This VM has the
   * counters of such gifts only if the other one has just replicated its state here.
   */
  startLeading(nowMs: number): void {
    this.#startedMs = nowMs;
  }

  noteDemand(workspace: string, units: number, nowMs: number): void {
    this.#ledgerOf(workspace, nowMs).noteDemand(units, nowMs);
  }

  rebalance(nowMs: number): void {
    const byLastGift = [...this.#ledgers].sort(([, a], [, b]) =>
      a.lastGiftMs < b.lastGiftMs ? -1 : a.lastGiftMs > b.lastGiftMs ? 1 : 0
    );
    let gifts = 0;
    for (const [workspace, ledger] of byLastGift) {
      if (gifts === MAX_GIFTS) return;
      if (this.#maxUsable(ledger, nowMs) < MILLION) continue;
      if (!this.#giveAway(ledger, nowMs)) continue;
      gifts++;
      ledger.lastGiftMs = nowMs;
      this.#newGifts.add(workspace);
    }
  }

  buildReport(region: string, nowMs: number): ShareReport | undefined {
    const asked = this.#takeAsked(region, nowMs);
    const active = [...this.#ledgers].filter(([, ledger]) =>
      nowMs - ledger.lastUsedMs < IDLE_MS || hasMoved(ledger)
    );
    const isComplete = active.length <= MAX_ROWS;
    const batch = isComplete ? active : this.#nextRows(region, active, asked);
    // Even an empty report shows that this region has no moved shares, so that a new lead there may use its own.
    return {
      region: this.self,
      rows: batch.map(([workspace, ledger]) => ({
        workspace,
        demandPerS: Math.round(ledger.demandPerS(nowMs)),
        share: this.#shareOfLedger(ledger) / MILLION,
        given: ledger.given.get(region) ?? 0,
        taken: ledger.taken.get(region) ?? 0,
      })),
      isComplete,
      asks: this.#nextAsks(region, nowMs),
    };
  }

  /** The ledgers that a region has asked about since the last report to it. */
  #takeAsked(region: string, nowMs: number): NamedLedger[] {
    const names = this.#asked.get(region) ?? [];
    this.#asked.delete(region);
    return names.map((name) => [name, this.#ledgerOf(name, nowMs)]);
  }

  /** The ledgers of one report if it can't hold all: those asked for, then the others in turn. */
  #nextRows(
    region: string,
    active: readonly NamedLedger[],
    asked: readonly NamedLedger[],
  ): readonly NamedLedger[] {
    const roundRobin = this.#roundRobins.get(region) ?? new RoundRobin();
    this.#roundRobins.set(region, roundRobin);
    const max = MAX_ROWS - asked.length;
    const askedNames = new Set(asked.map(([name]) => name));
    const others = roundRobin.next(active, max, ([name]) => name)
      .filter(([name]) => !askedNames.has(name));
    return [...asked, ...others];
  }

  /** Workspaces that callers use here and of which it is unknown what the region holds; those with most demand first. */
  #nextAsks(region: string, nowMs: number): string[] {
    if (nowMs - this.#startedMs >= UNKNOWN_MS) return [];
    const unknown = [...this.#ledgers].filter(([, ledger]) =>
      ledger.demandPerS(nowMs) >= MIN_ASK_DEMAND_PER_S &&
      nowMs - (ledger.askedMs.get(region) ?? -Infinity) >= ASK_AGAIN_MS &&
      !this.#isReported(ledger, region)
    );
    const next = unknown
      .sort(([, a], [, b]) => b.demandPerS(nowMs) - a.demandPerS(nowMs))
      .slice(0, MAX_ASKS);
    for (const [, ledger] of next) ledger.askedMs.set(region, nowMs);
    return next.map(([name]) => name);
  }

  applyReport(report: ShareReport, nowMs: number): void {
    const { region, rows, isComplete, asks } = report;
    if (!this.#others.includes(region)) return;
    for (const row of rows) this.#applyRow(region, row, nowMs);
    if (isComplete) this.#completeMs.set(region, nowMs);
    const asked = new Set([...this.#asked.get(region) ?? [], ...asks]);
    this.#asked.set(region, [...asked].slice(0, MAX_ASKS));
  }

  takeNewGifts(max: number): readonly string[] {
    const workspaces = [...this.#newGifts].slice(0, max);
    for (const workspace of workspaces) this.#newGifts.delete(workspace);
    return workspaces;
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
    ledger.standbyMs = nowMs;
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

  /**
   * Gives what this region has above its target share by demand to the regions below theirs. Returns whether it gave
   * something.
   */
  #giveAway(ledger: Ledger, nowMs: number): boolean {
    const others = [...ledger.reports].filter(([, { heardMs }]) =>
      nowMs - heardMs < REPORT_VALID_MS
    );
    if (others.length === 0) return false;
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
    if (excess < MIN_MOVE) return false;
    const lacks = others.map(([region, report]) => ({
      region,
      lack: Math.max(0, targetOf(report) - report.share * MILLION),
    }));
    const totalLack = lacks.reduce((total, { lack }) => total + lack, 0);
    const moved = Math.min(excess, totalLack);
    if (moved < MIN_MOVE) return false;
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
    return true;
  }
}
