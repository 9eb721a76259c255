/**
 * The moves of a schedule and the model of the store for `fuzz_table_world.ts`.
 *
 * @module
 */

import type {
  LoggedEdit,
  Table,
  TableHead,
  TableImage,
} from "../src/agreement/mod.ts";

/** One step of a schedule. `a`, `b` and `c` select the VMs, writes, rows or edits that it concerns. */
export interface Move {
  readonly type: typeof MOVE_TYPES[number];
  readonly a: number;
  readonly b: number;
  readonly c: number;
}

/** All moves. Those listed twice are drawn twice as often. */
export const MOVE_TYPES = [
  "propose",
  "read",
  "work",
  "work",
  "land",
  "land",
  "answer",
  "lose",
  "push",
  "push",
  "pull",
  "crash",
  "snapshot",
  "save",
  "restore",
  "resubmit",
] as const;

/** The store's state: the table's head, log and snapshot. */
export interface StoreState {
  rev: number;
  head: TableHead | undefined;
  headRev: number;
  log: Map<number, LoggedEdit>;
  snapshot: TableImage | undefined;
}

/** Returns a store without a table. */
export function makeEmptyStore(): StoreState {
  return {
    rev: 0,
    head: undefined,
    headRev: 0,
    log: new Map(),
    snapshot: undefined,
  };
}

/** Returns a copy that later writes do not change. */
export function copyStore(store: StoreState): StoreState {
  return { ...store, log: new Map(store.log) };
}

/** Returns a table's version and rows as text, to compare tables. */
export function formatTable(table: Table): string {
  const rows = [...table.rows()].map((it) => JSON.stringify(it)).sort();
  return `${table.version} ${rows.join()}`;
}

/** Throws if a rule does not hold. */
export function check(holds: boolean, rule: string): void {
  if (!holds) throw new Error(rule);
}
