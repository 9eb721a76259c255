/**
 * The moves of a schedule and the model of the store that `fuzz_table_world.ts` works with.
 *
 * @module
 */

import type {
  LoggedEdit,
  Table,
  TableHead,
  TableImage,
} from "../src/agreement/mod.ts";

/** One step of a schedule; `a`, `b` and `c` choose among what is possible. */
export interface Move {
  readonly type: typeof MOVE_TYPES[number];
  readonly a: number;
  readonly b: number;
  readonly c: number;
}

/** All moves; those that come twice come twice as often. */
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

/** The store. */
export interface StoreState {
  rev: number;
  head: TableHead | undefined;
  headRev: number;
  log: Map<number, LoggedEdit>;
  snapshot: TableImage | undefined;
}

/** A store without a table. */
export function makeEmptyStore(): StoreState {
  return {
    rev: 0,
    head: undefined,
    headRev: 0,
    log: new Map(),
    snapshot: undefined,
  };
}

/** A copy that later writes leave alone. */
export function copyStore(store: StoreState): StoreState {
  return { ...store, log: new Map(store.log) };
}

/** All that a table says, as text. */
export function formatTable(table: Table): string {
  const rows = [...table.rows()].map((it) => JSON.stringify(it)).sort();
  return `${table.version} ${rows.join()}`;
}

/** Throws if a rule does not hold. */
export function check(holds: boolean, rule: string): void {
  if (!holds) throw new Error(rule);
}
