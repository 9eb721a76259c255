/**
 * What a VM that is being stopped still takes on.
 *
 * @module
 */

import type { Route } from "./types.ts";

/** A plain call's usual time and its tail: the slowest measured took a second behind a full queue. */
const PLAIN_MS = 1_200;
/** A stream's first event on a busy engine. */
const FIRST_EVENT_MS = 800;
/** Time of an output token on an engine whose batch is half full: 3.9 ms a step and 0.047 ms a request beside it. */
const TOKEN_MS = 7;

/**
 * Whether a request that arrives while the VM is being stopped can end before the process does. What cannot is refused
 * at once, not run: cut off in the middle it would be lost, and an at-most-once call could not even be repeated.
 */
export function canFinish(
  route: Route,
  outputTokens: number,
  leftMs: number,
): boolean {
  const wantedMs = route.kind === "stream"
    ? FIRST_EVENT_MS + outputTokens * TOKEN_MS
    : PLAIN_MS;
  return leftMs > wantedMs;
}
