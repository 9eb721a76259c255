/**
 * Property tests of the table's state machines: random schedules of concurrent edits and faults.
 *
 * @module
 */

import fc from "fast-check";
import { type Move, MOVE_TYPES } from "./fuzz_table_model.ts";
import { type Machines, replay } from "./fuzz_table_world.ts";

/** All moves except a backup and a restore of the store. */
export const MOVES_WITHOUT_RESTORE = MOVE_TYPES.filter((type) =>
  type !== "save" && type !== "restore"
);

/** Moves that lead to two histories: a late answer after a restore, then edits and images of both histories. */
export const FORKING_MOVES: readonly Move["type"][] = [
  "propose",
  "work",
  "land",
  "answer",
  "pull",
  "save",
  "restore",
];

/** Which moves the schedules have, their seed and their number. */
export interface TableFuzzOptions {
  readonly types: readonly Move["type"][];
  readonly seed: number;
  readonly runs: number;
}

/**
 * Runs schedules until one violates a rule, and returns a report of it, `undefined` if none does. The report's moves
 * are replayed by {@link replay}.
 */
export function fuzzTable(
  machines: Machines,
  { types, seed, runs }: TableFuzzOptions,
): string | undefined {
  const property = fc.property(
    makeScheduleArbitrary(types),
    (moves) => replay(machines, moves),
  );
  const details = fc.check(property, { seed, numRuns: runs });
  if (!details.failed) return undefined;
  const moves = JSON.stringify(details.counterexample?.[0]);
  return `seed ${seed}: ${String(details.errorInstance)}\nreplay: ${moves}`;
}

function makeScheduleArbitrary(
  types: readonly Move["type"][],
): fc.Arbitrary<Move[]> {
  const choice = fc.nat({ max: 11 });
  const type = fc.constantFrom(...types);
  const move = fc.record({ type, a: choice, b: choice, c: choice });
  return fc.array(move, { minLength: 5, maxLength: 80, size: "max" });
}
