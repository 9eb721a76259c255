/**
 * Placement: which upstream runs a request.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { SlotRequest } from "./slots.ts";
import type { EnginePriority, Upstream } from "./upstream.ts";
import { prefillMs, warmTokens } from "./work.ts";

/**
 * Most prefill work waiting at an upstream when another request is placed there. What waits at the engine can no longer
 * be reordered, moved or refused, so all but the next few passes is kept in the lead's queue; below two ticks of the
 * lead (50 ms each) and a report's way, the engine would run dry in between. A warm upstream may have as much more as
 * the warmth saves: going elsewhere would cost the same time, and everyone there a prefill besides.
 */
export const BACKLOG_MS = 150;
/** Pools up to this size are looked through whole; in larger ones a sample is, so that a decision's cost stays flat. */
const SCAN_ALL = 32;
/** Upstreams drawn at random in a large pool. With the warm ones, this many come close to the best of all. */
const SAMPLE = 16;
/**
 * Share of a pool where a workspace far over its share may prefill long prompts at one time, and the part of each
 * upstream's slots that it leaves to the others. Fair order alone makes the others next in turn; they would still wait
 * for a slot to come back and behind the prefills that the burst has already started. What is kept is used by whoever is
 * within its share.
 */
const OVER_LONG_SHARE = 0.5;
const OTHERS_SHARE = 0.125;
const OVER_BACKLOG_MS = 50;
/**
 * Part of each upstream's slots that long prompts leave to short ones while both come. Their long answers hold the slots,
 * and a question that needs one pass would wait for a whole answer to end.
 */
const SHORT_SHARE = 0.0625;

/** A prompt that takes an engine longer than this to prefill is long: a question placed behind it would be late. */
export const LONG_PREFILL_MS = 250;
/** How much more a ms of prefill weighs than a ms of waiting when the pool is full; see `costOf`. */
const PRESSURE_GAIN = 2;

/** Where a request may go, and what is expected of it there. */
export interface Place {
  readonly upstream: Upstream;
  /** Tokens left to prefill there. */
  readonly coldTokens: number;
  /** Leading blocks believed cached there. */
  readonly matched: number;
  /** Prefill time that the warm prefix saves. */
  readonly savedMs: number;
  readonly firstMs: number;
  /** Whether its prefill holds up what is placed beside it. */
  readonly long: boolean;
  readonly enginePriority: EnginePriority;
  readonly probe: boolean;
}

/** What a placement depends on besides the request. */
export interface PlacementView {
  readonly upstreams: readonly Upstream[];
  readonly nowMs: number;
  readonly random: Random;
  /** Whether short requests came lately. */
  readonly mixed: boolean;
  /** Share of the pool's slots in use, 0 to 1. */
  readonly pressure: number;
  /** Whether the lead is new and may not know all that its upstreams run. */
  readonly cautious: boolean;
  /** Whether the request's workspace is far over its share. */
  readonly over: boolean;
  /** Upstreams that were given this prompt's prefix. */
  readonly holders: (hashes: readonly number[]) => readonly Upstream[];
  /** Requests that wait for this upstream already. */
  readonly waitingFor: (upstreamId: string) => number;
}

/** What {@link place} found. */
export type Placement =
  | { readonly type: "go"; readonly place: Place }
  /** Worth waiting for the upstream that holds its prefix, until that costs more than going elsewhere. */
  | {
    readonly type: "wait";
    readonly upstream: Upstream;
    readonly untilMs: number;
  }
  /** No upstream has room. */
  | { readonly type: "full" };

/** The upstream for a request. */
export function place(
  request: SlotRequest,
  view: PlacementView,
): Placement {
  const open = candidates(request, view);
  const longAllowed = longHasRoom(view, open);
  let best: Place | undefined;
  let bestCost = Infinity;
  let warm: Place | undefined;
  let warmCost = Infinity;
  for (const upstream of open) {
    if (request.exclude.includes(upstream.row.id)) continue;
    const probe = upstream.health.probeDue(view.nowMs);
    if (!probe && upstream.health.state === "aside") continue;
    const found = weigh(request, upstream, view, probe);
    if (probe && found.long) continue;
    const cost = probe ? -1 : costOf(found, view);
    if (probe || mayTake(found, view, longAllowed)) {
      if (cost >= bestCost) continue;
      best = found;
      bestCost = cost;
    } else if (found.savedMs > 0 && cost < warmCost) {
      warm = found;
      warmCost = cost;
    }
  }
  if (!best) return { type: "full" };
  if (warm && !best.probe) {
    const { upstream } = warm;
    const slotMs = upstream.slotMs(view.waitingFor(upstream.row.id));
    const patienceMs = bestCost - warmCost;
    if (slotMs < patienceMs) {
      return { type: "wait", upstream, untilMs: view.nowMs + patienceMs };
    }
  }
  return { type: "go", place: best };
}

/** The place at one upstream, if it may still get work and has room for the request. */
export function placeAt(
  request: SlotRequest,
  upstream: Upstream,
  view: PlacementView,
): Place | undefined {
  if (!upstream.takesWork) return undefined;
  const found = weigh(request, upstream, view);
  const longAllowed = longHasRoom(view, candidates(request, view));
  return mayTake(found, view, longAllowed) ? found : undefined;
}

/** What is expected of a request at an upstream, whether or not it has room. */
export function weigh(
  request: SlotRequest,
  upstream: Upstream,
  view: Pick<PlacementView, "nowMs" | "over">,
  probe = false,
): Place {
  const matched = upstream.warm.matched(request.prefixHashes, view.nowMs);
  const coldTokens = request.promptTokens - warmTokens(request, matched);
  const long = prefillMs(upstream.row, coldTokens) > LONG_PREFILL_MS;
  const enginePriority = priorityOf(long, view.over);
  return {
    upstream,
    coldTokens,
    matched,
    savedMs: prefillMs(upstream.row, request.promptTokens - coldTokens),
    firstMs: upstream.predictFirstMs(coldTokens, enginePriority, view.nowMs),
    long,
    enginePriority,
    probe,
  };
}

// An engine prefills higher priorities first, so a question passes a manifest that is being prefilled, and a workspace
// within its share passes one that floods the pool, also after both have left the queue.
function priorityOf(long: boolean, over: boolean): EnginePriority {
  if (over) return 0;
  return long ? 1 : 2;
}

// A cold prefill delays more than its own request: it takes passes from everyone on that upstream, and its blocks push
// others out of the cache. The fuller the pool, the more of that is felt, so the same warmth is worth more.
function costOf(found: Place, view: PlacementView): number {
  const prefill = prefillMs(found.upstream.row, found.coldTokens);
  const spread = view.random.next() * 1e-3;
  return found.firstMs + prefill * PRESSURE_GAIN * view.pressure + spread +
    found.upstream.running / found.upstream.row.slots;
}

function mayTake(
  found: Place,
  view: PlacementView,
  longAllowed: boolean,
): boolean {
  const { upstream } = found;
  if (!upstream.hasRoom(view.nowMs, view.cautious, keptSlots(found, view))) {
    return false;
  }
  const most = view.over ? OVER_BACKLOG_MS : BACKLOG_MS + found.savedMs;
  if (upstream.backlogMs(found.enginePriority, view.nowMs) > most) return false;
  return !found.long || longAllowed || upstream.longUnstarted > 0;
}

function keptSlots(found: Place, view: PlacementView): number {
  const { slots } = found.upstream.row;
  if (view.over) return Math.ceil(slots * OTHERS_SHARE);
  const last = found.upstream.row.slots > 1 ? 1 : 0;
  return found.enginePriority < 2 && view.mixed
    ? Math.max(last, Math.floor(slots * SHORT_SHARE))
    : 0;
}

function longHasRoom(
  view: PlacementView,
  open: readonly Upstream[],
): boolean {
  if (!view.over || open.length < 2) return true;
  const busy = open.filter((u) => u.longUnstarted > 0).length;
  return busy < Math.max(1, Math.floor(open.length * OVER_LONG_SHARE));
}

/** The upstreams worth weighing for a request. */
export function candidates(
  request: SlotRequest,
  view: PlacementView,
): readonly Upstream[] {
  const { upstreams, random } = view;
  if (upstreams.length <= SCAN_ALL) return upstreams;
  const drawn = new Set(view.holders(request.prefixHashes));
  for (let i = 0; i < SAMPLE; i++) drawn.add(random.pick(upstreams));
  return [...drawn].filter((upstream) => upstream.takesWork);
}
