/**
 * Shares of a limit that follow the callers from region to region.
 *
 * Only the region that has a share gives it away: it uses less from that moment on, and says so in a counter that only
 * grows; the other region uses more once it has heard of it. A message that is lost, late or said twice changes nothing,
 * so whatever is cut, the shares add up to the whole at most. The counters are an escrow, as in bounded counters.
 *
 * @module
 */

import {
  type ShareNote,
  type ShareRow,
  Shares,
  STANDBY_MS,
  type StandbyRow,
} from "./shares.ts";
import { Turns } from "./turns.ts";

/** Counters are whole numbers, so that no share is lost by rounding. */
const MILLION = 1_000_000;
/** A region always keeps this much of an equal share, so that its first callers after a quiet time needn't wait. */
const KEPT_OF_EQUAL = 0.1;
/** A smaller move is not worth a message. */
const LEAST_MOVE = 0.01 * MILLION;
/** Demand is averaged over this long: a clump of callers must not move shares, an hour's change must within a second. */
const DEMAND_MS = 700;
/** What a region that wasn't heard for this long wants is not known, and nothing is given to it. */
const HEARD_MS = 1_500;
/** A workspace that nobody called for this long is told no more. */
const IDLE_MS = 15_000;
/** Rows of one note, some two kilobytes; with more busy workspaces they take turns. */
const MOST_ROWS = 48;
/** Demand of a region without callers, as a share of all, so that idle shares come to rest evenly. */
const RESTING_DEMAND = 0.01;
/**
 * A lead that has just begun uses only what no region gives away, and more with each region that it hears from: its own
 * region may have given the rest before. After this long without any word there is nobody who would know.
 */
const UNKNOWN_MS = 30_000;

/** What is known of another region's use of a workspace. */
interface Told {
  readonly demandPerS: number;
  readonly share: number;
  readonly heardMs: number;
}

class Ledger {
  /** Given to each region, and taken from it, in millionths. */
  readonly given = new Map<string, number>();
  readonly taken = new Map<string, number>();
  readonly told = new Map<string, Told>();
  #demandPerS = 0;
  #demandMs: number;
  usedMs: number;

  constructor(nowMs: number) {
    this.#demandMs = nowMs;
    this.usedMs = nowMs;
  }

  demandPerS(nowMs: number): number {
    const passedMs = Math.max(0, nowMs - this.#demandMs);
    this.#demandMs = nowMs;
    this.#demandPerS *= Math.exp(-passedMs / DEMAND_MS);
    return this.#demandPerS;
  }

  noteDemand(units: number, nowMs: number): void {
    this.#demandPerS = this.demandPerS(nowMs) + units * 1_000 / DEMAND_MS;
    this.usedMs = nowMs;
  }
}

/** Takes over a counter that only grows. */
function raise(
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

/** See the module. */
export class MovingShares extends Shares {
  readonly #ledgers = new Map<string, Ledger>();
  #beganMs: number;
  #standbyMs = -Infinity;
  readonly #equal: number;
  readonly #kept: number;
  /** Regions that have said what they know since this lead began. */
  readonly #informedBy = new Set<string>();
  /** By the region that is told. */
  readonly #turns = new Map<string, Turns>();

  constructor(self: string, regions: readonly string[], nowMs: number) {
    super(self, regions);
    this.#beganMs = nowMs;
    this.#equal = Math.floor(MILLION / this.regions.length);
    this.#kept = Math.floor(this.#equal * KEPT_OF_EQUAL);
  }

  shareOf(workspace: string, nowMs: number): number {
    const ledger = this.#ledgers.get(workspace);
    const share = ledger ? this.#shareIn(ledger) : this.#equal;
    return Math.min(share, this.#mostKnown(nowMs)) / MILLION;
  }

  /** The most that this lead may use before every region has told it what its own one gave away, in millionths. */
  #mostKnown(nowMs: number): number {
    const others = this.regions.length - 1;
    const unheard = others - this.#informedBy.size;
    if (unheard === 0 || nowMs - this.#beganMs >= UNKNOWN_MS) return MILLION;
    return this.#kept + (this.#equal - this.#kept) * (1 - unheard / others);
  }

  /** What others led meanwhile is known only if a predecessor told it a moment ago. */
  begin(nowMs: number): void {
    this.#beganMs = nowMs;
    if (nowMs - this.#standbyMs >= STANDBY_MS) this.#informedBy.clear();
  }

  noteDemand(workspace: string, units: number, nowMs: number): void {
    this.#ledger(workspace, nowMs).noteDemand(units, nowMs);
  }

  balance(nowMs: number): void {
    if (this.#mostKnown(nowMs) < MILLION) return;
    for (const ledger of this.#ledgers.values()) this.#give(ledger, nowMs);
  }

  tell(region: string, nowMs: number): ShareNote | undefined {
    const busy = [...this.#ledgers].filter(([, ledger]) =>
      nowMs - ledger.usedMs < IDLE_MS || ledger.given.size > 0
    );
    // Says that this region is there: a lead that starts may then use its share.
    if (busy.length === 0) return { region: this.self, rows: [] };
    const turn = this.#turnsFor(region).next(busy, MOST_ROWS, ([name]) => name);
    return {
      region: this.self,
      rows: turn.map(([workspace, ledger]) => ({
        workspace,
        demandPerS: Math.round(ledger.demandPerS(nowMs)),
        share: this.#shareIn(ledger) / MILLION,
        given: ledger.given.get(region) ?? 0,
        taken: ledger.taken.get(region) ?? 0,
      })),
    };
  }

  noteTold({ region, rows }: ShareNote, nowMs: number): void {
    if (region === this.self || !this.regions.includes(region)) return;
    for (const row of rows) this.#noteRow(region, row, nowMs);
    this.#informedBy.add(region);
  }

  standby(workspace: string): Pick<StandbyRow, "given" | "taken"> {
    const ledger = this.#ledgers.get(workspace);
    return {
      given: Object.fromEntries(ledger?.given ?? []),
      taken: Object.fromEntries(ledger?.taken ?? []),
    };
  }

  noteStandby({ workspace, given, taken }: StandbyRow, nowMs: number): void {
    const ledger = this.#ledger(workspace, nowMs);
    for (const region of this.regions) {
      raise(ledger.given, region, given[region]);
      raise(ledger.taken, region, taken[region]);
    }
    this.#standbyMs = nowMs;
    for (const region of this.regions) {
      if (region !== this.self) this.#informedBy.add(region);
    }
  }

  #turnsFor(region: string): Turns {
    let turns = this.#turns.get(region);
    if (!turns) {
      turns = new Turns();
      this.#turns.set(region, turns);
    }
    return turns;
  }

  #noteRow(region: string, row: ShareRow, nowMs: number): void {
    const ledger = this.#ledger(row.workspace, nowMs);
    raise(ledger.taken, region, row.given);
    // More than this lead knows to have given: its predecessor did.
    raise(ledger.given, region, row.taken);
    // What is on its way there it has as good as received; it would be given the same again otherwise.
    const onWay = Math.max(0, (ledger.given.get(region) ?? 0) - row.taken);
    ledger.told.set(region, {
      demandPerS: row.demandPerS,
      share: row.share + onWay / MILLION,
      heardMs: nowMs,
    });
    if (row.demandPerS > 0) ledger.usedMs = nowMs;
  }

  #ledger(workspace: string, nowMs: number): Ledger {
    let ledger = this.#ledgers.get(workspace);
    if (!ledger) {
      ledger = new Ledger(nowMs);
      this.#ledgers.set(workspace, ledger);
    }
    return ledger;
  }

  #shareIn({ given, taken }: Ledger): number {
    return Math.max(this.#kept, this.#equal + sum(taken) - sum(given));
  }

  /** Gives what this region has beyond its part by demand to those that have less than theirs. */
  #give(ledger: Ledger, nowMs: number): void {
    const others = [...ledger.told].filter(([, { heardMs }]) =>
      nowMs - heardMs < HEARD_MS
    );
    if (others.length === 0) return;
    const own = {
      demandPerS: ledger.demandPerS(nowMs),
      share: this.#shareIn(ledger) / MILLION,
    };
    const all = [own, ...others.map(([, told]) => told)];
    const demand = all.reduce((total, { demandPerS }) => total + demandPerS, 0);
    const pool = all.reduce((total, { share }) => total + share, 0) * MILLION;
    const spare = Math.max(0, pool - all.length * this.#kept);
    const resting = Math.max(1, demand) * RESTING_DEMAND;
    const weight = demand + resting * all.length;
    const partOf = ({ demandPerS }: { readonly demandPerS: number }) =>
      this.#kept + spare * (demandPerS + resting) / weight;
    const excess = own.share * MILLION - partOf(own);
    if (excess < LEAST_MOVE) return;
    const lacks = others.map(([region, told]) => ({
      region,
      lack: Math.max(0, partOf(told) - told.share * MILLION),
    }));
    const lacking = lacks.reduce((total, { lack }) => total + lack, 0);
    const moved = Math.min(excess, lacking);
    if (moved < LEAST_MOVE) return;
    for (const { region, lack } of lacks) {
      const given = Math.floor(moved * lack / lacking);
      if (given === 0) continue;
      ledger.given.set(region, (ledger.given.get(region) ?? 0) + given);
      const told = ledger.told.get(region)!;
      // Counted as had already, or each turn would give it again until the region answers.
      ledger.told.set(region, { ...told, share: told.share + given / MILLION });
    }
  }
}
