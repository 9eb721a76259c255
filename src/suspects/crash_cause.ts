/**
 * Decides whether a request can be the cause when its upstream's connection breaks.
 *
 * @module
 */

/**
 * A request that crashes its upstream does so within this time of beginning to run. A later crash has another cause.
 */
const MAX_CRASH_DELAY_MS = 500;

/** A request whose connection broke, and how long it had run. */
export interface BrokenRun {
  /** Time since the first bytes of the answer's body; absent if none came. */
  readonly beganAgoMs?: number;
}

/**
 * Whether the request itself can be the cause if the upstream crashed. Of a hundred streams that break together most
 * have run for a long time, and are cleared by this check alone.
 */
export function canBeCause({ beganAgoMs }: BrokenRun): boolean {
  return beganAgoMs === undefined || beganAgoMs <= MAX_CRASH_DELAY_MS;
}

/** Whether a request that has run this long can be cleared before its end. */
export function hasSurvived(beganAgoMs: number): boolean {
  return beganAgoMs > MAX_CRASH_DELAY_MS;
}
