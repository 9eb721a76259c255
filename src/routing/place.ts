/**
 * Which upstream serves a request.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { PromptPart } from "./types.ts";

/** An upstream as placing sees it. */
export interface Candidate {
  readonly key: string;
  /** Requests sent to it and not yet answered whole, by all VMs of the region as far as known. */
  readonly running: number;
  /** Prompt tokens sent to it whose first event has not come yet, by all VMs as far as known. */
  readonly waitingTokens: number;
  readonly slots: number;
  /** Whether it fails often or was lost a moment ago. */
  readonly doubtful: boolean;
}

/**
 * Prompt tokens waiting at an engine above which a request leaves its warm engine for the next. 30,000 tokens are read
 * in a third of a second (91.8 a millisecond): with the step times of a busy batch that is half of the shortest
 * objective, 800 ms, and the other half covers a cold read of the longest prompts.
 */
const MOST_WAITING_TOKENS = 30_000;
/** Above this share of its slots an engine's next requests wait; the rest is left for what other VMs send meanwhile. */
const FULL_SHARE = 0.9;

/** The part whose cache decides the engine: the last one that requests share. */
export function affinityOf(parts: readonly PromptPart[]): string | undefined {
  return parts.length > 1 ? parts[parts.length - 2].id : undefined;
}

/** Whether a candidate can start a request about at once. */
export function hasRoom(candidate: Candidate): boolean {
  return candidate.running < Math.max(1, candidate.slots * FULL_SHARE) &&
    candidate.waitingTokens < MOST_WAITING_TOKENS;
}

function load(candidate: Candidate): number {
  return candidate.running / Math.max(1, candidate.slots) +
    candidate.waitingTokens / MOST_WAITING_TOKENS;
}

/**
 * Orders candidates, best first. Requests that share a long prompt go to the same engine on every VM, by rendezvous
 * hashing: each prompt is then read once in a region and not once an engine. An engine that has no room loses its turn
 * to the next in the hash order, so one popular prompt does not queue while others idle. Plain requests go to the least
 * loaded. Doubtful upstreams come last, and are still used if nothing else is there.
 */
export function rank<C extends Candidate>(
  candidates: readonly C[],
  affinity: string | undefined,
): C[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    tier: (candidate.doubtful ? 2 : 0) + (hasRoom(candidate) ? 0 : 1),
    load: load(candidate),
    weight: affinity === undefined
      ? 0
      : hash32(`${affinity}\u0000${candidate.key}`),
  }));
  scored.sort((a, b) =>
    a.tier - b.tier ||
    (a.tier % 2 === 0 ? b.weight - a.weight : 0) ||
    a.load - b.load
  );
  return scored.map(({ candidate }) => candidate);
}
