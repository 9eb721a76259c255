/**
 * The choice between priority classes: the most urgent first, but each class with entries gets at least one in ten grants.
 *
 * @module
 */

import {
  FairShares,
  type Head,
  type HeadOrder,
  orderOfHeads,
} from "./fair_shares.ts";
import type { Entry } from "./waiting_request.ts";

/** A class that has entries is served at least once in as many grants. */
const GRANTS_PER_TURN = 10;
/** With more classes than this, not each could have its turn. Less urgent priorities share the last class. */
const CLASS_COUNT = GRANTS_PER_TURN;

/** A class and the turns that it let pass. */
interface PriorityClass {
  readonly index: number;
  readonly shares: FairShares;
  /** Grants to other classes since it was last served or became active. */
  missed: number;
}

/** Returns the class of a priority. */
export function classOf(priority: number): number {
  const index = Math.floor(priority);
  return index < CLASS_COUNT ? Math.max(0, index) : CLASS_COUNT - 1;
}

/**
 * The entries by class.
 *
 * Entries that have waited most of their time compete with the most urgent class that has entries, by the shares of
 * their workspaces there. They don't pass the entries that precede them in their own class: otherwise a workspace that
 * sends more than its share, whose entries all wait long, would pass all others of its class.
 */
export class Classes {
  readonly #order: HeadOrder;
  readonly #classes: readonly PriorityClass[];

  /** Shares of workspaces may differ by `toleranceTokens`, within which due times decide. */
  constructor(toleranceTokens: number) {
    this.#order = orderOfHeads(toleranceTokens);
    this.#classes = Array.from(
      { length: CLASS_COUNT },
      (_, index) => ({ index, shares: new FairShares(this.#order), missed: 0 }),
    );
  }

  add(entry: Entry): void {
    this.#classes[entry.classIndex].shares.add(entry);
  }

  /** Removes an entry, which must be there, without a charge. */
  remove(entry: Entry): void {
    const found = this.#classes[entry.classIndex];
    found.shares.remove(entry);
    if (found.shares.size === 0) found.missed = 0;
  }

  /** Removes an entry, which must be there, and charges its workspace and its class. */
  take(entry: Entry, nowMs: number): void {
    const { classIndex, costTokens, request: { workspace } } = entry;
    const active = this.#active();
    const [mostUrgent] = active;
    const own = this.#classes[classIndex];
    own.shares.charge(workspace, costTokens);
    if (mostUrgent !== own && entry.agedAtMs <= nowMs) {
      mostUrgent.shares.charge(workspace, costTokens);
    }
    for (const passed of active) passed.missed++;
    own.missed = 0;
    this.remove(entry);
  }

  /** The first entry of each workspace and class in service order, at most `most`. */
  heads(most: number, nowMs: number): Entry[] {
    const active = this.#active();
    const due = findDue(active);
    const entries = due ? entriesOf(due.shares.heads(most, nowMs)) : [];
    const [mostUrgent, ...others] = active.filter((other) => other !== due);
    if (!mostUrgent || entries.length >= most) return entries;
    let first = mostUrgent.shares.heads(most, nowMs);
    const rest: Head[] = [];
    for (const { shares } of others) {
      const heads = shares.heads(most, nowMs);
      const fresh = heads.findIndex(({ entry }) => entry.agedAtMs > nowMs);
      const aged = fresh < 0 ? heads : heads.slice(0, fresh);
      first = mergeHeads(
        first,
        rankAmong(mostUrgent.shares, aged),
        this.#order,
      );
      rest.push(...heads.slice(aged.length));
    }
    entries.push(...entriesOf(first), ...entriesOf(rest));
    return entries.slice(0, most);
  }

  /** How many entries would be served before this one, which may be queued or not. */
  countAhead(entry: Entry, nowMs: number): number {
    const active = this.#active();
    const own = this.#classes[entry.classIndex];
    const ahead = own.shares.countAhead(entry);
    const moreUrgent = active.filter(({ index }) => index < own.index);
    const lessUrgent = active.filter(({ index }) => index > own.index);
    const before = ahead + sumOf(moreUrgent.map(({ shares }) => shares.size));
    const total = before + countTurns(lessUrgent, before);
    if (moreUrgent.length === 0) return total;
    const untilTurn = ahead * GRANTS_PER_TURN +
      Math.max(0, GRANTS_PER_TURN - 1 - own.missed);
    const untilShare = entry.agedAtMs <= nowMs
      ? ahead + moreUrgent[0].shares.countAhead(entry)
      : Infinity;
    return Math.min(total, untilTurn, untilShare);
  }

  /** The number of entries by class and workspace. */
  sizes(): Record<string, Record<string, number>> {
    return Object.fromEntries(
      this.#active().map(({ index, shares }) => [index, shares.sizes()]),
    );
  }

  #active(): PriorityClass[] {
    return this.#classes.filter(({ shares }) => shares.size > 0);
  }
}

/** Ranks entries of a lower class by the shares of a more urgent one, without changing their order. */
function rankAmong(shares: FairShares, heads: readonly Head[]): Head[] {
  let latestTag = 0;
  return heads.map(({ entry }) => {
    latestTag = Math.max(
      latestTag,
      shares.startTagOf(entry.request.workspace),
    );
    return { entry, startTag: latestTag };
  });
}

/** Merges two lists, each of which keeps its order. */
function mergeHeads(
  a: readonly Head[],
  b: readonly Head[],
  order: HeadOrder,
): Head[] {
  const merged: Head[] = [];
  let next = 0;
  for (const head of a) {
    while (next < b.length && order(b[next], head) < 0) {
      merged.push(b[next++]);
    }
    merged.push(head);
  }
  return [...merged, ...b.slice(next)];
}

function entriesOf(heads: readonly Head[]): Entry[] {
  return heads.map(({ entry }) => entry);
}

/**
 * Returns the class that must be served now so that each gets its turn; `undefined` if there is none. If several have
 * to be served within the next few grants, the first of them is due early.
 */
function findDue(active: readonly PriorityClass[]): PriorityClass | undefined {
  const byMissed = [...active].sort((a, b) => b.missed - a.missed);
  const isDue = byMissed.some(({ missed }, place) =>
    GRANTS_PER_TURN - 1 - missed <= place
  );
  return isDue ? byMissed[0] : undefined;
}

/** How many turns of these classes fall before a request that `before` entries of other classes precede. */
function countTurns(
  classes: readonly PriorityClass[],
  before: number,
): number {
  const most = before / (1 - classes.length / GRANTS_PER_TURN);
  const turns = classes.map(({ shares }) =>
    Math.min(shares.size, most / GRANTS_PER_TURN)
  );
  return Math.floor(sumOf(turns));
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
