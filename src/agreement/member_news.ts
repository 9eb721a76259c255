/**
 * News that VMs pass on with their heartbeats. Each item is sent a bounded number of times, newest first, and all but
 * statements about VMs within a byte rate, so that the cost of a VM does not grow with the fleet.
 *
 * @module
 */

import type { MemberRecord } from "./member_record.ts";

/** A value that a VM published for its region. */
export interface TopicNews {
  readonly type: "topic";
  readonly topic: string;
  readonly vmId: string;
  /** The publisher's wall clock; the newer value of a topic wins. */
  readonly atMs: number;
  readonly body: unknown;
}

/** What a region tells another of its topics. */
export interface RegionNews {
  readonly type: "region";
  readonly region: string;
  readonly atMs: number;
  readonly topics: readonly TopicNews[];
}

/** Some VMs to reach a region by. Apart from {@link RegionNews}, as it changes seldom and is larger. */
export interface ContactNews {
  readonly type: "contacts";
  readonly region: string;
  readonly atMs: number;
  readonly contacts: readonly RegionContact[];
}

/** A VM of another region. */
export interface RegionContact {
  readonly id: string;
  readonly incarnation: number;
  readonly failureDomain: string;
  readonly peerAddress: string;
  readonly callerUrl: string;
  readonly tableVersion: number;
}

/** Anything that is passed on. */
export type NewsItem =
  | { readonly type: "member"; readonly record: MemberRecord }
  | TopicNews
  | RegionNews
  | ContactNews;

interface QueuedItem {
  readonly item: NewsItem;
  readonly bytes: number;
  sends: number;
}

/** Bytes per second for topics and regions together, and the burst they may make. */
const RATE_BYTES_PER_S = 300;
const BURST_BYTES = 2000;
/** Most statements about VMs in one message: a region that starts, or loses half, is told in a few messages. */
const MAX_MEMBER_ITEMS = 24;

/** Items that wait to be passed on. */
export class NewsQueue {
  readonly #queued = new Map<string, QueuedItem>();
  #availableBytes = BURST_BYTES;
  #refilledAtMs: number | undefined;

  /** Passes this item on, in place of an older one about the same thing. */
  add(item: NewsItem): void {
    const key = keyOf(item);
    this.#queued.delete(key);
    const bytes = JSON.stringify(item).length;
    this.#queued.set(key, { item, bytes, sends: 0 });
  }

  /** The items for the next message to one of `vms` VMs. */
  take(vmCount: number, nowMs: number): NewsItem[] {
    this.#refill(nowMs);
    const rounds = Math.ceil(Math.log2(vmCount + 1));
    const queued = [...this.#queued].sort(([, a], [, b]) => a.sends - b.sends);
    const items: NewsItem[] = [];
    let members = 0;
    for (const [key, entry] of queued) {
      const isMember = entry.item.type === "member";
      if (isMember && members >= MAX_MEMBER_ITEMS) continue;
      if (!isMember && this.#availableBytes <= 0) continue;
      if (isMember) members++;
      else this.#availableBytes -= entry.bytes;
      items.push(entry.item);
      entry.sends++;
      if (entry.sends >= (isMember ? 2 * rounds : rounds + 1)) {
        this.#queued.delete(key);
      }
    }
    return items;
  }

  /** How many items wait, and how many of them are statements about VMs. */
  counts(): { readonly all: number; readonly members: number } {
    let members = 0;
    for (const { item } of this.#queued.values()) {
      if (item.type === "member") members++;
    }
    return { all: this.#queued.size, members };
  }

  #refill(nowMs: number): void {
    const elapsedMs = nowMs - (this.#refilledAtMs ?? nowMs);
    this.#refilledAtMs = nowMs;
    const addedBytes = Math.max(0, elapsedMs) * RATE_BYTES_PER_S / 1000;
    this.#availableBytes = Math.min(
      BURST_BYTES,
      this.#availableBytes + addedBytes,
    );
  }
}

function keyOf(item: NewsItem): string {
  switch (item.type) {
    case "member":
      return `vm/${item.record.id}`;
    case "topic":
      return `topic/${item.topic}`;
    case "region":
    case "contacts":
      return `${item.type}/${item.region}`;
  }
}
