/**
 * Property tests of the claim state machines. Random schedules of calls and faults are checked for calls that ran
 * twice, wrong answers, calls that ran but are reported as absent, and lack of progress after all faults have ended.
 *
 * @module
 */

import fc from "fast-check";
import type { Variant } from "./fuzz_claims_vms.ts";
import { ClaimsSimulation, type Step } from "./fuzz_claims_world.ts";

/** Number, seed and length of the schedules. */
export interface FuzzOptions {
  readonly runs: number;
  readonly seed: number;
  readonly maxSteps?: number;
  /** Returns a failing schedule as it was found, which saves the time to shrink it. */
  readonly skipShrinking?: boolean;
}

/** The result of a run: no violation, or a schedule that breaks a rule, shrunk unless `skipShrinking` is set. */
export type FuzzResult =
  | { readonly type: "held"; readonly runs: number }
  | {
    readonly type: "broken";
    readonly violations: readonly string[];
    readonly schedule: readonly Step[];
    readonly trace: readonly string[];
  };

/**
 * Steps of a schedule (see {@link ClaimsSimulation.runStep}), each as often as it should be drawn: those that make and
 * deliver claims outweigh the faults.
 */
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

/** Replays one schedule. Stops at the first violation. */
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

/** Runs random schedules over the state machines, or over a broken variant of them. */
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
