/**
 * Placement: chooses the upstream that runs a request.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { SlotRequest } from "./slots.ts";
import type { EnginePriority, Upstream } from "./upstream.ts";
import { cachedPrefixTokens, prefillMs } from "./work.ts";

/**
 * Longest prefill backlog of an upstream on which another request is placed. A request that waits in the engine can no
 * longer be reordered, moved or refused, so all but the next few passes stay in the lead's queue. With less than two
 * ticks of the lead (50 ms each) and the delay of a report, the engine would run out of work in between. An upstream
 * that has the prefix cached may have a backlog longer by what that saves: going elsewhere would take the same time,
 * and the prefill would also delay all requests there.
 */
export const MAX_BACKLOG_MS = 150;
/**
 * Pools up to this size are scanned completely; in larger ones only a sample is, so that the cost of a decision stays
 * constant.
 */
const MAX_FULL_SCAN = 32;
/**
 * Upstreams drawn at random in a large pool. With the ones that have the prefix cached, the best of this many is close
 * to the best of all.
 */
const SAMPLE_SIZE = 16;
/**
 * Limits of a workspace far over its share: the share of a pool's upstreams where it may prefill long prompts at one
 * time, the part of each upstream's slots that it leaves to the others, and the longest backlog behind which it is
 * placed. Fair order alone only makes the others next; they would still wait for a slot to be freed, and behind the
 * prefills that the burst has already started. The reserved slots are used by workspaces within their share.
 */
const MAX_OVERUSE_LONG_SHARE = 0.5;
const OVERUSE_RESERVED_SHARE = 0.125;
const MAX_OVERUSE_BACKLOG_MS = 50;
/**
 * Part of each upstream's slots that long prompts leave to short ones while both arrive. The long answers hold the
 * slots, and a short request that needs one pass would wait for a whole answer to end.
 */
const SHORT_RESERVED_SHARE = 0.0625;

/**
 * A prompt that takes an engine longer than this to prefill is long: a short request placed behind it would be late.
 */
export const LONG_PREFILL_MS = 250;
/**
 * Weight of a ms of prefill when the pool is full, added to the ms that it adds to the first-token time; see `costOf`.
 */
const FULL_POOL_PREFILL_WEIGHT = 2;

/** An upstream where a request may run, and what is expected of the request there. */
export interface Candidate {
  readonly upstream: Upstream;
  /** Tokens left to prefill there. */
  readonly coldTokens: number;
  /** Leading blocks expected to be cached there. */
  readonly matchedBlocks: number;
  /** Prefill time that the cached prefix saves. */
  readonly savedMs: number;
  readonly firstTokenMs: number;
  /** Whether its prefill delays the requests placed on the same upstream. */
  readonly isLong: boolean;
  readonly enginePriority: EnginePriority;
  readonly isProbe: boolean;
}

/** The state that a placement depends on, besides the request. */
export interface PlacementView {
  readonly upstreams: readonly Upstream[];
  readonly nowMs: number;
  readonly random: Random;
  /** Whether short requests arrived recently. */
  readonly hasShortTraffic: boolean;
  /** Share of the pool's slots in use, 0 to 1. */
  readonly utilization: number;
  /** Whether the lead is new and may not know all that its upstreams run. */
  readonly isCautious: boolean;
  /** Whether the request's workspace is far over its share. */
  readonly isOverShare: boolean;
  /** Returns the upstreams that were given this prompt's prefix. */
  readonly findHolders: (hashes: readonly number[]) => readonly Upstream[];
  /** Returns how many requests already wait for this upstream. */
  readonly countWaitingFor: (upstreamId: string) => number;
}

/** The result of {@link choosePlacement}. */
export type Placement =
  | { readonly type: "go"; readonly candidate: Candidate }
  /**
   * The request should wait for the upstream that has its prefix cached, until that costs more than going elsewhere.
   */
  | {
    readonly type: "wait";
    readonly upstream: Upstream;
    readonly untilMs: number;
  }
  /** No upstream has room. */
  | { readonly type: "full" };

/** Chooses the upstream for a request. */
export function choosePlacement(
  request: SlotRequest,
  view: PlacementView,
): Placement {
  const candidates = candidateUpstreams(request, view);
  const longAllowed = canStartLong(view, candidates);
  let best: Candidate | undefined;
  let bestCost = Infinity;
  let cached: Candidate | undefined;
  let cachedCost = Infinity;
  for (const upstream of candidates) {
    if (request.exclude.includes(upstream.row.id)) continue;
    const probe = upstream.health.isProbeDue(view.nowMs);
    if (!probe && upstream.health.state === "aside") continue;
    const candidate = evaluate(request, upstream, view, probe);
    if (probe && candidate.isLong) continue;
    const cost = probe ? -1 : costOf(candidate, view);
    if (probe || canAccept(candidate, view, longAllowed)) {
      if (cost >= bestCost) continue;
      best = candidate;
      bestCost = cost;
    } else if (candidate.savedMs > 0 && cost < cachedCost) {
      cached = candidate;
      cachedCost = cost;
    }
  }
  if (!best) return { type: "full" };
  if (cached && !best.isProbe) {
    const { upstream } = cached;
    const slotMs = upstream.predictSlotWaitMs(
      view.countWaitingFor(upstream.row.id),
    );
    const maxWaitMs = bestCost - cachedCost;
    if (slotMs < maxWaitMs) {
      return { type: "wait", upstream, untilMs: view.nowMs + maxWaitMs };
    }
  }
  return { type: "go", candidate: best };
}

/** Returns the candidate for one upstream, if it may still get work and has room for the request. */
export function tryPlaceAt(
  request: SlotRequest,
  upstream: Upstream,
  view: PlacementView,
): Candidate | undefined {
  if (!upstream.takesWork) return undefined;
  const candidate = evaluate(request, upstream, view);
  const longAllowed = canStartLong(view, candidateUpstreams(request, view));
  return canAccept(candidate, view, longAllowed) ? candidate : undefined;
}

/** Predicts what a request needs at an upstream, whether or not the upstream has room. */
export function evaluate(
  request: SlotRequest,
  upstream: Upstream,
  view: Pick<PlacementView, "nowMs" | "isOverShare">,
  probe = false,
): Candidate {
  const matched = upstream.cachedPrefixes.countMatched(
    request.prefixHashes,
    view.nowMs,
  );
  const coldTokens = request.promptTokens -
    cachedPrefixTokens(request, matched);
  const long = prefillMs(upstream.row, coldTokens) > LONG_PREFILL_MS;
  const enginePriority = enginePriorityOf(long, view.isOverShare);
  return {
    upstream,
    coldTokens,
    matchedBlocks: matched,
    savedMs: prefillMs(upstream.row, request.promptTokens - coldTokens),
    firstTokenMs: upstream.predictFirstTokenMs(
      coldTokens,
      enginePriority,
      view.nowMs,
    ),
    isLong: long,
    enginePriority,
    isProbe: probe,
  };
}

// An engine prefills higher priorities first. So a short request passes a long prompt that is being prefilled, and a
// workspace within its share passes one that floods the pool, even after both have left the queue.
function enginePriorityOf(long: boolean, over: boolean): EnginePriority {
  if (over) return 0;
  return long ? 1 : 2;
}

// A cold prefill delays more than its own request: it takes passes from all requests on that upstream, and its blocks
// evict others from the cache. The fuller the pool, the more this costs, so a cached prefix is worth more.
function costOf(candidate: Candidate, view: PlacementView): number {
  const prefill = prefillMs(candidate.upstream.row, candidate.coldTokens);
  const tieBreak = view.random.next() * 1e-3;
  return candidate.firstTokenMs +
    prefill * FULL_POOL_PREFILL_WEIGHT * view.utilization + tieBreak +
    candidate.upstream.running / candidate.upstream.row.slots;
}

function canAccept(
  candidate: Candidate,
  view: PlacementView,
  longAllowed: boolean,
): boolean {
  const { upstream } = candidate;
  if (
    !upstream.hasRoom(
      view.nowMs,
      view.isCautious,
      reservedSlots(candidate, view),
    )
  ) {
    return false;
  }
  const maxBacklogMs = view.isOverShare
    ? MAX_OVERUSE_BACKLOG_MS
    : MAX_BACKLOG_MS + candidate.savedMs;
  if (upstream.backlogMs(candidate.enginePriority, view.nowMs) > maxBacklogMs) {
    return false;
  }
  return !candidate.isLong || longAllowed || upstream.longUnstarted > 0;
}

function reservedSlots(candidate: Candidate, view: PlacementView): number {
  const { slots } = candidate.upstream.row;
  if (view.isOverShare) return Math.ceil(slots * OVERUSE_RESERVED_SHARE);
  const lastSlot = candidate.upstream.row.slots > 1 ? 1 : 0;
  return candidate.enginePriority < 2 && view.hasShortTraffic
    ? Math.max(lastSlot, Math.floor(slots * SHORT_RESERVED_SHARE))
    : 0;
}

function canStartLong(
  view: PlacementView,
  candidates: readonly Upstream[],
): boolean {
  if (!view.isOverShare || candidates.length < 2) return true;
  const busy = candidates.filter((u) => u.longUnstarted > 0).length;
  return busy <
    Math.max(1, Math.floor(candidates.length * MAX_OVERUSE_LONG_SHARE));
}

/** Returns the upstreams to consider for a request. */
export function candidateUpstreams(
  request: SlotRequest,
  view: PlacementView,
): readonly Upstream[] {
  const { upstreams, random } = view;
  if (upstreams.length <= MAX_FULL_SCAN) return upstreams;
  const drawn = new Set(view.findHolders(request.prefixHashes));
  for (let i = 0; i < SAMPLE_SIZE; i++) drawn.add(random.pick(upstreams));
  return [...drawn].filter((upstream) => upstream.takesWork);
}
