/**
 * Fair shares between the workspaces of one class: start-time fair queueing with equal weights, measured in tokens.
 *
 * @module
 */

import { Flow } from "./flow.ts";
import { compareEntries, type Entry } from "./waiting_request.ts";

/**
 * Tokens that a workspace may catch up if none of its entries could be served where there was room, while others were:
 * a few long prompts. Without a bound, it would hold up the others for as long as it could not be served itself.
 */
const MAX_LAG_TOKENS = 100_000;
/** Workspaces without entries whose last charge is remembered. */
const MAX_CHARGED = 1_024;

/** The first entry of a workspace, and the virtual time at which it starts. */
export interface Head {
  readonly entry: Entry;
  readonly startTag: number;
}

/** Orders the heads of workspaces by service. */
export type HeadOrder = (a: Head, b: Head) => number;

/**
 * Returns the order by service: the workspaces that were served the fewest tokens first, and those that were served about
 * as many, within `toleranceTokens`, by due time.
 */
export function orderOfHeads(toleranceTokens: number): HeadOrder {
  const rankOf = ({ startTag }: Head) =>
    toleranceTokens > 0 ? Math.floor(startTag / toleranceTokens) : startTag;
  return (a, b) => rankOf(a) - rankOf(b) || compareEntries(a.entry, b.entry);
}

/**
 * The entries of one class. The workspace that was served the fewest tokens goes next; among those that were served
 * about as many, the entry that is due first. A workspace that becomes active
 * starts at the current virtual time or where its last service ended, so it neither gains credit for the time in which
 * it was idle nor loses its charge by a short pause.
 */
export class FairShares {
  readonly #order: HeadOrder;
  readonly #flows = new Map<string, Flow>();
  /** Start tags of workspaces that have no entries, as far as they are ahead of the virtual time. */
  readonly #charged = new Map<string, number>();
  /** Start tag of the entry that was served last. */
  #virtualTokens = 0;
  #size = 0;

  constructor(order: HeadOrder) {
    this.#order = order;
  }

  get size(): number {
    return this.#size;
  }

  add(entry: Entry): void {
    this.#flowOf(entry.request.workspace).add(entry);
    this.#size++;
  }

  /** Removes an entry, which it must have, without a charge. */
  remove(entry: Entry): void {
    const flow = this.#flows.get(entry.request.workspace)!;
    flow.remove(entry);
    this.#size--;
    if (flow.size === 0) this.#deactivate(flow);
  }

  /** Charges a workspace, which need not have entries, for a request that is served. */
  charge(workspace: string, tokens: number): void {
    const startTag = Math.max(
      this.startTagOf(workspace),
      this.#virtualTokens - MAX_LAG_TOKENS,
    );
    this.#virtualTokens = Math.max(this.#virtualTokens, startTag);
    const flow = this.#flows.get(workspace);
    if (flow) flow.startTag = startTag + tokens;
    else this.#remember(workspace, startTag + tokens);
  }

  /** The first entry of each workspace in service order, at most `most`. */
  heads(most: number, nowMs: number): Head[] {
    const heads: Head[] = [];
    for (const flow of this.#flows.values()) {
      const entry = flow.head(nowMs);
      if (!entry) continue;
      const head = { entry, startTag: flow.startTag };
      const last = heads.at(most - 1);
      if (last && this.#order(head, last) > 0) continue;
      insertHead(heads, head, this.#order);
      if (heads.length > most) heads.pop();
    }
    return heads;
  }

  /** The virtual time at which the workspace's next service starts. */
  startTagOf(workspace: string): number {
    return this.#flows.get(workspace)?.startTag ??
      Math.max(this.#virtualTokens, this.#charged.get(workspace) ?? 0);
  }

  /** How many entries of the class would be served before this one, which may be queued or not. */
  countAhead(entry: Entry): number {
    const { workspace } = entry.request;
    const own = this.#flows.get(workspace);
    const ownAhead = own?.countBefore(entry) ?? 0;
    const startTag = this.startTagOf(workspace) +
      (own ? ownAhead * own.meanTokens : 0);
    let ahead = ownAhead;
    for (const flow of this.#flows.values()) {
      if (flow !== own) ahead += flow.countUntil(startTag);
    }
    return ahead;
  }

  /** The number of entries by workspace. */
  sizes(): Record<string, number> {
    return Object.fromEntries(
      [...this.#flows.values()].map(({ workspace, size }) => [workspace, size]),
    );
  }

  #flowOf(workspace: string): Flow {
    let flow = this.#flows.get(workspace);
    if (!flow) {
      flow = new Flow(workspace, this.startTagOf(workspace));
      this.#flows.set(workspace, flow);
      this.#charged.delete(workspace);
    }
    return flow;
  }

  #deactivate({ workspace, startTag }: Flow): void {
    this.#flows.delete(workspace);
    this.#remember(workspace, startTag);
  }

  #remember(workspace: string, startTag: number): void {
    if (startTag <= this.#virtualTokens) return;
    this.#charged.set(workspace, startTag);
    if (this.#charged.size > MAX_CHARGED) this.#forgetCharges();
  }

  // No workspace is ahead of the virtual time by more than one request, so clearing all charges distorts shares little.
  #forgetCharges(): void {
    for (const [workspace, startTag] of this.#charged) {
      if (startTag <= this.#virtualTokens) this.#charged.delete(workspace);
    }
    if (this.#charged.size > MAX_CHARGED / 2) this.#charged.clear();
  }
}

function insertHead(heads: Head[], head: Head, order: HeadOrder): void {
  let low = 0;
  let high = heads.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (order(heads[middle], head) < 0) low = middle + 1;
    else high = middle;
  }
  heads.splice(low, 0, head);
}
