/**
 * Backoff between attempts.
 *
 * @module
 */

import type { Random } from "./random.ts";

/** First and maximum wait of a {@link backoffMs} sequence, before jitter. */
export interface BackoffLimits {
  readonly firstMs: number;
  readonly maxMs: number;
}

/**
 * The wait before attempt `attempt` (counted from 0): exponential, with jitter over its upper half. After an outage all VMs
 * retry at once. Without jitter their calls would arrive at the same instant and bring the store down again.
 */
export function backoffMs(
  attempt: number,
  limits: BackoffLimits,
  random: Random,
): number {
  const ceilingMs = Math.min(
    limits.maxMs,
    limits.firstMs * 2 ** Math.min(attempt, 30),
  );
  return ceilingMs / 2 + (random.next() * ceilingMs) / 2;
}
