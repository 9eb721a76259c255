/**
 * Which upstreams have room for a request, the home of its prompt, and the engines to copy prompt parts from.
 *
 * @module
 */

import { hash32, mix32 } from "../base/mod.ts";
import type { EnginePace } from "./engine_pace.ts";
import type { PromptPart } from "./types.ts";

/** An upstream that a request may be placed on. */
export interface Candidate {
  readonly key: string;
  /** Hash of the key. */
  readonly hash: number;
  /** This VM's order of otherwise equal upstreams, from 0 (first) to 1. Other VMs have other orders. */
  readonly preference: number;
  /** Requests in flight at the upstream, from all VMs of the region as far as known. */
  readonly running: number;
  /** Prompt tokens of requests at the upstream whose first event has not come yet, from all VMs as far as known. */
  readonly waitingTokens: number;
  readonly slots: number;
  /** Prompt tokens of this request that the upstream would have to read. */
  readonly unreadTokens: number;
  /** Whether the upstream is cold or fails often, and is used only after the others. */
  readonly isDoubtful: boolean;
  /** Requests that this VM has in flight at the upstream and that are suspected of crashing upstreams. */
  readonly suspectCount: number;
}

/** Criteria for placing a request, besides the candidates. */
export interface PlacementCriteria {
  /** Estimated speed of the engines. */
  readonly pace: EnginePace;
  /** Latency objective of an answer or of a stream's first event. One that comes later does not count in full. */
  readonly objectiveMs: number;
  /** The longest gap between a stream's events that is on time; 0 means no limit. */
  readonly eventGapMs: number;
  /** Gap between events at which the answer still ends in time; see {@link computeEndGapMs}. */
  readonly endGapMs: number;
  /** Whether requests without a place wait in order at their lead, and not in the queues of the upstreams. */
  readonly waitsAtLead?: boolean;
}

/**
 * Share of the objective that reading the prompts that wait at an engine may take. Above it a request is better served
 * elsewhere. The rest is for reading the request's own prompt and for the steps of a busy batch until its first event.
 */
const MAX_WAIT_SHARE = 0.4;
/**
 * Above this share of an engine's slots further requests wait. The rest is left for requests that other VMs send
 * meanwhile.
 */
const MAX_SLOT_SHARE = 0.9;
/**
 * Share of an answer's duration in which its engine generates. In the rest the engine reads the prompts of other
 * requests.
 */
const GENERATING_SHARE = 0.45;
const HASH_RANGE = 0x1_0000_0000;
/** The shared part of a prompt that decides which engine a request prefers. */
export interface Affinity {
  /** Id of the last part of the prompt that other requests share. The engine that caches this part is preferred. */
  readonly id: string;
  /** Prompt tokens that no other request shares. */
  readonly ownTokens: number;
}

/** Returns the affinity of a prompt; `undefined` if it shares nothing with others. */
export function affinityOf(
  parts: readonly PromptPart[],
): Affinity | undefined {
  if (parts.length < 2) return undefined;
  const shared = parts[parts.length - 2];
  const own = parts[parts.length - 1];
  return { id: shared.id, ownTokens: own.tokens };
}

/**
 * Computes the gap between events, while nothing is read, at which an answer of `events` events ends within
 * `timeoutMs`. If more requests run on an engine than this gap allows, a long answer misses its deadline there, and an
 * engine elsewhere serves it better.
 */
export function computeEndGapMs(timeoutMs: number, events: number): number {
  return timeoutMs * GENERATING_SHARE / Math.max(1, events);
}

/** Number of running requests below which a candidate can take one more and serve it as required. */
export function usableSlots(
  { slots }: Pick<Candidate, "slots">,
  { pace, endGapMs }: PlacementCriteria,
): number {
  const usable = Math.max(1, slots * MAX_SLOT_SHARE);
  return Math.min(usable, Math.max(1, pace.runningAtGap(endGapMs)));
}

/** Whether a candidate can start a request almost at once and finish it in time. */
export function hasRoom(
  candidate: Candidate,
  criteria: PlacementCriteria,
): boolean {
  return candidate.running < usableSlots(candidate, criteria) &&
    criteria.pace.readMs(candidate.waitingTokens) <
      criteria.objectiveMs * MAX_WAIT_SHARE;
}

/** Returns a VM's preference for an upstream; see {@link Candidate.preference}. */
export function preferenceOf(vmHash: number, upstreamHash: number): number {
  return mix32(vmHash, upstreamHash) / HASH_RANGE;
}

/** Returns the home of a prompt: the upstream that rendezvous hashing gives for it on every VM. */
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

/** Homes kept for one list: the shared parts in use at once, of which a VM of the largest sites sees some hundred. */
const MAX_HOMES = 512;

/** Finds the homes of prompts among lists of upstreams that are used for many requests, and keeps them for each list. */
export class Homes<C extends Pick<Candidate, "hash">> {
  readonly #byList = new WeakMap<readonly C[], Map<string, C>>();

  /** Returns the same as {@link homeOf}. The list must not change later. */
  of(upstreams: readonly C[], affinity: string): C | undefined {
    const homes = this.#byList.get(upstreams) ?? new Map<string, C>();
    const known = homes.get(affinity);
    if (known) return known;
    const home = homeOf(upstreams, affinity);
    if (!home) return undefined;
    if (homes.size >= MAX_HOMES) homes.clear();
    homes.set(affinity, home);
    this.#byList.set(upstreams, homes);
    return home;
  }
}

/** Number of shared tokens of a prompt from which on copying them from another engine is worth the call. */
const MIN_FETCH_TOKENS = 1_000;

/**
 * Homes that were computed before, over the engines of all versions. If such a home runs the target's version, it is also
 * the home among the engines of that version alone, as rendezvous hashing takes the highest weight.
 */
export interface KnownHomes<C> {
  /** The home among the engines of the target's region. */
  inRegion(affinity: string): C | undefined;
  /** The home among all engines. */
  anywhere(affinity: string): C | undefined;
}

/**
 * Selects the engine that `target` should copy the prompt's shared parts from. This is the prompt's home in the region
 * if it has read the parts, or else the engine that read them last. If no such engine is known, it is the home in the
 * region, and for that home itself the home among all engines that may hold the prompt. An engine copies only what it
 * lacks, so a source is also selected for an engine that has the parts, since it may have evicted them. Each prompt is
 * then read once by each version in the whole system. Copying a token takes a tenth of the time of reading it and delays no stream.
 * Only engines of the target's version are sources: another version caches a prompt in another way. `holdersOf` lists
 * the engines that have read a part, latest first. `known` may give the homes without a search.
 */
export function selectFetchSource<
  C extends Pick<Candidate, "key" | "hash"> & {
    readonly region: string;
    readonly version: string;
  },
>(
  target: Pick<C, "key" | "region" | "version">,
  allEngines: readonly C[],
  parts: readonly PromptPart[],
  holdersOf: (partId: string) => readonly string[],
  known?: KnownHomes<C>,
): C | undefined {
  const affinity = affinityOf(parts);
  if (!affinity || sharedTokensOf(parts) < MIN_FETCH_TOKENS) return undefined;
  const { id } = affinity;
  const ofVersion = (home: C | undefined) =>
    home?.version === target.version ? home : undefined;
  const regionHome = ofVersion(known?.inRegion(id)) ?? homeOf(
    allEngines.filter(({ region, version }) =>
      region === target.region && version === target.version
    ),
    id,
  );
  const holderKeys = holdersOf(id).filter((key) => key !== target.key);
  if (regionHome && holderKeys.includes(regionHome.key)) return regionHome;
  for (const key of holderKeys) {
    const holder = allEngines.find((engine) =>
      engine.key === key && engine.version === target.version
    );
    if (holder) return holder;
  }
  if (regionHome && regionHome.key !== target.key) return regionHome;
  const home = ofVersion(known?.anywhere(id)) ??
    homeOf(allEngines.filter(({ version }) => version === target.version), id);
  return home?.key === target.key ? undefined : home;
}

function sharedTokensOf(parts: readonly PromptPart[]): number {
  let tokens = 0;
  for (let i = 0; i < parts.length - 1; i++) tokens += parts[i].tokens;
  return tokens;
}

/** Confirms the address of an engine that a lead, whose entries may be older, chose as the source for `target`. */
export function confirmFetchSource<
  C extends {
    readonly host: string;
    readonly port: number;
    readonly version: string;
  },
>(
  target: Pick<C, "version">,
  allEngines: readonly C[],
  address: string,
): string | undefined {
  const isSource = allEngines.some(({ host, port, version }) =>
    version === target.version && `${host}:${port}` === address
  );
  return isSource ? address : undefined;
}
