/**
 * The queue of a pool: short and long requests in lanes of their own, each fair between workspaces.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import { FairQueue, type Ticket } from "./fair_queue.ts";
import { type LaneName, LANES, type QueueEntry } from "./queue_entry.ts";
import { AffinityQueue } from "./affinity_queue.ts";
import type { SlotRequest } from "./slots.ts";

/**
 * One level of priority is worth this much of the deadline. So a higher level goes first, and a lower one that has
 * waited this much longer for each level goes before it: nothing starves, and no entry is ever sorted again.
 */
const PRIORITY_STEP_MS = 10_000;
/** Priorities beyond these count as these: a caller must not outbid the ageing of all others. */
const PRIORITY_RANGE = { min: -3, max: 3 };

/**
 * How far, in tokens per weight, a workspace may be ahead of its share and still go out of turn for being warm. A few
 * long prompts: warm prefixes come in runs, and less would break them up; more would be felt as unfair.
 */
const MAX_BYPASS_TOKENS_PER_WEIGHT = 40_000;

const byLatestStart = (a: QueueEntry, b: QueueEntry) =>
  a.latestStartMs - b.latestStartMs;
/** Entries already gone that may stand in the heap by latest start, besides as many as are queued. */
const REMOVED_SLACK = 128;

/**
 * Two lanes that share the pool's work evenly when both have entries. A short question waits behind other short ones
 * only, as they rarely use up their half; a stream of them cannot shut out the long prompts, as these have theirs.
 */
export class Lanes {
  readonly affinityQueue = new AffinityQueue();
  readonly #lanes = {
    short: new FairQueue<QueueEntry>(),
    long: new FairQueue<QueueEntry>(),
  };
  /** Entries by the upstream that holds their prefix; those gone are dropped when they come up. */
  readonly #prefixTickets = {
    short: new Map<string, TinyQueue<Ticket<QueueEntry>>>(),
    long: new Map<string, TinyQueue<Ticket<QueueEntry>>>(),
  };
  readonly #servedWork = { short: 0, long: 0 };
  readonly #tickets = new Map<string, Ticket<QueueEntry>>();
  #byLatestStart = new TinyQueue<QueueEntry>([], byLatestStart);

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
    return this.#lanes.short.queuedOf(workspace).count +
      this.#lanes.long.queuedOf(workspace).count;
  }
  get activeWeight(): number {
    return this.#lanes.short.activeWeight + this.#lanes.long.activeWeight;
  }

  push(entry: QueueEntry): void {
    const { request, lane } = entry;
    const other = lane === "short" ? "long" : "short";
    if (this.#lanes[lane].size === 0 && this.#lanes[other].size > 0) {
      // An empty lane saves up no claim on the time it was empty.
      this.#servedWork[lane] = Math.max(
        this.#servedWork[lane],
        this.#servedWork[other],
      );
    }
    const ticket = this.#lanes[lane].push(entry, {
      flow: request.workspace,
      weight: entry.weight,
      work: entry.work,
      rank: rankOf(request),
    });
    this.#tickets.set(request.attemptId, ticket);
    if (entry.prefixUpstreamId !== undefined) {
      this.#indexPrefix(entry.prefixUpstreamId, ticket);
    }
    this.#byLatestStart.push(entry);
    if (this.#byLatestStart.length > 2 * this.size + REMOVED_SLACK) {
      this.#rebuildHeap();
    }
  }

  /** The lanes, the one that goes next first. */
  laneOrder(): readonly LaneName[] {
    return this.#servedWork.short <= this.#servedWork.long
      ? ["short", "long"]
      : ["long", "short"];
  }

  peek(lane: LaneName): QueueEntry | undefined {
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
  pop(lane: LaneName): QueueEntry | undefined {
    const entry = this.#lanes[lane].pop()?.value;
    if (!entry) return undefined;
    this.#servedWork[lane] += entry.work;
    this.#tickets.delete(entry.request.attemptId);
    return entry;
  }

  /** Charges the lane's next entry as if it went, and keeps it until `untilMs` for this upstream. */
  deferNext(lane: LaneName, upstreamId: string, untilMs: number): void {
    const ticket = this.#lanes[lane].pop();
    if (!ticket) return;
    this.#servedWork[lane] += ticket.work;
    this.affinityQueue.add(ticket.value, upstreamId, untilMs);
  }

  /**
   * An entry of the lane whose prefix this upstream holds and whose workspace is not far ahead of its share: of many
   * that wait, the one that costs the upstream least, as long as fairness allows.
   */
  peekCached(lane: LaneName, upstreamId: string): QueueEntry | undefined {
    const waiting = this.#prefixTickets[lane].get(upstreamId);
    while (waiting && waiting.length > 0) {
      const ticket = waiting.peek()!;
      if (ticket.state === "queued") {
        const aheadBy = this.#lanes[lane].aheadOfShare(ticket.flow);
        return aheadBy <= MAX_BYPASS_TOKENS_PER_WEIGHT
          ? ticket.value
          : undefined;
      }
      waiting.pop();
    }
    this.#prefixTickets[lane].delete(upstreamId);
    return undefined;
  }

  /** Takes out an entry before its turn; it is charged all the same. */
  takeOutOfTurn(entry: QueueEntry): void {
    const { attemptId } = entry.request;
    const ticket = this.#tickets.get(attemptId);
    if (!ticket) return;
    this.#tickets.delete(attemptId);
    this.#lanes[entry.lane].takeOutOfTurn(ticket);
    this.#servedWork[entry.lane] += entry.work;
  }

  /** Takes out an entry that is given up. */
  remove(attemptId: string): QueueEntry | undefined {
    const ticket = this.#tickets.get(attemptId);
    if (!ticket) return undefined;
    this.#tickets.delete(attemptId);
    this.#lanes[ticket.value.lane].remove(ticket);
    this.affinityQueue.remove(attemptId);
    return ticket.value;
  }

  /** Takes out the entries that can no longer start in time. */
  removeLate(nowMs: number): QueueEntry[] {
    const late: QueueEntry[] = [];
    for (;;) {
      const entry = this.#byLatestStart.peek();
      if (!entry || entry.latestStartMs >= nowMs) return late;
      this.#byLatestStart.pop();
      const { attemptId } = entry.request;
      if (this.#tickets.get(attemptId)?.value !== entry) continue;
      this.remove(attemptId);
      late.push(entry);
    }
  }

  /** Takes out all entries. */
  clear(): QueueEntry[] {
    return [...this.#tickets.keys()].map((id) => this.remove(id)!);
  }

  #indexPrefix(upstreamId: string, ticket: Ticket<QueueEntry>): void {
    const lane = this.#prefixTickets[ticket.value.lane];
    let waiting = lane.get(upstreamId);
    if (!waiting) {
      waiting = new TinyQueue<Ticket<QueueEntry>>(
        [],
        (a, b) => a.rank - b.rank,
      );
      lane.set(upstreamId, waiting);
    }
    waiting.push(ticket);
  }

  #rebuildHeap(): void {
    const queued = [...this.#tickets.values()].map((ticket) => ticket.value);
    this.#byLatestStart = new TinyQueue(queued, byLatestStart);
  }

  /** Corrects what a workspace was charged by what its request turned out to need. */
  charge(lane: LaneName, workspace: string, work: number): void {
    this.#lanes[lane].charge(workspace, work);
  }

  /** Work of this lane that starts before a newcomer. */
  workAhead(lane: LaneName, workspace: string, weight: number): number {
    return this.#lanes[lane].workAhead(workspace, weight);
  }
}

function rankOf(request: SlotRequest): number {
  const priority = Math.min(
    PRIORITY_RANGE.max,
    Math.max(PRIORITY_RANGE.min, request.priority),
  );
  return request.deadlineMs - priority * PRIORITY_STEP_MS;
}
