/**
 * What a VM that is being stopped still takes on.
 *
 * @module
 */

import type { Route } from "./types.ts";

/** Twice the p99 of plain calls on played days without an outage of theirs (0.4 to 0.75 s). */
const PLAIN_MS = 1_500;
/** A short stream on an engine at its peak; the p99 on heavy played days lay between 1.9 and 3.6 s. */
const FIRST_EVENT_MS = 2_500;
/** Time of an output token on an engine at its peak, where reading prompts takes half of the time. */
const TOKEN_MS = 12;

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
