/**
 * Which queued request goes next, and where.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import { Holders } from "./holders.ts";
import type { Entry } from "./lane_entry.ts";
import type { Lanes } from "./lanes.ts";
import {
  type Place,
  place,
  placeAt,
  type PlacementView,
  weigh,
} from "./placement.ts";
import type { Upstream } from "./upstream.ts";
import { Usage } from "./usage.ts";

/**
 * A new lead takes load reports at their word and fills half of each upstream for this long. Its predecessor's slots are
 * unknown until the entry VMs have named them, which takes one of their renewals.
 */
const CAUTION_MS = 1000;
/** Workspaces passed over whose next request can be placed nowhere yet, such as a retry that waits for one upstream. */
const MOST_SKIPS = 4;
/** Times a request may be bypassed by warmer ones: some 2 s of a busy upstream's work. */
const MOST_BYPASSES = 8;
/** Short requests within this time make the traffic mixed; see `SHORT_SHARE` of the placement. */
const MIXED_MS = 5000;

/** A queued request and its place. */
export interface Choice {
  readonly entry: Entry;
  readonly found: Place;
}

/** See the module. */
export class Chooser {
  readonly #lanes: Lanes;
  readonly #fleet: Fleet;
  readonly #random: Random;
  readonly #usage = new Usage();
  readonly #holders = new Holders<Upstream>();
  #cautiousUntilMs?: number;
  #shortAtMs = -Infinity;

  constructor(lanes: Lanes, fleet: Fleet, random: Random) {
    this.#lanes = lanes;
    this.#fleet = fleet;
    this.#random = random;
  }

  /** The lead begins, if it has not yet. */
  begin(nowMs: number): void {
    this.#cautiousUntilMs ??= nowMs + CAUTION_MS;
  }
  isCautious(nowMs: number): boolean {
    return nowMs < (this.#cautiousUntilMs ?? Infinity);
  }

  /** A short request arrived. */
  sawShort(nowMs: number): void {
    this.#shortAtMs = nowMs;
  }

  /** An entry was given a place. */
  granted({ entry, found }: Choice, nowMs: number): void {
    const { request, weight, work } = entry;
    this.#usage.add(request.workspace, weight, work, nowMs);
    this.#holders.placed(request.prefixHashes, found.upstream);
  }

  view(nowMs: number): PlacementView {
    return {
      upstreams: this.#fleet.active,
      nowMs,
      random: this.#random,
      mixed: nowMs - this.#shortAtMs < MIXED_MS,
      pressure: this.#fleet.pressure,
      cautious: this.isCautious(nowMs),
      over: false,
      holders: (hashes) => this.#holders.of(hashes),
      waitingFor: (upstreamId) => this.#lanes.parking.countAt(upstreamId),
    };
  }

  /** Gives `go` those that waited long enough, and those that waited for one of these upstreams if it has room. */
  parked(
    nowMs: number,
    upstreamIds: readonly string[],
    go: (choice: Choice) => void,
  ): void {
    const view = this.view(nowMs);
    const { parking } = this.#lanes;
    for (const entry of parking.ready(view.nowMs)) {
      const found = place(entry.request, this.#viewOf(entry, view));
      if (found.type !== "go") continue;
      this.#lanes.remove(entry.request.attemptId);
      go({ entry, found: found.place });
    }
    for (const id of upstreamIds) {
      const upstream = this.#fleet.get(id);
      for (;;) {
        const entry = parking.firstAt(id);
        const found = entry && upstream &&
          placeAt(entry.request, upstream, this.#viewOf(entry, view));
        if (!found) break;
        this.#lanes.remove(entry.request.attemptId);
        go({ entry, found });
      }
    }
  }

  #viewOf(entry: Entry, view: PlacementView): PlacementView {
    const over = this.#usage.isOver(entry.request.workspace, view.nowMs);
    return over ? { ...view, over } : view;
  }

  /** The next in turn that can be placed, taken out of the queue. */
  next(nowMs: number): Choice | undefined {
    const view = this.view(nowMs);
    for (const lane of this.#lanes.order()) {
      for (let skips = 0; skips <= MOST_SKIPS;) {
        const entry = this.#lanes.peek(lane);
        if (!entry) break;
        const own = this.#viewOf(entry, view);
        const found = place(entry.request, own);
        if (found.type === "go") {
          return this.#prefer(entry, found.place, view.nowMs);
        }
        if (found.type === "wait") {
          const untilMs = Math.min(
            found.untilMs,
            (view.nowMs + entry.latestStartMs) / 2,
          );
          this.#lanes.park(lane, found.upstream.row.id, untilMs);
          continue;
        }
        // Only these can be stuck where the next workspace is not.
        if (!own.over && entry.request.exclude.length === 0) break;
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
  #prefer(entry: Entry, found: Place, nowMs: number): Choice {
    const own = { entry, found };
    if (found.probe || !found.long || entry.bypassed >= MOST_BYPASSES) {
      this.#lanes.pop(entry.lane);
      return own;
    }
    const id = found.upstream.row.id;
    const other = this.#lanes.peekWarm(entry.lane, id);
    if (!other || other === entry || other.request.exclude.includes(id)) {
      this.#lanes.pop(entry.lane);
      return own;
    }
    const over = this.#usage.isOver(other.request.workspace, nowMs);
    const place = weigh(other.request, found.upstream, { nowMs, over });
    this.#lanes.take(other);
    entry.bypassed++;
    return { entry: other, found: place };
  }
}
