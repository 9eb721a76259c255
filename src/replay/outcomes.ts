/**
 * Expected outcomes: limits on the measures of a replay, for all its requests or a part of them.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Measure, measureNames, type Report } from "./report.ts";

const outcomeSchema = z.strictObject({
  measure: z.enum(measureNames),
  /** If set, only requests of this group count. */
  group: z.string().optional(),
  /** If set, only requests of callers in this region count. */
  region: z.string().optional(),
  /** If set, only requests count that arrive in this span of the trace. */
  fromMs: z.number().optional(),
  toMs: z.number().optional(),
  atMost: z.number().optional(),
  atLeast: z.number().optional(),
}).refine(
  (o) => o.atMost !== undefined || o.atLeast !== undefined,
  "one of atMost and atLeast is needed",
);

const outcomesFileSchema = z.strictObject({
  outcomes: z.array(outcomeSchema).min(1),
});

/** One expected outcome. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** Result of checking an expected outcome. `held` is false if it could not be measured. */
export interface OutcomeResult {
  readonly outcome: Outcome;
  readonly value: number | undefined;
  readonly held: boolean;
}

/** Reads expected outcomes from a file. */
export function readOutcomes(path: string): Result<Outcome[], string> {
  try {
    const parsed = outcomesFileSchema.safeParse(
      JSON.parse(readFileSync(path, "utf8")),
    );
    if (parsed.success) return ok(parsed.data.outcomes);
    const [issue] = parsed.error.issues;
    return err(`${path}: ${issue.path.join(".")}: ${issue.message}`);
  } catch (error) {
    return err(`${path}: ${(error as Error).message}`);
  }
}

/** Checks the report against the expected outcomes. */
export function checkOutcomes(
  report: Report,
  outcomes: readonly Outcome[],
): OutcomeResult[] {
  return outcomes.map((expected) => {
    const value = report.measure(expected.measure as Measure, expected);
    const held = value !== undefined &&
      value <= (expected.atMost ?? Infinity) &&
      value >= (expected.atLeast ?? -Infinity);
    return { outcome: expected, value, held };
  });
}
