/**
 * Computes figures from the outcomes of a run.
 *
 * @module
 */

import type { Outcome } from "./world.ts";

/** Returns the value at or below which this share of the sorted values lies. */
export function percentile(sorted: readonly number[], share: number): number {
  if (sorted.length === 0) return NaN;
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

/** Returns the first-token times of the requests that were served, sorted. */
export function sortedFirstTokenMs(outcomes: readonly Outcome[]): number[] {
  return outcomes
    .filter((o) => o.result === "served")
    .map((o) => o.firstTokenMs!)
    .sort((a, b) => a - b);
}

/** Returns the work of a request in tokens: its whole prompt, cached or not, and five times its output tokens. */
export function workOf({ request: ask }: Outcome): number {
  return ask.promptTokens + 5 * ask.outputTokens;
}

/** Returns the work per second of the requests that were served in time. */
export function goodputPerS(
  outcomes: readonly Outcome[],
  seconds: number,
): number {
  const served = outcomes.filter(isInTime);
  return served.reduce((sum, o) => sum + workOf(o), 0) / seconds;
}

/** Whether the request was served with its first token by the deadline. */
export function isInTime(outcome: Outcome): boolean {
  return outcome.result === "served" &&
    outcome.request.atMs + outcome.firstTokenMs! <=
      outcome.request.deadlineMs + 1;
}

/** Returns Jain's fairness index of the values, which is 1 when all are equal. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** Returns the mean of the values. */
export function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

/** Returns the share of the values that match. */
export function share<T>(
  values: readonly T[],
  matches: (value: T) => boolean,
): number {
  return values.length === 0
    ? 0
    : values.filter(matches).length / values.length;
}

/** Rounds a figure to four significant digits, so that figures are easy to compare. */
export function roundTo4Digits(value: number): number {
  return Number(value.toPrecision(4));
}
