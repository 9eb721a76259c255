/**
 * The queue of a pool: short and long requests in lanes of their own, each fair between workspaces.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import { FairQueue, type Ticket } from "./fair_queue.ts";
import { type Entry, type LaneName, LANES } from "./lane_entry.ts";
import { Parking } from "./parking.ts";
import type { SlotRequest } from "./slots.ts";

/**
 * One level of priority is worth this much of the deadline. So a higher level goes first, and a lower one that has
 * waited this much longer for each level goes before it: nothing starves, and no entry is ever sorted again.
 */
const PRIORITY_STEP_MS = 10_000;
/** Priorities beyond these count as these: a caller must not outbid the ageing of all others. */
const PRIORITY_RANGE = { least: -3, most: 3 };

/**
 * How far, in tokens per weight, a workspace may be ahead of its share and still go out of turn for being warm. A few
 * long prompts: warm prefixes come in runs, and less would break them up; more would be felt as unfair.
 */
const BYPASS_LEAD = 40_000;

const byLatestStart = (a: Entry, b: Entry) => a.latestStartMs - b.latestStartMs;
/** Entries already gone that may stand in the heap by latest start, besides as many as are queued. */
const LATEST_SLACK = 128;

/**
 * Two lanes that share the pool's work evenly when both have entries. A short question waits behind other short ones
 * only, as they rarely use up their half; a stream of them cannot shut out the long prompts, as these have theirs.
 */
export class Lanes {
  readonly parking = new Parking();
  readonly #lanes = {
    short: new FairQueue<Entry>(),
    long: new FairQueue<Entry>(),
  };
  /** Entries by the upstream that holds their prefix; those gone are dropped when they come up. */
  readonly #warm = {
    short: new Map<string, TinyQueue<Ticket<Entry>>>(),
    long: new Map<string, TinyQueue<Ticket<Entry>>>(),
  };
  readonly #served = { short: 0, long: 0 };
  readonly #tickets = new Map<string, Ticket<Entry>>();
  #latest = new TinyQueue<Entry>([], byLatestStart);

  get size(): number {
    return this.#tickets.size;
  }
  get work(): number {
    return this.#lanes.short.work + this.#lanes.long.work;
  }
  sizeOf(lane: LaneName): number {
    return this.#lanes[lane].size;
  }
  workOf(lane: LaneName): number {
    return this.#lanes[lane].work;
  }
  has(attemptId: string): boolean {
    return this.#tickets.has(attemptId);
  }
  /** Entries that this workspace has queued. */
  countOf(workspace: string): number {
    return this.#lanes.short.of(workspace).count +
      this.#lanes.long.of(workspace).count;
  }
  get activeWeight(): number {
    return this.#lanes.short.activeWeight + this.#lanes.long.activeWeight;
  }

  push(entry: Entry): void {
    const { request, lane } = entry;
    const other = lane === "short" ? "long" : "short";
    if (this.#lanes[lane].size === 0 && this.#lanes[other].size > 0) {
      // An empty lane saves up no claim on the time it was empty.
      this.#served[lane] = Math.max(this.#served[lane], this.#served[other]);
    }
    const ticket = this.#lanes[lane].push(entry, {
      flow: request.workspace,
      weight: entry.weight,
      work: entry.work,
      rank: rankOf(request),
    });
    this.#tickets.set(request.attemptId, ticket);
    if (entry.warmAt !== undefined) this.#indexWarm(entry.warmAt, ticket);
    this.#latest.push(entry);
    if (this.#latest.length > 2 * this.size + LATEST_SLACK) this.#rebuild();
  }

  /** The lanes, the one that goes next first. */
  order(): readonly LaneName[] {
    return this.#served.short <= this.#served.long
      ? ["short", "long"]
      : ["long", "short"];
  }

  peek(lane: LaneName): Entry | undefined {
    return this.#lanes[lane].peek()?.value;
  }

  /** Passes over the workspace that goes next in the lane, until {@link restore}. */
  skip(lane: LaneName): void {
    this.#lanes[lane].skip();
  }
  restore(): void {
    for (const lane of LANES) this.#lanes[lane].restore();
  }

  /** Takes out the lane's next entry and charges it to lane and workspace. */
  pop(lane: LaneName): Entry | undefined {
    const entry = this.#lanes[lane].pop()?.value;
    if (!entry) return undefined;
    this.#served[lane] += entry.work;
    this.#tickets.delete(entry.request.attemptId);
    return entry;
  }

  /** Charges the lane's next entry as if it went, and keeps it until `untilMs` for this upstream. */
  park(lane: LaneName, upstreamId: string, untilMs: number): void {
    const ticket = this.#lanes[lane].pop();
    if (!ticket) return;
    this.#served[lane] += ticket.work;
    this.parking.park(ticket.value, upstreamId, untilMs);
  }

  /**
   * An entry of the lane whose prefix this upstream holds and whose workspace is not far ahead of its share: of many
   * that wait, the one that costs the upstream least, as long as fairness allows.
   */
  peekWarm(lane: LaneName, upstreamId: string): Entry | undefined {
    const waiting = this.#warm[lane].get(upstreamId);
    while (waiting && waiting.length > 0) {
      const ticket = waiting.peek()!;
      if (ticket.state === "queued") {
        const lead = this.#lanes[lane].lead(ticket.flow);
        return lead <= BYPASS_LEAD ? ticket.value : undefined;
      }
      waiting.pop();
    }
    this.#warm[lane].delete(upstreamId);
    return undefined;
  }

  /** Takes out an entry before its turn; it is charged all the same. */
  take(entry: Entry): void {
    const { attemptId } = entry.request;
    const ticket = this.#tickets.get(attemptId);
    if (!ticket) return;
    this.#tickets.delete(attemptId);
    this.#lanes[entry.lane].take(ticket);
    this.#served[entry.lane] += entry.work;
  }

  /** Takes out an entry that is given up. */
  remove(attemptId: string): Entry | undefined {
    const ticket = this.#tickets.get(attemptId);
    if (!ticket) return undefined;
    this.#tickets.delete(attemptId);
    this.#lanes[ticket.value.lane].remove(ticket);
    this.parking.remove(attemptId);
    return ticket.value;
  }

  /** Takes out the entries that can no longer start in time. */
  removeLate(nowMs: number): Entry[] {
    const late: Entry[] = [];
    for (;;) {
      const entry = this.#latest.peek();
      if (!entry || entry.latestStartMs >= nowMs) return late;
      this.#latest.pop();
      const { attemptId } = entry.request;
      if (this.#tickets.get(attemptId)?.value !== entry) continue;
      this.remove(attemptId);
      late.push(entry);
    }
  }

  /** Takes out all entries. */
  clear(): Entry[] {
    return [...this.#tickets.keys()].map((id) => this.remove(id)!);
  }

  #indexWarm(upstreamId: string, ticket: Ticket<Entry>): void {
    const lane = this.#warm[ticket.value.lane];
    let waiting = lane.get(upstreamId);
    if (!waiting) {
      waiting = new TinyQueue<Ticket<Entry>>([], (a, b) => a.rank - b.rank);
      lane.set(upstreamId, waiting);
    }
    waiting.push(ticket);
  }

  #rebuild(): void {
    const queued = [...this.#tickets.values()].map((ticket) => ticket.value);
    this.#latest = new TinyQueue(queued, byLatestStart);
  }

  /** Corrects what a workspace was charged by what its request turned out to need. */
  charge(lane: LaneName, workspace: string, work: number): void {
    this.#lanes[lane].charge(workspace, work);
  }

  /** Work of this lane that starts before a newcomer. */
  ahead(lane: LaneName, workspace: string, weight: number): number {
    return this.#lanes[lane].ahead(workspace, weight);
  }
}

function rankOf(request: SlotRequest): number {
  const priority = Math.min(
    PRIORITY_RANGE.most,
    Math.max(PRIORITY_RANGE.least, request.priority),
  );
  return request.deadlineMs - priority * PRIORITY_STEP_MS;
}
