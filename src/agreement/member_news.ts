/**
 * News that VMs pass on with their heartbeats. Each item is sent a bounded number of times, newest first. Items other
 * than member records also share a byte rate, so that the cost of a VM does not grow with the number of VMs.
 *
 * @module
 */

import type { MemberRecord } from "./member_record.ts";

/** A value that a VM published for its region. */
export interface TopicNews {
  readonly type: "topic";
  readonly topic: string;
  readonly vmId: string;
  /** Wall-clock time at the publisher. The newer value of a topic replaces the older. */
  readonly atMs: number;
  readonly body: unknown;
}

/** A region's topics, as it sends them to another region. */
export interface RegionNews {
  readonly type: "region";
  readonly region: string;
  readonly atMs: number;
  readonly topics: readonly TopicNews[];
}

/** Some VMs by which a region can be reached. Separate from {@link RegionNews}, as it changes rarely and is larger. */
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

/** Any item that VMs pass on. */
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

/** Token bucket shared by topics, regions and contacts: refill rate and burst. */
const RATE_BYTES_PER_S = 300;
const BURST_BYTES = 2000;
/**
 * Maximum number of member records in one message. A few messages are enough to announce a region that starts or loses
 * half of its VMs.
 */
const MAX_MEMBER_ITEMS = 24;

/** The items to pass on. */
export class NewsQueue {
  readonly #queued = new Map<string, QueuedItem>();
  #availableBytes = BURST_BYTES;
  #refilledAtMs: number | undefined;

  /** Queues this item in place of an older one about the same subject. */
  add(item: NewsItem): void {
    const key = keyOf(item);
    this.#queued.delete(key);
    const bytes = JSON.stringify(item).length;
    this.#queued.set(key, { item, bytes, sends: 0 });
  }

  /** Returns the items for the next message in a region of `vmCount` VMs. */
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

  /** Returns the number of queued items, and how many of them are member records. */
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
