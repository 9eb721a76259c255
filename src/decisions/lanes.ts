/**
 * The queue of a pool: short and long requests in lanes of their own, each fair between workspaces.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import { FairQueue, type Ticket } from "./fair_queue.ts";
import { type QueueView, workAhead } from "./admission.ts";
import type { Use } from "./limits.ts";
import type { SlotRequest } from "./slots.ts";

/**
 * One level of priority is worth this much of the deadline. So a higher level goes first, and a lower one that has
 * waited this much longer for each level goes before it: nothing starves, and no entry is ever sorted again.
 */
const PRIORITY_STEP_MS = 10_000;
/** Priorities beyond these count as these: a caller must not outbid the ageing of all others. */
const PRIORITY_RANGE = { least: -3, most: 3 };

/** The two lanes. */
export type LaneName = "short" | "long";

/** A queued request. */
export interface Entry {
  readonly request: SlotRequest;
  readonly lane: LaneName;
  readonly weight: number;
  readonly work: number;
  readonly use: Use;
  readonly queuedAtMs: number;
  /** Starting later than this, its first token would miss the deadline. */
  readonly latestStartMs: number;
}

const byLatestStart = (a: Entry, b: Entry) => a.latestStartMs - b.latestStartMs;
/** Entries already gone that may stand in the heap by latest start, besides as many as are queued. */
const LATEST_SLACK = 128;

/**
 * Two lanes that share the pool's work evenly when both have entries. A short question waits behind other short ones
 * only, as they rarely use up their half; a stream of them cannot shut out the long prompts, as these have theirs.
 */
export class Lanes {
  readonly #lanes = {
    short: new FairQueue<Entry>(),
    long: new FairQueue<Entry>(),
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

  /** Takes out the lane's next entry and charges it to lane and workspace. */
  pop(lane: LaneName): Entry | undefined {
    const entry = this.#lanes[lane].pop()?.value;
    if (!entry) return undefined;
    this.#served[lane] += entry.work;
    this.#tickets.delete(entry.request.attemptId);
    return entry;
  }

  /** Takes out an entry that is given up. */
  remove(attemptId: string): Entry | undefined {
    const ticket = this.#tickets.get(attemptId);
    if (!ticket) return undefined;
    this.#tickets.delete(attemptId);
    this.#lanes[ticket.value.lane].remove(ticket);
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

  #rebuild(): void {
    const queued = [...this.#tickets.values()].map((ticket) => ticket.value);
    this.#latest = new TinyQueue(queued, byLatestStart);
  }

  /** Corrects what a workspace was charged by what its request turned out to need. */
  charge(lane: LaneName, workspace: string, work: number): void {
    this.#lanes[lane].charge(workspace, work);
  }

  /** Work that is started before a newcomer to this lane. */
  ahead(lane: LaneName, workspace: string, weight: number): number {
    const queue = this.#lanes[lane];
    const other = this.#lanes[lane === "short" ? "long" : "short"];
    const own = queue.of(workspace);
    const view: QueueView = {
      laneWork: queue.work,
      ownWork: own.work,
      activeWeight: queue.activeWeight + (own.count > 0 ? 0 : weight),
      ownWeight: weight,
      laneShare: other.size > 0 ? 0.5 : 1,
    };
    return workAhead(view);
  }
}

function rankOf(request: SlotRequest): number {
  const priority = Math.min(
    PRIORITY_RANGE.most,
    Math.max(PRIORITY_RANGE.least, request.priority),
  );
  return request.deadlineMs - priority * PRIORITY_STEP_MS;
}
