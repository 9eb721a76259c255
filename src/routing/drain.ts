/**
 * Decides which requests a draining VM still accepts.
 *
 * @module
 */

import type { Route } from "./types.ts";

/** Least time that a plain call is given: twice the 99th percentile of short calls to a healthy service. */
const PLAIN_CALL_MS = 1_500;
/**
 * Time to a stream's first event on an engine at peak load. The 99th percentile of a short stream there is two to four
 * seconds.
 */
const PEAK_FIRST_EVENT_MS = 2_500;
/** Time per output token on an engine at peak load, where reading prompts takes half of the time. */
const PEAK_TOKEN_MS = 12;

/**
 * Time after the stop signal in which a request is accepted by its usual duration; it is cut off if that estimate is
 * wrong. The users' rules excuse a cut-off if the request was sent up to 3 s after the signal and its upstream was at
 * work in the last sixth of the drain time. The difference to 3 s allows for network delay and clock skew.
 */
const EARLY_DRAIN_MS = 2_700;
/** Longest times of a stream on an engine that is not at peak load. */
const USUAL_FIRST_EVENT_MS = 750;
const USUAL_TOKEN_MS = 6;

/** Progress of a VM's drain. */
export interface DrainTimes {
  /** Time since the stop signal. */
  readonly sinceMs: number;
  /** Time until the process ends; `Infinity` if the VM is not draining. */
  readonly leftMs: number;
}

/** What is known of how long a request may take. */
export interface DrainRequest {
  readonly route: Route;
  readonly outputTokens: number;
  /** After this time its caller gets an answer in any case. */
  readonly maxMs: number;
  /** Time within which nearly all calls of its route end, or streams without a number of tokens; 0 if not known. */
  readonly usualMs: number;
  /** Whether an upstream of its service answers as usual, as far as known. */
  readonly isUsual: boolean;
}

/**
 * Whether a request that arrives while the VM is draining can finish before the process ends. A request that cannot is
 * refused at once and not run: if it were cut off it would be lost, and an at-most-once call could not even be retried.
 * How long requests usually take says nothing where all upstreams are silent; then only the deadline does. Early in the
 * drain the usual duration decides and not the longest, because callers still use this VM's address for seconds.
 * Refusing every stream then would turn many requests away while VMs are stopped one after another.
 */
export function canFinish(
  { route, outputTokens, maxMs, usualMs, isUsual }: DrainRequest,
  { sinceMs, leftMs }: DrainTimes,
): boolean {
  if (leftMs > maxMs) return true;
  if (!isUsual) return false;
  if (route.kind !== "stream") {
    return leftMs > Math.max(PLAIN_CALL_MS, usualMs);
  }
  const isEarly = sinceMs < EARLY_DRAIN_MS;
  if (isEarly) {
    return leftMs > USUAL_FIRST_EVENT_MS + outputTokens * USUAL_TOKEN_MS;
  }
  const peakMs = PEAK_FIRST_EVENT_MS + outputTokens * PEAK_TOKEN_MS;
  return leftMs > (outputTokens > 0 ? peakMs : Math.max(peakMs, usualMs));
}
