/**
 * Figures of a run's outcomes.
 *
 * @module
 */

import type { Outcome } from "./world.ts";

/** The value below which this share of the sorted values lies. */
export function percentile(sorted: readonly number[], share: number): number {
  if (sorted.length === 0) return NaN;
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

/** First-token times of those that were served, sorted. */
export function sortedFirstTokenMs(outcomes: readonly Outcome[]): number[] {
  return outcomes
    .filter((o) => o.result === "served")
    .map((o) => o.firstTokenMs!)
    .sort((a, b) => a - b);
}

/** Work of a request, whatever is cached: its whole prompt, and its answer at the cost of output. */
export function workOf({ request: ask }: Outcome): number {
  return ask.promptTokens + 5 * ask.outputTokens;
}

/** Work served in time, a second. */
export function goodputPerS(
  outcomes: readonly Outcome[],
  seconds: number,
): number {
  const served = outcomes.filter(isInTime);
  return served.reduce((sum, o) => sum + workOf(o), 0) / seconds;
}

export function isInTime(outcome: Outcome): boolean {
  return outcome.result === "served" &&
    outcome.request.atMs + outcome.firstTokenMs! <=
      outcome.request.deadlineMs + 1;
}

/** Jain's index of the values: 1 when all are equal. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** The mean of the values. */
export function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

/** The part of the values for which this holds. */
export function share<T>(
  values: readonly T[],
  matches: (value: T) => boolean,
): number {
  return values.length === 0
    ? 0
    : values.filter(matches).length / values.length;
}

/** A figure short enough to compare. */
export function roundTo4Digits(value: number): number {
  return Number(value.toPrecision(4));
}
