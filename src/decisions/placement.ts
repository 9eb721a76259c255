/**
 * Placement: which upstream runs a request.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { SlotRequest } from "./slots.ts";
import type { Upstream } from "./upstream.ts";
import { prefillMs, warmTokens } from "./work.ts";

/**
 * Most prefill work waiting at an upstream when another request is placed there. What waits at the engine can no longer
 * be reordered, moved or refused, so all but the next few passes is kept in the lead's queue; below two ticks of the
 * lead (50 ms each) and a report's way, the engine would run dry in between.
 */
export const BACKLOG_MS = 150;
/** Pools up to this size are looked through whole; in larger ones a sample is, so that a decision's cost stays flat. */
const SCAN_ALL = 32;
/** Upstreams drawn at random in a large pool. With the warm ones, this many come close to the best of all. */
const SAMPLE = 16;
/**
 * Share of a pool that may prefill long prompts at the same time when short ones come too. An engine works through
 * prompts in chunks, so a short question placed beside a manifest waits seconds for it; the rest of the pool stays open
 * to short ones. Without short ones, long prompts may use all.
 */
const LONG_SHARE = 0.75;

/** Where a request may go, and what is expected of it there. */
export interface Place {
  readonly upstream: Upstream;
  /** Tokens left to prefill there. */
  readonly coldTokens: number;
  readonly firstMs: number;
  readonly probe: boolean;
}

/** What a placement depends on besides the request. */
export interface PlacementView {
  readonly upstreams: readonly Upstream[];
  readonly nowMs: number;
  readonly random: Random;
  readonly long: boolean;
  /** Whether short requests came lately. */
  readonly mixed: boolean;
  /** Share of the pool's slots in use, 0 to 1. */
  readonly pressure: number;
  /** Whether the lead is new and may not know all that its upstreams run. */
  readonly cautious: boolean;
}

/** The upstream for a request, or `undefined` while none has room. */
export function place(
  request: SlotRequest,
  view: PlacementView,
): Place | undefined {
  const longAllowed = !view.long || longHasRoom(view);
  let best: Place | undefined;
  let bestCost = Infinity;
  for (const upstream of candidates(view)) {
    if (request.exclude.includes(upstream.row.id)) continue;
    const probe = upstream.health.probeDue(view.nowMs) && !view.long;
    if (!probe && !mayTake(upstream, view, longAllowed)) continue;
    const found = weigh(request, upstream, view, probe);
    const cost = probe ? -1 : costOf(found, view);
    if (cost < bestCost) {
      best = found;
      bestCost = cost;
    }
  }
  return best;
}

/** What is expected of a request at an upstream, whether or not it has room. */
export function weigh(
  request: SlotRequest,
  upstream: Upstream,
  view: Pick<PlacementView, "nowMs">,
  probe = false,
): Place {
  const matched = upstream.warm.matched(request.prefixHashes, view.nowMs);
  const coldTokens = request.promptTokens - warmTokens(request, matched);
  const firstMs = upstream.predictFirstMs(coldTokens, view.nowMs);
  return { upstream, coldTokens, firstMs, probe };
}

// A cold prefill delays more than its own request: it takes passes from everyone on that upstream, and its blocks push
// others out of the cache. The fuller the pool, the more of that is felt, so the same warmth is worth more.
function costOf(found: Place, view: PlacementView): number {
  const prefill = prefillMs(found.upstream.row, found.coldTokens);
  const spread = view.random.next() * 1e-3;
  return found.firstMs + prefill * view.pressure + spread +
    found.upstream.running / found.upstream.row.slots;
}

function mayTake(
  upstream: Upstream,
  view: PlacementView,
  longAllowed: boolean,
): boolean {
  if (!upstream.hasRoom(view.nowMs, view.cautious)) return false;
  if (upstream.backlogMs(view.nowMs) > BACKLOG_MS) return false;
  return longAllowed || upstream.longUnstarted > 0;
}

function longHasRoom(view: PlacementView): boolean {
  if (!view.mixed || view.upstreams.length < 2) return true;
  const busy = view.upstreams.filter((u) => u.longUnstarted > 0).length;
  return busy < Math.floor(view.upstreams.length * LONG_SHARE);
}

function candidates(view: PlacementView): readonly Upstream[] {
  const { upstreams, random } = view;
  if (upstreams.length <= SCAN_ALL) return upstreams;
  const drawn = new Set<Upstream>();
  for (let i = 0; i < SAMPLE; i++) drawn.add(random.pick(upstreams));
  return [...drawn];
}
