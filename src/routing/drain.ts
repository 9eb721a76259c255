/**
 * What a VM that is being stopped still takes on.
 *
 * @module
 */

import type { Route } from "./types.ts";

/** Twice what the slowest one in a hundred of plain calls takes while its service is well. */
const PLAIN_CALL_MS = 1_500;
/** A short stream on an engine at its peak: the slowest one in a hundred takes two to four seconds there. */
const PEAK_FIRST_EVENT_MS = 2_500;
/** Time of an output token on an engine at its peak, where reading prompts takes half of the time. */
const PEAK_TOKEN_MS = 12;

/**
 * Time after the signal in which a request may be taken that is cut off if the guess was wrong: the users' rules excuse
 * a cut if the request was sent up to 3 s after the signal and its upstream was at work in the last sixth of the stop's
 * time. The rest is for the way and for clocks that differ.
 */
const EARLY_DRAIN_MS = 2_700;
/** What a stream takes at most on an engine that is not at its peak. */
const USUAL_FIRST_EVENT_MS = 750;
const USUAL_TOKEN_MS = 6;

/** Where in its stop a VM is. */
export interface DrainTimes {
  /** Since the signal to stop. */
  readonly sinceMs: number;
  /** Until the process ends; `Infinity` if it is not being stopped. */
  readonly leftMs: number;
}

/**
 * Whether a request that arrives while the VM is being stopped can end before the process does. What cannot is refused
 * at once, not run: cut off in the middle it would be lost, and an at-most-once call could not even be repeated. Early in
 * the stop the usual time decides and not the longest: callers still hold this VM's address for seconds, and refusing
 * every stream then would turn many away where VMs are stopped in turn.
 */
export function canFinish(
  route: Route,
  outputTokens: number,
  { sinceMs, leftMs }: DrainTimes,
): boolean {
  if (route.kind !== "stream") return leftMs > PLAIN_CALL_MS;
  const isEarly = sinceMs < EARLY_DRAIN_MS;
  const neededMs = isEarly
    ? USUAL_FIRST_EVENT_MS + outputTokens * USUAL_TOKEN_MS
    : PEAK_FIRST_EVENT_MS + outputTokens * PEAK_TOKEN_MS;
  return leftMs > neededMs;
}
