/**
 * Which upstream serves a request.
 *
 * @module
 */

import { hash32, mix32 } from "../base/mod.ts";
import type { PromptPart } from "./types.ts";

/** An upstream as placing sees it. */
export interface Candidate {
  readonly key: string;
  /** Hash of the key. */
  readonly hash: number;
  /** Requests sent to it and not yet answered whole, by all VMs of the region as far as known. */
  readonly running: number;
  /** Prompt tokens sent to it whose first event has not come yet, by all VMs as far as known. */
  readonly waitingTokens: number;
  readonly slots: number;
  /** Prompt tokens of this request that it would have to read. */
  readonly unreadTokens: number;
  /** Whether it fails often or was lost a moment ago. */
  readonly doubtful: boolean;
}

/** Tokens that an engine reads in a millisecond, by the users' sheets (91.8), less what decoding takes meanwhile. */
const TOKENS_PER_MS = 80;
/**
 * Prompt tokens waiting at an engine above which a request is better off elsewhere. They are read in under 400 ms; with
 * the step times of a busy batch that is half of the shortest objective, 800 ms, and the other half covers a cold read
 * of the longest prompts.
 */
const MOST_WAITING_TOKENS = 30_000;
/** Above this share of its slots an engine's next requests wait; the rest is left for what other VMs send meanwhile. */
const FULL_SHARE = 0.9;
/**
 * Requests side by side at an engine up to which a long answer still ends in time. A step takes 3.9 ms and 0.05 ms for
 * each request (users' sheet), and reading prompts takes up to half of the time: at 40 a token takes 11 ms, and the
 * longest answers, 950 tokens, just meet their 12 s.
 */
const MOST_BESIDE_LONG = 40;
/** Answers above this many tokens depend on the pace of tokens; shorter ones on the first event alone. */
const LONG_ANSWER_TOKENS = 150;
/**
 * What reading a token costs against waiting for it: it delays this request, every later one, and each token of all
 * that run there. At 1 a burst that spills makes every engine read every prompt, and the peak outlasts the burst.
 */
const READ_PRICE = 3;
/**
 * What one more running request costs the ones beside it and itself, in ms: 0.05 ms a step (users' sheet) over the 40
 * steps or so until a usual answer's end.
 */
const RUNNING_MS = 2;

/** What ties a request to an engine. */
export interface Affinity {
  /** The last part of the prompt that requests share; its cache decides. */
  readonly id: string;
  /** Tokens that no other request shares. */
  readonly ownTokens: number;
}

/** See {@link Affinity}; `undefined` for prompts that share nothing. */
export function affinityOf(
  parts: readonly PromptPart[],
): Affinity | undefined {
  if (parts.length < 2) return undefined;
  const [shared, own] = parts.slice(-2);
  return { id: shared.id, ownTokens: own.tokens };
}

/** Whether an answer of this many tokens depends on the pace of tokens. */
export function isLongAnswer(outputTokens: number): boolean {
  return outputTokens > LONG_ANSWER_TOKENS;
}

/** Requests that may run at a candidate beside one more, so that it is served as it should. */
export function comfortableSlots(
  { slots }: Pick<Candidate, "slots">,
  isLong: boolean,
): number {
  const usable = Math.max(1, slots * FULL_SHARE);
  return isLong ? Math.min(usable, MOST_BESIDE_LONG) : usable;
}

/** Whether a candidate can start a request about at once, and end it in time. */
export function hasRoom(candidate: Candidate, isLong: boolean): boolean {
  return candidate.running < comfortableSlots(candidate, isLong) &&
    candidate.waitingTokens < MOST_WAITING_TOKENS;
}

/** What placing a request there costs, in ms of delay for it and those beside it. */
function costMs(candidate: Candidate, unreadTokens: number): number {
  const waitMs = candidate.waitingTokens / TOKENS_PER_MS;
  const readMs = unreadTokens / TOKENS_PER_MS * READ_PRICE;
  const overMs = Math.max(0, candidate.running - candidate.slots) * 10;
  return waitMs + readMs + overMs + candidate.running * RUNNING_MS;
}

/** The upstream that a prompt belongs to on every VM, by rendezvous hashing. */
export function homeOf<C extends Pick<Candidate, "hash">>(
  candidates: readonly C[],
  affinity: string,
): C | undefined {
  const hash = hash32(affinity);
  let home: C | undefined;
  let most = -1;
  for (const candidate of candidates) {
    const weight = mix32(hash, candidate.hash);
    if (weight <= most) continue;
    most = weight;
    home = candidate;
  }
  return home;
}

/**
 * Orders candidates, best first: by waiting, reading and company together. Requests that share a long prompt have one
 * home engine on every VM; there the shared parts count as read, since other VMs have sent them too. So a popular prompt
 * leaves its home only when the wait there exceeds what reading it again costs everybody. Doubtful upstreams come last,
 * and are still used if nothing else is there.
 */
export function rank<C extends Candidate>(
  candidates: readonly C[],
  affinity: Affinity | undefined,
): C[] {
  const sound = candidates.filter(({ doubtful }) => !doubtful);
  const home = affinity && homeOf(sound, affinity.id);
  const homeTokens = affinity?.ownTokens ?? 0;
  return candidates
    .map((candidate) => ({
      candidate,
      cost: costMs(
        candidate,
        candidate === home
          ? Math.min(homeTokens, candidate.unreadTokens)
          : candidate.unreadTokens,
      ),
    }))
    .sort((a, b) =>
      Number(a.candidate.doubtful) - Number(b.candidate.doubtful) ||
      a.cost - b.cost
    )
    .map(({ candidate }) => candidate);
}

/** Shared tokens of a prompt from which fetching them from another engine is worth the call. */
const LEAST_FETCH_TOKENS = 1_000;

/**
 * The engine that a request's engine should copy the prompt's shared parts from: the prompt's home in the same region,
 * or for that one the home among all engines that may hold it. Each prompt is then read once in the whole system, at a
 * fifth of the price of reading it again and in a tenth of the time (users' prices: 0.31 a GB moved against 0.14 for
 * 1,000 tokens read again, at 96 KB a token).
 */
export function fetchSource<
  C extends Pick<Candidate, "key" | "hash"> & { readonly region: string },
>(
  target: C,
  everywhere: readonly C[],
  parts: readonly PromptPart[],
): C | undefined {
  const affinity = affinityOf(parts);
  const sharedTokens = parts.slice(0, -1)
    .reduce((sum, { tokens }) => sum + tokens, 0);
  if (!affinity || sharedTokens < LEAST_FETCH_TOKENS) return undefined;
  const near = everywhere.filter(({ region }) => region === target.region);
  const nearHome = homeOf(near, affinity.id);
  if (nearHome && nearHome.key !== target.key) return nearHome;
  const home = homeOf(everywhere, affinity.id);
  return home?.key === target.key ? undefined : home;
}
