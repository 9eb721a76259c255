/**
 * Entries by a time at which something is due for them.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import type { Entry } from "./waiting_request.ts";

/** Entries that have left the queue and may stay in the heap, beyond as many as are queued, before it is rebuilt. */
const REMOVED_SLACK = 64;

interface Item {
  readonly entry: Entry;
  readonly atMs: number;
}

const byTime = (a: Item, b: Item) => a.atMs - b.atMs;

/** A heap of entries. Those that have left the queue are dropped when they come to the top. */
export class EntryHeap {
  #items = new TinyQueue<Item>([], byTime);

  /** Number of items, those of entries that have left the queue included. */
  get size(): number {
    return this.#items.length;
  }

  /** Adds an entry. `queued` is the number of entries in the queue, which bounds the heap. */
  push(entry: Entry, atMs: number, queued: number): void {
    this.#items.push({ entry, atMs });
    if (this.#items.length > 2 * queued + REMOVED_SLACK) this.#rebuild();
  }

  /** Takes out an entry whose time has come and that is still queued. */
  popDue(nowMs: number): Entry | undefined {
    for (;;) {
      const item = this.#items.peek();
      if (!item || item.atMs > nowMs) return undefined;
      this.#items.pop();
      if (item.entry.isQueued) return item.entry;
    }
  }

  #rebuild(): void {
    const queued = this.#items.data.filter(({ entry }) => entry.isQueued);
    this.#items = new TinyQueue(queued, byTime);
  }
}
