/**
 * Property tests of the table's machines: random schedules of racing edits and faults.
 *
 * @module
 */

import fc from "fast-check";
import { type Move, MOVE_TYPES } from "./fuzz_table_model.ts";
import { type Machines, replay } from "./fuzz_table_world.ts";

/** Moves without a restore of the store. */
export const MOVES_WITHOUT_RESTORE = MOVE_TYPES.filter((type) =>
  type !== "save" && type !== "restore"
);

/** Moves that bring about two histories: a late answer after a restore, then edits and images from both sides. */
export const FORKING_MOVES: readonly Move["type"][] = [
  "propose",
  "work",
  "land",
  "answer",
  "pull",
  "save",
  "restore",
];

/** Which schedules are tried, and how many. */
export interface TableFuzzOptions {
  readonly types: readonly Move["type"][];
  readonly seed: number;
  readonly runs: number;
}

/** Runs schedules until one violates a rule; answers with its report, which replays by `replay(whole, [...])`. */
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
