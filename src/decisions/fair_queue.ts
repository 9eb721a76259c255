/**
 * A queue that shares service between flows by weight and work (start-time fair queueing), in O(log n) per step.
 *
 * @module
 */

import TinyQueue from "tinyqueue";

/** The handle of an entry in a {@link FairQueue}. */
export interface Ticket<T> {
  readonly value: T;
  readonly flow: string;
  readonly work: number;
  /** Order within the flow; the lowest rank goes first. */
  readonly rank: number;
  state: "queued" | "gone";
}

interface Flow<T> {
  readonly id: string;
  weight: number;
  items: TinyQueue<Ticket<T>>;
  count: number;
  work: number;
  /** Virtual time at which its next entry starts. */
  startTag: number;
  /** Work used beyond what the flow was charged, or less if negative; it is charged with the flow's next entry. */
  debt: number;
  /** Whether the flow is in the heap of flows; it may be even when all its entries have been removed. */
  isInHeap: boolean;
}

const byRank = <T>(a: Ticket<T>, b: Ticket<T>) => a.rank - b.rank;
const byStartTag = <T>(a: Flow<T>, b: Flow<T>) => a.startTag - b.startTag;

/** Idle flows that owe nothing are removed only once at least this many flows are known. */
const MIN_SWEEP_FLOWS = 256;
/**
 * Removed entries that may stay in the heaps, beyond as many as are queued, before the heaps are rebuilt: a burst of
 * cancellations must not occupy memory for long.
 */
const REMOVED_SLACK = 64;

/**
 * Entries of many flows. Each pop charges the flow its work divided by its weight, and the flow that was charged least
 * goes next. If one workspace sends far more than its share, its burst waits behind its own requests and not in front
 * of others'.
 */
export class FairQueue<T> {
  readonly #flows = new Map<string, Flow<T>>();
  #activeFlows = new TinyQueue<Flow<T>>([], byStartTag);
  readonly #skippedFlows: Flow<T>[] = [];
  #virtualTime = 0;
  #size = 0;
  #work = 0;
  #removedCount = 0;
  #activeWeight = 0;
  #sweepAtSize = MIN_SWEEP_FLOWS;

  get size(): number {
    return this.#size;
  }
  /** Total work queued. */
  get work(): number {
    return this.#work;
  }
  /** Sum of the weights of the flows that have entries. */
  get activeWeight(): number {
    return this.#activeWeight;
  }
  /** Returns the entries and the work that this flow has queued. */
  queuedOf(flow: string): { readonly count: number; readonly work: number } {
    const found = this.#flows.get(flow);
    return { count: found?.count ?? 0, work: found?.work ?? 0 };
  }

  push(
    value: T,
    entry: { flow: string; weight: number; work: number; rank: number },
  ): Ticket<T> {
    const flow = this.#flowOf(entry.flow);
    const ticket: Ticket<T> = {
      value,
      flow: entry.flow,
      work: entry.work,
      rank: entry.rank,
      state: "queued",
    };
    if (flow.count === 0) this.#activate(flow, entry.weight);
    flow.items.push(ticket);
    this.#updateCounts(flow, ticket, 1);
    return ticket;
  }

  /** Returns the entry that goes next. */
  peek(): Ticket<T> | undefined {
    for (;;) {
      const flow = this.#activeFlows.peek();
      if (!flow) return undefined;
      popRemoved(flow.items);
      const ticket = flow.items.peek();
      if (ticket) return ticket;
      this.#activeFlows.pop();
      flow.isInHeap = false;
    }
  }

  /** Takes out the entry that goes next and charges its flow. */
  pop(): Ticket<T> | undefined {
    const ticket = this.peek();
    if (!ticket) return undefined;
    const flow = this.#activeFlows.pop()!;
    flow.isInHeap = false;
    flow.items.pop();
    this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
    flow.startTag += (ticket.work + flow.debt) / flow.weight;
    flow.debt = 0;
    ticket.state = "gone";
    this.#updateCounts(flow, ticket, -1);
    if (flow.count > 0) this.#pushActive(flow);
    return ticket;
  }

  /** Skips the flow that goes next until {@link restore} is called. */
  skip(): void {
    const flow = this.#activeFlows.pop();
    if (flow) this.#skippedFlows.push(flow);
  }

  /** Puts the skipped flows back. */
  restore(): void {
    for (const flow of this.#skippedFlows) this.#activeFlows.push(flow);
    this.#skippedFlows.length = 0;
  }

  /** Takes out an entry without charging its flow. */
  remove(ticket: Ticket<T>): void {
    if (ticket.state === "gone") return;
    ticket.state = "gone";
    this.#updateCounts(this.#flowOf(ticket.flow), ticket, -1);
    this.#removedCount++;
    if (this.#removedCount > this.#size + REMOVED_SLACK) this.#rebuild();
  }

  /** Takes out an entry before its turn and charges its flow, which then waits longer for its next turn. */
  takeOutOfTurn(ticket: Ticket<T>): void {
    this.remove(ticket);
    this.charge(ticket.flow, ticket.work);
  }

  /** Returns how far the flow's service is ahead of the other flows' service, in work per weight. */
  aheadOfShare(flowId: string): number {
    const flow = this.#flows.get(flowId);
    if (!flow) return 0;
    return Math.max(
      0,
      flow.startTag - this.#virtualTime + flow.debt / flow.weight,
    );
  }

  /**
   * Estimates the work that starts before a new entry of this flow: what all flows with entries are served until it is
   * this flow's turn, but at most all queued work. A flow that was idle joins at the current virtual time, where up to
   * one entry of each other flow may start before it.
   */
  workAhead(flowId: string, weight: number): number {
    if (this.#size === 0) return 0;
    const queued = this.queuedOf(flowId);
    const meanWork = this.#work / this.#size;
    const untilTurn = this.aheadOfShare(flowId) +
      (queued.work + meanWork) / weight;
    const totalWeight = this.#activeWeight + (queued.count > 0 ? 0 : weight);
    return Math.min(this.#work, untilTurn * totalWeight);
  }

  /** Charges a flow for work that exceeded its estimate; a negative amount is a credit. */
  charge(flowId: string, work: number): void {
    const flow = this.#flows.get(flowId);
    if (flow) flow.debt += work;
  }

  /** Iterates over all queued entries in no particular order. */
  *tickets(): IterableIterator<Ticket<T>> {
    for (const flow of this.#flows.values()) {
      for (const ticket of flow.items.data) {
        if (ticket.state === "queued") yield ticket;
      }
    }
  }

  #flowOf(id: string): Flow<T> {
    let flow = this.#flows.get(id);
    if (!flow) {
      if (this.#flows.size >= this.#sweepAtSize) this.#sweep();
      flow = {
        id,
        weight: 1,
        items: new TinyQueue<Ticket<T>>([], byRank),
        count: 0,
        work: 0,
        startTag: 0,
        debt: 0,
        isInHeap: false,
      };
      this.#flows.set(id, flow);
    }
    return flow;
  }

  // A flow that becomes active again starts at the current virtual time or later. Idle time earns no credit; otherwise
  // a workspace that was idle all night would block the others in the morning.
  #activate(flow: Flow<T>, weight: number): void {
    flow.weight = Math.max(weight, 1e-6);
    if (flow.isInHeap) return;
    flow.startTag = Math.max(this.#virtualTime, flow.startTag);
    this.#pushActive(flow);
  }

  #pushActive(flow: Flow<T>): void {
    flow.isInHeap = true;
    this.#activeFlows.push(flow);
  }

  #updateCounts(flow: Flow<T>, ticket: Ticket<T>, sign: 1 | -1): void {
    const wasActive = flow.count > 0;
    flow.count += sign;
    flow.work += sign * ticket.work;
    this.#size += sign;
    this.#work += sign * ticket.work;
    if (!wasActive) this.#activeWeight += flow.weight;
    else if (flow.count === 0) this.#activeWeight -= flow.weight;
    if (this.#size === 0) this.#activeWeight = 0;
  }

  // An idle flow whose start tag lies in the past is treated like a new flow, so it can be removed.
  #sweep(): void {
    for (const [id, flow] of this.#flows) {
      if (
        flow.count === 0 && !flow.isInHeap && flow.startTag <= this.#virtualTime
      ) {
        this.#flows.delete(id);
      }
    }
    // Doubling the threshold spreads the cost of a sweep over as many new flows as it visits.
    this.#sweepAtSize = Math.max(MIN_SWEEP_FLOWS, 2 * this.#flows.size);
  }

  #rebuild(): void {
    for (const flow of this.#flows.values()) {
      const live = flow.items.data.filter((t) => t.state === "queued");
      flow.items = new TinyQueue(live, byRank);
      flow.isInHeap = flow.count > 0;
    }
    const active = [...this.#flows.values()].filter((f) => f.count > 0);
    this.#activeFlows = new TinyQueue(active, byStartTag);
    this.#removedCount = 0;
  }
}

function popRemoved<T>(items: TinyQueue<Ticket<T>>): void {
  while (items.peek()?.state === "gone") items.pop();
}
