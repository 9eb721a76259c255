/**
 * Placement: which upstream runs a request.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { SlotRequest } from "./slots.ts";
import type { EnginePriority, Upstream } from "./upstream.ts";
import { cachedPrefixTokens, prefillMs } from "./work.ts";

/**
 * Most prefill work waiting at an upstream when another request is placed there. What waits at the engine can no longer
 * be reordered, moved or refused, so all but the next few passes is kept in the lead's queue; below two ticks of the
 * lead (50 ms each) and a report's way, the engine would run dry in between. A warm upstream may have as much more as
 * the warmth saves: going elsewhere would cost the same time, and everyone there a prefill besides.
 */
export const MAX_BACKLOG_MS = 150;
/** Pools up to this size are looked through whole; in larger ones a sample is, so that a decision's cost stays flat. */
const MAX_FULL_SCAN = 32;
/** Upstreams drawn at random in a large pool. With the warm ones, this many come close to the best of all. */
const SAMPLE_SIZE = 16;
/**
 * Share of a pool where a workspace far over its share may prefill long prompts at one time, and the part of each
 * upstream's slots that it leaves to the others. Fair order alone makes the others next in turn; they would still wait
 * for a slot to come back and behind the prefills that the burst has already started. What is kept is used by whoever is
 * within its share.
 */
const MAX_OVERUSE_LONG_SHARE = 0.5;
const OVERUSE_RESERVED_SHARE = 0.125;
const MAX_OVERUSE_BACKLOG_MS = 50;
/**
 * Part of each upstream's slots that long prompts leave to short ones while both come. Their long answers hold the slots,
 * and a question that needs one pass would wait for a whole answer to end.
 */
const SHORT_RESERVED_SHARE = 0.0625;

/** A prompt that takes an engine longer than this to prefill is long: a question placed behind it would be late. */
export const LONG_PREFILL_MS = 250;
/** How much more a ms of prefill weighs than a ms of waiting when the pool is full; see `costOf`. */
const FULL_POOL_PREFILL_WEIGHT = 2;

/** Where a request may go, and what is expected of it there. */
export interface Candidate {
  readonly upstream: Upstream;
  /** Tokens left to prefill there. */
  readonly coldTokens: number;
  /** Leading blocks believed cached there. */
  readonly matchedBlocks: number;
  /** Prefill time that the warm prefix saves. */
  readonly savedMs: number;
  readonly firstTokenMs: number;
  /** Whether its prefill holds up what is placed beside it. */
  readonly isLong: boolean;
  readonly enginePriority: EnginePriority;
  readonly isProbe: boolean;
}

/** What a placement depends on besides the request. */
export interface PlacementView {
  readonly upstreams: readonly Upstream[];
  readonly nowMs: number;
  readonly random: Random;
  /** Whether short requests came lately. */
  readonly hasShortTraffic: boolean;
  /** Share of the pool's slots in use, 0 to 1. */
  readonly utilization: number;
  /** Whether the lead is new and may not know all that its upstreams run. */
  readonly isCautious: boolean;
  /** Whether the request's workspace is far over its share. */
  readonly isOverShare: boolean;
  /** Upstreams that were given this prompt's prefix. */
  readonly findHolders: (hashes: readonly number[]) => readonly Upstream[];
  /** Requests that wait for this upstream already. */
  readonly countWaitingFor: (upstreamId: string) => number;
}

/** What {@link choosePlacement} found. */
export type Placement =
  | { readonly type: "go"; readonly candidate: Candidate }
  /** Worth waiting for the upstream that holds its prefix, until that costs more than going elsewhere. */
  | {
    readonly type: "wait";
    readonly upstream: Upstream;
    readonly untilMs: number;
  }
  /** No upstream has room. */
  | { readonly type: "full" };

/** The upstream for a request. */
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

/** The place at one upstream, if it may still get work and has room for the request. */
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

/** What is expected of a request at an upstream, whether or not it has room. */
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

// An engine prefills higher priorities first, so a question passes a manifest that is being prefilled, and a workspace
// within its share passes one that floods the pool, also after both have left the queue.
function enginePriorityOf(long: boolean, over: boolean): EnginePriority {
  if (over) return 0;
  return long ? 1 : 2;
}

// A cold prefill delays more than its own request: it takes passes from everyone on that upstream, and its blocks push
// others out of the cache. The fuller the pool, the more of that is felt, so the same warmth is worth more.
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

/** The upstreams worth weighing for a request. */
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
