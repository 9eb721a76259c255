/**
 * Which upstream serves a request.
 *
 * @module
 */

import { hash32, mix32 } from "../base/mod.ts";
import type { EnginePace } from "./engine_pace.ts";
import type { PromptPart } from "./types.ts";

/** An upstream as placing sees it. */
export interface Candidate {
  readonly key: string;
  /** Hash of the key. */
  readonly hash: number;
  /** Which of equal upstreams this VM prefers, from 0, which is first, to 1; another VM has another order. */
  readonly preference: number;
  /** Requests sent to it and not yet answered whole, by all VMs of the region as far as known. */
  readonly running: number;
  /** Prompt tokens sent to it whose first event has not come yet, by all VMs as far as known. */
  readonly waitingTokens: number;
  readonly slots: number;
  /** Prompt tokens of this request that it would have to read. */
  readonly unreadTokens: number;
  /** Whether it fails often or was lost a moment ago. */
  readonly isDoubtful: boolean;
  /** Requests under which upstreams ended before and that this VM has sent there. */
  readonly suspectCount: number;
}

/** What a request is placed by, besides the candidates. */
export interface PlacementCriteria {
  /** What is known of the engines' speed. */
  readonly pace: EnginePace;
  /** An answer, or a stream's first event, within this earns its full worth. */
  readonly objectiveMs: number;
  /** The longest pause between a stream's events that is on time; 0 if none is asked for. */
  readonly eventGapMs: number;
  /** Gap between events at which the answer still ends in time; see {@link computeEndGapMs}. */
  readonly endGapMs: number;
}

/**
 * Share of the objective that reading what waits at an engine may take; above it a request is better off elsewhere. The
 * rest is for reading the request itself and the steps of a busy batch up to its first event.
 */
const MAX_WAIT_SHARE = 0.4;
/** Above this share of its slots an engine's next requests wait; the rest is left for what other VMs send meanwhile. */
const MAX_SLOT_SHARE = 0.9;
/** Share of an answer's time in which its engine generates; in the rest it reads others' prompts. */
const GENERATING_SHARE = 0.45;
/**
 * Weight of the time that reading takes against waiting for it: it delays this request, every later one, and each token
 * of all that run there. At 1 a burst that spills makes every engine read every prompt, and the peak outlasts the burst.
 */
const READ_WEIGHT = 3;
/** What one more running request costs the ones beside it and itself: this share of the gap between two events. */
const CONCURRENCY_COST_SHARE = 0.05;
/**
 * What separates the first preference from the last, in ms of delay: less than one more request costs. VMs that hear
 * nobody, as after a start or a cut, see the same idle engines; in one order all would send their first prompts to one.
 */
const PREFERENCE_MS = 1;
const HASH_RANGE = 0x1_0000_0000;
/** Share of the allowed pause below which reading does a stream no harm. */
const HARMLESS_GAP_SHARE = 0.4;
/**
 * What a stream that comes to pause too long costs, in ms of delay of the request that is placed. A long prompt passes
 * by an engine with 15 streams if another one can read it within 0.3 s more.
 */
const LATE_STREAM_COST_MS = 20;

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

/**
 * The gap between events, while nothing is read, at which an answer of `events` ends within `timeoutMs`. Beside more
 * requests than give this gap a long answer misses its deadline, and an engine elsewhere serves it better.
 */
export function computeEndGapMs(timeoutMs: number, events: number): number {
  return timeoutMs * GENERATING_SHARE / Math.max(1, events);
}

/** Requests that may run at a candidate beside one more, so that it is served as it should. */
export function usableSlots(
  { slots }: Pick<Candidate, "slots">,
  { pace, endGapMs }: PlacementCriteria,
): number {
  const usable = Math.max(1, slots * MAX_SLOT_SHARE);
  return Math.min(usable, Math.max(1, pace.runningAtGap(endGapMs)));
}

/** Whether a candidate can start a request about at once, and end it in time. */
export function hasRoom(
  candidate: Candidate,
  criteria: PlacementCriteria,
): boolean {
  return candidate.running < usableSlots(candidate, criteria) &&
    criteria.pace.readMs(candidate.waitingTokens) <
      criteria.objectiveMs * MAX_WAIT_SHARE;
}

/** How far a stream beside that much reading is from being on time, from 0 for not at all to 1 for late. */
function estimateLateness(
  { pace, eventGapMs }: PlacementCriteria,
  waitingTokens: number,
): number {
  if (!pace.canExceedGap(eventGapMs)) return 0;
  const share = pace.maxGapMs(waitingTokens) / eventGapMs;
  return Math.min(
    1,
    Math.max(0, share - HARMLESS_GAP_SHARE) / (1 - HARMLESS_GAP_SHARE),
  );
}

/** What placing a request there costs, in ms of delay for it and those beside it. */
function costMs(
  { running, slots, waitingTokens, preference }: Candidate,
  unreadTokens: number,
  criteria: PlacementCriteria,
): number {
  const { pace } = criteria;
  const waitMs = pace.readMs(waitingTokens);
  const readMs = pace.readMs(unreadTokens) * READ_WEIGHT;
  const latenessMs = LATE_STREAM_COST_MS * running *
    (estimateLateness(criteria, waitingTokens + unreadTokens) -
      estimateLateness(criteria, waitingTokens));
  const overloadMs = Math.max(0, running - slots) * 10;
  const concurrencyMs = running * pace.maxGapMs(0) * CONCURRENCY_COST_SHARE;
  return waitMs + readMs + latenessMs + overloadMs + concurrencyMs +
    preference * PREFERENCE_MS;
}

/** A VM's preference for an upstream; see {@link Candidate.preference}. */
export function preferenceOf(vmHash: number, upstreamHash: number): number {
  return mix32(vmHash, upstreamHash) / HASH_RANGE;
}

/** The upstream that a prompt belongs to on every VM, by rendezvous hashing. */
export function homeOf<C extends Pick<Candidate, "hash">>(
  candidates: readonly C[],
  affinity: string,
): C | undefined {
  const hash = hash32(affinity);
  let home: C | undefined;
  let highest = -1;
  for (const candidate of candidates) {
    const weight = mix32(hash, candidate.hash);
    if (weight <= highest) continue;
    highest = weight;
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
export function rankCandidates<C extends Candidate>(
  candidates: readonly C[],
  affinity: Affinity | undefined,
  criteria: PlacementCriteria,
): C[] {
  const sound = candidates.filter(({ isDoubtful }) => !isDoubtful);
  const home = affinity && homeOf(sound, affinity.id);
  const ownTokens = affinity?.ownTokens ?? 0;
  return candidates
    .map((candidate) => ({
      candidate,
      cost: costMs(
        candidate,
        candidate === home
          ? Math.min(ownTokens, candidate.unreadTokens)
          : candidate.unreadTokens,
        criteria,
      ),
    }))
    .sort((a, b) =>
      Number(a.candidate.isDoubtful) - Number(b.candidate.isDoubtful) ||
      a.cost - b.cost
    )
    .map(({ candidate }) => candidate);
}

/**
 * Orders candidates for a request under which upstreams ended: apart from other suspects, so that the next end tells them
 * apart, then where fewest others would lose their streams.
 */
export function rankForSuspect<C extends Candidate>(
  candidates: readonly C[],
): C[] {
  return [...candidates].sort((a, b) =>
    Number(a.isDoubtful) - Number(b.isDoubtful) ||
    a.suspectCount - b.suspectCount ||
    a.running - b.running || a.preference - b.preference
  );
}

/** Shared tokens of a prompt from which fetching them from another engine is worth the call. */
const MIN_FETCH_TOKENS = 1_000;

/**
 * The engine that a request's engine should copy the prompt's shared parts from: the prompt's home in the region if it
 * has read them, or who read them last, or, where nobody knows of one, the home in the region, and for that one the home
 * among all engines that may hold it. An engine copies only what it lacks, so one that has them is named a source too:
 * it may have given them up. Each prompt is then read once in the whole system; copying a token takes a tenth of the time
 * of reading it, and holds up nobody's stream. `holdersOf` lists the engines that have read a part, the latest first.
 */
export function selectFetchSource<
  C extends Pick<Candidate, "key" | "hash"> & { readonly region: string },
>(
  target: Pick<C, "key" | "region">,
  engines: readonly C[],
  parts: readonly PromptPart[],
  holdersOf: (partId: string) => readonly string[],
): C | undefined {
  const affinity = affinityOf(parts);
  const sharedTokens = parts.slice(0, -1)
    .reduce((sum, { tokens }) => sum + tokens, 0);
  if (!affinity || sharedTokens < MIN_FETCH_TOKENS) return undefined;
  const inRegion = engines.filter(({ region }) => region === target.region);
  const regionHome = homeOf(inRegion, affinity.id);
  const holderKeys = holdersOf(affinity.id).filter((key) => key !== target.key);
  if (regionHome && holderKeys.includes(regionHome.key)) return regionHome;
  for (const key of holderKeys) {
    const holder = engines.find((engine) => engine.key === key);
    if (holder) return holder;
  }
  if (regionHome && regionHome.key !== target.key) return regionHome;
  const home = homeOf(engines, affinity.id);
  return home?.key === target.key ? undefined : home;
}
