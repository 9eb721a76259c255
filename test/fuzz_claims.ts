/**
 * Property tests of the claim machines: random schedules of faults, checked for calls that ran twice, wrong answers,
 * denials of what ran, and for standing still after all faults have ended.
 *
 * @module
 */

import fc from "fast-check";
import type { Variant } from "./fuzz_claims_vms.ts";
import { ClaimsWorld, type Step } from "./fuzz_claims_world.ts";

/** How long schedules are, and how many. */
export interface FuzzOptions {
  readonly runs: number;
  readonly seed: number;
  readonly steps?: number;
  /** Leaves the failing schedule as it was found, which saves the time of shortening it. */
  readonly keepLong?: boolean;
}

/** What a run found: nothing, or the shortest schedule that breaks a rule. */
export type FuzzResult =
  | { readonly type: "held"; readonly runs: number }
  | {
    readonly type: "broken";
    readonly violations: readonly string[];
    readonly schedule: readonly Step[];
    readonly trace: readonly string[];
  };

/** How often each step comes; those that make and deliver claims outweigh the faults. */
const ops = [
  ...[0, 0, 0, 1, 1, 1, 2],
  ...[3, 3, 3, 4, 4, 4, 5, 5, 6, 6],
  ...[7, 8, 8, 9, 10, 11, 11, 12, 13, 14, 15, 15],
  ...[16, 16, 17, 17, 17, 18, 19, 20, 21, 21],
];

const step = fc.tuple(
  fc.constantFrom(...ops),
  fc.nat(63),
  fc.nat(63),
);

/** Replays one schedule. */
export function replay(schedule: readonly Step[], variant?: Variant) {
  const world = new ClaimsWorld(variant);
  world.advance(1000);
  for (const next of schedule) {
    world.step(next);
    if (world.violations.length > 0) return world;
  }
  world.checkProgress();
  return world;
}

/** Runs random schedules over the machines, or over a broken variant of them. */
export function fuzzClaims(
  options: FuzzOptions,
  variant?: Variant,
): FuzzResult {
  const schedules = fc.array(step, {
    maxLength: options.steps ?? 120,
    size: "max",
  });
  const checked = fc.check(
    fc.property(
      schedules,
      (schedule) => replay(schedule, variant).violations.length === 0,
    ),
    {
      numRuns: options.runs,
      seed: options.seed,
      endOnFailure: options.keepLong ?? false,
    },
  );
  if (!checked.failed) return { type: "held", runs: checked.numRuns };
  const schedule = checked.counterexample![0];
  const { violations, trace } = replay(schedule, variant);
  return { type: "broken", violations, schedule, trace };
}
