/**
 * Stated outcomes: limits on the measures of a replay, for all its requests or a part of them.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Measure, measureNames, type Report } from "./report.ts";

const outcomeSchema = z.strictObject({
  measure: z.enum(measureNames),
  /** Only requests of this group. */
  group: z.string().optional(),
  /** Only requests of callers in this region. */
  region: z.string().optional(),
  /** Only requests that arrived in this span of the trace. */
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

/** One stated outcome. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** What became of a stated outcome; one that could not be measured is not held. */
export interface OutcomeResult {
  readonly outcome: Outcome;
  readonly value: number | undefined;
  readonly held: boolean;
}

/** Reads a file of outcomes. */
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

/** Compares the report with what was stated. */
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
