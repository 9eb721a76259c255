/**
 * Property tests of the claim machines: random schedules of faults, checked for calls that ran twice, wrong answers,
 * denials of what ran, and for standing still after all faults have ended.
 *
 * @module
 */

import fc from "fast-check";
import type { Variant } from "./fuzz_claims_vms.ts";
import { ClaimsSimulation, type Step } from "./fuzz_claims_world.ts";

/** How long schedules are, and how many. */
export interface FuzzOptions {
  readonly runs: number;
  readonly seed: number;
  readonly maxSteps?: number;
  /** Leaves the failing schedule as it was found, which saves the time of shortening it. */
  readonly skipShrinking?: boolean;
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
const STEP_OPS = [
  ...[0, 0, 0, 1, 1, 1, 2],
  ...[3, 3, 3, 4, 4, 4, 5, 5, 6, 6],
  ...[7, 8, 8, 9, 10, 11, 11, 12, 13, 14, 15, 15],
  ...[16, 16, 17, 17, 17, 18, 19, 20, 21, 21],
];

const stepArbitrary = fc.tuple(
  fc.constantFrom(...STEP_OPS),
  fc.nat(63),
  fc.nat(63),
);

/** Replays one schedule. */
export function replay(schedule: readonly Step[], variant?: Variant) {
  const simulation = new ClaimsSimulation(variant);
  simulation.advance(1000);
  for (const step of schedule) {
    simulation.runStep(step);
    if (simulation.violations.length > 0) return simulation;
  }
  simulation.checkProgress();
  return simulation;
}

/** Runs random schedules over the machines, or over a broken variant of them. */
export function fuzzClaims(
  options: FuzzOptions,
  variant?: Variant,
): FuzzResult {
  const scheduleArbitrary = fc.array(stepArbitrary, {
    maxLength: options.maxSteps ?? 120,
    size: "max",
  });
  const details = fc.check(
    fc.property(
      scheduleArbitrary,
      (schedule) => replay(schedule, variant).violations.length === 0,
    ),
    {
      numRuns: options.runs,
      seed: options.seed,
      endOnFailure: options.skipShrinking ?? false,
    },
  );
  if (!details.failed) return { type: "held", runs: details.numRuns };
  const schedule = details.counterexample![0];
  const { violations, trace } = replay(schedule, variant);
  return { type: "broken", violations, schedule, trace };
}
