/**
 * Which queued request goes next, and where.
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
 * A new lead takes load reports at their word and fills half of each upstream for this long. Its predecessor's slots are
 * unknown until the entry VMs have named them, which takes one of their renewals.
 */
const STARTUP_CAUTION_MS = 1000;
/** Workspaces passed over whose next request can be placed nowhere yet, such as a retry that waits for one upstream. */
const MAX_SKIPS = 4;
/** Times a request may be bypassed by warmer ones: some 2 s of a busy upstream's work. */
const MAX_BYPASSES = 8;
/** Short requests within this time make the traffic mixed; see `SHORT_SHARE` of the placement. */
const SHORT_TRAFFIC_WINDOW_MS = 5000;

/** A queued request and its place. */
export interface Assignment {
  readonly entry: QueueEntry;
  readonly candidate: Candidate;
}

/** See the module. */
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

  /** The lead begins, if it has not yet. */
  start(nowMs: number): void {
    this.#cautiousUntilMs ??= nowMs + STARTUP_CAUTION_MS;
  }
  isCautious(nowMs: number): boolean {
    return nowMs < (this.#cautiousUntilMs ?? Infinity);
  }

  /** A short request arrived. */
  recordShort(nowMs: number): void {
    this.#lastShortAtMs = nowMs;
  }

  /** An entry was given a place. */
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

  /** Gives `go` those that waited long enough, and those that waited for one of these upstreams if it has room. */
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

  /** The next in turn that can be placed, taken out of the queue. */
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
        // Only these can be stuck where the next workspace is not.
        if (!entryView.isOverShare && entry.request.exclude.length === 0) break;
        this.#lanes.skip(lane);
        skips++;
      }
    }
    return undefined;
  }

  /**
   * Where the next in turn is cold at its place and another in the queue is warm there, the other goes first. With a
   * full queue most places would else go to prompts whose prefix lies elsewhere, and the pool would spend its time on
   * prefilling again what it has; one bypassed often enough goes wherever there is room.
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
