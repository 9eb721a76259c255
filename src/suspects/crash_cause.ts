/**
 * What speaks against a request when its upstream's connection breaks.
 *
 * @module
 */

/** A request that crashes its upstream does so as it begins to run; a crash later than this has another cause. */
const MAX_CRASH_DELAY_MS = 500;

/** How long a request had been at its upstream when the connection broke. */
export interface BrokenRun {
  /** Time since the first bytes of its answer's body; absent if none came. */
  readonly beganAgoMs?: number;
}

/**
 * Whether the request itself can be the cause, should the upstream have ended. Of a hundred streams that break together
 * most have run for long, and are cleared by this alone.
 */
export function canBeCause({ beganAgoMs }: BrokenRun): boolean {
  return beganAgoMs === undefined || beganAgoMs <= MAX_CRASH_DELAY_MS;
}

/** Whether a request that has run for so long can be told innocent before its end. */
export function hasSurvived(beganAgoMs: number): boolean {
  return beganAgoMs > MAX_CRASH_DELAY_MS;
}
