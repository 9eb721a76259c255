/**
 * Chooses the next queued request and the upstream that runs it.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import { PrefixIndex } from "./prefix_index.ts";
import type { QueueEntry } from "./queue_entry.ts";
import type { Lanes } from "./lanes.ts";
import {
  type Candidate,
  choosePlacement,
  evaluate,
  type PlacementView,
  tryPlaceAt,
} from "./placement.ts";
import type { Upstream } from "./upstream.ts";
import { RecentUsage } from "./recent_usage.ts";

/**
 * For this long after its start, a lead trusts the latest load report and fills only half of each upstream's limit. It
 * does not know its predecessor's slots until the entry VMs have reported them with their next renewal.
 */
const STARTUP_CAUTION_MS = 1000;
/**
 * Workspaces skipped per lane and call because their next request cannot be placed yet, such as a retry that waits for
 * one upstream.
 */
const MAX_SKIPS = 4;
/** How often other requests with a cached prefix may go before a request: about 2 s of a busy upstream's work. */
const MAX_BYPASSES = 8;
/**
 * After a short request, slots are reserved for further ones for this long; see `SHORT_RESERVED_SHARE` in placement.ts.
 */
const SHORT_TRAFFIC_WINDOW_MS = 5000;

/** A queued request and the upstream chosen for it. */
export interface Assignment {
  readonly entry: QueueEntry;
  readonly candidate: Candidate;
}

/** Assigns queued requests to upstreams by lane order, fair shares and cached prefixes. */
export class Scheduler {
  readonly #lanes: Lanes;
  readonly #fleet: Fleet;
  readonly #random: Random;
  readonly #usage = new RecentUsage();
  readonly #prefixIndex = new PrefixIndex<Upstream>();
  #cautiousUntilMs?: number;
  #lastShortAtMs = -Infinity;

  constructor(lanes: Lanes, fleet: Fleet, random: Random) {
    this.#lanes = lanes;
    this.#fleet = fleet;
    this.#random = random;
  }

  /** Starts the cautious period at the first call; later calls have no effect. */
  start(nowMs: number): void {
    this.#cautiousUntilMs ??= nowMs + STARTUP_CAUTION_MS;
  }
  isCautious(nowMs: number): boolean {
    return nowMs < (this.#cautiousUntilMs ?? Infinity);
  }

  /** Records the arrival of a short request. */
  recordShort(nowMs: number): void {
    this.#lastShortAtMs = nowMs;
  }

  /** Records that an entry was granted a slot at the candidate's upstream. */
  recordGrant({ entry, candidate: found }: Assignment, nowMs: number): void {
    const { request, weight, work } = entry;
    this.#usage.add(request.workspace, weight, work, nowMs);
    this.#prefixIndex.add(request.prefixHashes, found.upstream);
  }

  placementView(nowMs: number): PlacementView {
    return {
      upstreams: this.#fleet.active,
      nowMs,
      random: this.#random,
      hasShortTraffic: nowMs - this.#lastShortAtMs < SHORT_TRAFFIC_WINDOW_MS,
      utilization: this.#fleet.utilization,
      isCautious: this.isCautious(nowMs),
      isOverShare: false,
      findHolders: (hashes) => this.#prefixIndex.findHolders(hashes),
      countWaitingFor: (upstreamId) =>
        this.#lanes.affinityQueue.countFor(upstreamId),
    };
  }

  /**
   * Calls `assign` for the deferred requests that have waited long enough, and for those that wait for one of these
   * upstreams while it has room.
   */
  placeDeferred(
    nowMs: number,
    upstreamIds: readonly string[],
    assign: (assignment: Assignment) => void,
  ): void {
    const view = this.placementView(nowMs);
    const { affinityQueue: affinity } = this.#lanes;
    for (const entry of affinity.readyEntries(view.nowMs)) {
      const placement = choosePlacement(
        entry.request,
        this.#viewFor(entry, view),
      );
      if (placement.type !== "go") continue;
      this.#lanes.remove(entry.request.attemptId);
      assign({ entry, candidate: placement.candidate });
    }
    for (const id of upstreamIds) {
      const upstream = this.#fleet.get(id);
      for (;;) {
        const entry = affinity.firstFor(id);
        const found = entry && upstream &&
          tryPlaceAt(entry.request, upstream, this.#viewFor(entry, view));
        if (!found) break;
        this.#lanes.remove(entry.request.attemptId);
        assign({ entry, candidate: found });
      }
    }
  }

  #viewFor(entry: QueueEntry, view: PlacementView): PlacementView {
    const over = this.#usage.isOverShare(entry.request.workspace, view.nowMs);
    return over ? { ...view, isOverShare: over } : view;
  }

  /** Removes from the queue the next request that can be placed, and returns it with its upstream. */
  takeNext(nowMs: number): Assignment | undefined {
    const view = this.placementView(nowMs);
    for (const lane of this.#lanes.laneOrder()) {
      for (let skips = 0; skips <= MAX_SKIPS;) {
        const entry = this.#lanes.peek(lane);
        if (!entry) break;
        const entryView = this.#viewFor(entry, view);
        const placement = choosePlacement(entry.request, entryView);
        if (placement.type === "go") {
          return this.#preferCached(entry, placement.candidate, view.nowMs);
        }
        if (placement.type === "wait") {
          const untilMs = Math.min(
            placement.untilMs,
            (view.nowMs + entry.latestStartMs) / 2,
          );
          this.#lanes.deferNext(lane, placement.upstream.row.id, untilMs);
          continue;
        }
        // Only the requests of a workspace over its share and retries can be blocked while the next workspace is not.
        if (!entryView.isOverShare && entry.request.exclude.length === 0) break;
        this.#lanes.skip(lane);
        skips++;
      }
    }
    return undefined;
  }

  /**
   * If the next request needs a long prefill at its upstream and another queued request's prefix is cached there, the
   * other one goes first. Otherwise, with a full queue, most requests would go to upstreams that do not hold their
   * prefix, and the pool would spend its time on prefilling what is already cached elsewhere. A request that was
   * bypassed often enough goes wherever there is room.
   */
  #preferCached(
    entry: QueueEntry,
    found: Candidate,
    nowMs: number,
  ): Assignment {
    const inTurn = { entry, candidate: found };
    if (found.isProbe || !found.isLong || entry.bypassCount >= MAX_BYPASSES) {
      this.#lanes.pop(entry.lane);
      return inTurn;
    }
    const id = found.upstream.row.id;
    const cachedEntry = this.#lanes.peekCached(entry.lane, id);
    if (
      !cachedEntry || cachedEntry === entry ||
      cachedEntry.request.exclude.includes(id)
    ) {
      this.#lanes.pop(entry.lane);
      return inTurn;
    }
    const over = this.#usage.isOverShare(cachedEntry.request.workspace, nowMs);
    const cachedCandidate = evaluate(cachedEntry.request, found.upstream, {
      nowMs,
      isOverShare: over,
    });
    this.#lanes.takeOutOfTurn(cachedEntry);
    entry.bypassCount++;
    return { entry: cachedEntry, candidate: cachedCandidate };
  }
}
