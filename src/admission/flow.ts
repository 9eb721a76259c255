/**
 * The waiting entries of one workspace in one class.
 *
 * @module
 */

import { compareEntries, endOf, type Entry } from "./waiting_request.ts";

/** The entries of a workspace by due time, and the virtual time at which the next of them starts. */
export class Flow {
  readonly workspace: string;
  /** Tokens that the workspace was served, on the scale of its class's virtual time. */
  startTag: number;
  // A sorted array, unlike a heap, tells how many entries precede another without a visit to each.
  readonly #entries: Entry[] = [];
  #tokens = 0;

  constructor(workspace: string, startTag: number) {
    this.workspace = workspace;
    this.startTag = startTag;
  }

  get size(): number {
    return this.#entries.length;
  }
  /** Mean cost of its entries. It must have one. */
  get meanTokens(): number {
    return this.#tokens / this.#entries.length;
  }

  add(entry: Entry): void {
    this.#entries.splice(this.countBefore(entry), 0, entry);
    this.#tokens += entry.costTokens;
  }

  /** Removes an entry, which it must have. */
  remove(entry: Entry): void {
    this.#entries.splice(this.countBefore(entry), 1);
    this.#tokens -= entry.costTokens;
  }

  /** The first entry that has not ended. */
  head(nowMs: number): Entry | undefined {
    const [first] = this.#entries;
    if (endOf(first) > nowMs) return first;
    return this.#entries.find((entry) => endOf(entry) > nowMs);
  }

  /** How many of its entries precede this one, which need not be among them. */
  countBefore(entry: Entry): number {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (compareEntries(this.#entries[middle], entry) < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** How many of its entries start before a virtual time, if each costs as much as the mean. */
  countUntil(tag: number): number {
    if (tag <= this.startTag) return 0;
    return Math.min(
      this.size,
      Math.ceil((tag - this.startTag) / this.meanTokens),
    );
  }
}
