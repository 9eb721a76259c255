/**
 * The queue of a pool: short and long requests wait in separate lanes, each of them fair between workspaces.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import { FairQueue, type Ticket } from "./fair_queue.ts";
import { type LaneName, LANES, type QueueEntry } from "./queue_entry.ts";
import { AffinityQueue } from "./affinity_queue.ts";
import type { SlotRequest } from "./slots.ts";

/**
 * One level of priority counts as much as a deadline that is earlier by this. So a higher level goes first, but a lower
 * one that has waited this much longer per level goes before it: nothing starves, and no entry has to be sorted again.
 */
const PRIORITY_STEP_MS = 10_000;
/** Priorities are clamped to this range, so that a caller cannot outweigh the ageing of all others. */
const PRIORITY_RANGE = { min: -3, max: 3 };

/**
 * How far, in tokens per weight, a workspace may be ahead of its share and still go out of turn because its prefix is
 * cached. The limit equals a few long prompts: requests with cached prefixes come in runs, which a lower limit would
 * break up; a higher one would be noticeably unfair.
 */
const MAX_BYPASS_TOKENS_PER_WEIGHT = 40_000;

const byLatestStart = (a: QueueEntry, b: QueueEntry) =>
  a.latestStartMs - b.latestStartMs;
/** Removed entries that may stay in the heap by latest start, beyond as many as are queued, before it is rebuilt. */
const REMOVED_SLACK = 128;

/**
 * Two lanes that share the pool's work evenly when both have entries. A short request waits only behind other short
 * ones, as these rarely use up their half; and a stream of short requests cannot block the long prompts, which have the
 * other half.
 */
export class Lanes {
  readonly affinityQueue = new AffinityQueue();
  readonly #lanes = {
    short: new FairQueue<QueueEntry>(),
    long: new FairQueue<QueueEntry>(),
  };
  /** Entries by the upstream that has their prefix cached; removed ones are dropped when they reach the top. */
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
  /** Returns how many entries this workspace has queued. */
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
      // A lane gets no credit for the time in which it was empty.
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

  /** Returns the lanes; the one that goes next comes first. */
  laneOrder(): readonly LaneName[] {
    return this.#servedWork.short <= this.#servedWork.long
      ? ["short", "long"]
      : ["long", "short"];
  }

  peek(lane: LaneName): QueueEntry | undefined {
    return this.#lanes[lane].peek()?.value;
  }

  /** Skips the workspace that goes next in the lane until {@link restore} is called. */
  skip(lane: LaneName): void {
    this.#lanes[lane].skip();
  }
  restore(): void {
    for (const lane of LANES) this.#lanes[lane].restore();
  }

  /** Takes out the lane's next entry and charges it to the lane and the workspace. */
  pop(lane: LaneName): QueueEntry | undefined {
    const entry = this.#lanes[lane].pop()?.value;
    if (!entry) return undefined;
    this.#servedWork[lane] += entry.work;
    this.#tickets.delete(entry.request.attemptId);
    return entry;
  }

  /**
   * Moves the lane's next entry to the affinity queue, where it waits for this upstream until `untilMs`. The entry is
   * charged as if it had started.
   */
  deferNext(lane: LaneName, upstreamId: string, untilMs: number): void {
    const ticket = this.#lanes[lane].pop();
    if (!ticket) return;
    this.#servedWork[lane] += ticket.work;
    this.affinityQueue.add(ticket.value, upstreamId, untilMs);
  }

  /**
   * Returns the lane's first entry whose prefix this upstream has cached, which costs the upstream less than other
   * entries. Returns nothing if the entry's workspace is too far ahead of its share.
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

  /** Takes out an entry before its turn and charges it as usual. */
  takeOutOfTurn(entry: QueueEntry): void {
    const { attemptId } = entry.request;
    const ticket = this.#tickets.get(attemptId);
    if (!ticket) return;
    this.#tickets.delete(attemptId);
    this.#lanes[entry.lane].takeOutOfTurn(ticket);
    this.#servedWork[entry.lane] += entry.work;
  }

  /** Removes an entry that is given up, or that was deferred and starts now. */
  remove(attemptId: string): QueueEntry | undefined {
    const ticket = this.#tickets.get(attemptId);
    if (!ticket) return undefined;
    this.#tickets.delete(attemptId);
    this.#lanes[ticket.value.lane].remove(ticket);
    this.affinityQueue.remove(attemptId);
    return ticket.value;
  }

  /** Removes and returns the entries that can no longer start in time. */
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

  /** Removes and returns all entries. */
  clear(): QueueEntry[] {
    return [...this.#tickets.keys()].map((id) => this.remove(id)!);
  }

  #indexPrefix(upstreamId: string, ticket: Ticket<QueueEntry>): void {
    const byUpstream = this.#prefixTickets[ticket.value.lane];
    let waiting = byUpstream.get(upstreamId);
    if (!waiting) {
      waiting = new TinyQueue<Ticket<QueueEntry>>(
        [],
        (a, b) => a.rank - b.rank,
      );
      byUpstream.set(upstreamId, waiting);
    }
    waiting.push(ticket);
  }

  #rebuildHeap(): void {
    const queued = [...this.#tickets.values()].map((ticket) => ticket.value);
    this.#byLatestStart = new TinyQueue(queued, byLatestStart);
  }

  /** Corrects what a workspace was charged by what its request actually needed. */
  charge(lane: LaneName, workspace: string, work: number): void {
    this.#lanes[lane].charge(workspace, work);
  }

  /** Estimates the work of this lane that starts before a new entry of the workspace. */
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
