/**
 * News that VMs pass on with their heartbeats. Each item is sent a bounded number of times, newest first. Items other
 * than member records also share a byte rate, so that the cost of a VM does not grow with the number of VMs.
 *
 * @module
 */

import type { MemberRecord } from "./member_record.ts";

/**
 * News that ages while it is passed on. The age does not depend on any VM's time of day, so that a copy that waited
 * long is not taken for a new value.
 */
export interface AgingNews {
  /** Wall-clock time at the publisher. */
  readonly atMs: number;
  /** The time since the publication, as counted by the VMs that held this item. Absent if it is published just now. */
  readonly ageMs?: number;
}

/** A value that a VM published for its region. A newer value of the same VM has a higher `atMs`. */
export interface TopicNews extends AgingNews {
  readonly type: "topic";
  readonly topic: string;
  readonly vmId: string;
  readonly body: unknown;
}

/** A topic in a digest, in which all items are topics. */
export type RegionTopic = Omit<TopicNews, "type">;

/** A region's topics, as it sends them to another region. */
export interface RegionNews extends AgingNews {
  readonly type: "region";
  readonly region: string;
  readonly topics: readonly RegionTopic[];
}

/** Some VMs by which a region can be reached. Separate from {@link RegionNews}, as it changes rarely and is larger. */
export interface ContactNews extends AgingNews {
  readonly type: "contacts";
  readonly region: string;
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

/** A member record as an item. It has an order of its own and does not age. */
export interface MemberNews {
  readonly type: "member";
  readonly record: MemberRecord;
}

/** Items that age while they are passed on. */
export type AgingItem = TopicNews | RegionNews | ContactNews;

/** Any item that VMs pass on. */
export type NewsItem = MemberNews | AgingItem;

interface QueuedItem {
  readonly item: NewsItem;
  /** When the item was published, by this VM's clock. */
  readonly publishedAtMs: number;
  sends: number;
}

/** Topics are passed on for this long. It must do for a large region with many topics, as the byte rate is bounded. */
export const MAX_TOPIC_AGE_MS = 30_000;
/** A region with no news for this long is considered unreachable. */
export const REGION_TTL_MS = 60_000;
/** Items older than this are not passed on. */
const MAX_AGE_MS: Record<AgingItem["type"], number> = {
  topic: MAX_TOPIC_AGE_MS,
  region: REGION_TTL_MS,
  contacts: REGION_TTL_MS,
};

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

  /** Queues a member record in place of an older one of the same VM. */
  addMember(record: MemberRecord): void {
    this.#put({ type: "member", record }, 0);
  }

  /** Queues this item in place of an older one about the same subject. */
  add(item: AgingItem, nowMs: number): void {
    this.#put(item, publishedAtMs(item, nowMs));
  }

  /** Returns the items for the next message in a region of `vmCount` VMs. */
  take(vmCount: number, nowMs: number): NewsItem[] {
    this.#refill(nowMs);
    const rounds = Math.ceil(Math.log2(vmCount + 1));
    const queued = [...this.#queued].sort(([, a], [, b]) => a.sends - b.sends);
    const items: NewsItem[] = [];
    let members = 0;
    for (const [key, entry] of queued) {
      if (!canBeSent(entry, nowMs)) {
        this.#queued.delete(key);
        continue;
      }
      const isMember = entry.item.type === "member";
      if (isMember && members >= MAX_MEMBER_ITEMS) continue;
      if (!isMember && this.#availableBytes <= 0) continue;
      const item = itemToSend(entry, nowMs);
      if (isMember) members++;
      else this.#availableBytes -= JSON.stringify(item).length;
      items.push(item);
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

  #put(item: NewsItem, publishedAtMs: number): void {
    const key = keyOf(item);
    this.#queued.delete(key);
    this.#queued.set(key, { item, publishedAtMs, sends: 0 });
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

/** Returns when this item was published, by the clock of the VM that received it at `nowMs`. */
export function publishedAtMs(news: AgingNews, nowMs: number): number {
  return nowMs - (news.ageMs ?? 0);
}

/** Returns the item with the age that it has at `nowMs`. */
export function withAge<T extends AgingNews>(
  news: T,
  publishedAtMs: number,
  nowMs: number,
): T {
  const ageMs = Math.max(news.ageMs ?? 0, Math.round(nowMs - publishedAtMs));
  return ageMs > 0 ? { ...news, ageMs } : news;
}

/** Whether the item is young enough. If this VM's clock went back, the age of older items is not known any more. */
function canBeSent(
  { item, publishedAtMs }: QueuedItem,
  nowMs: number,
): boolean {
  if (item.type === "member") return true;
  const ageMs = nowMs - publishedAtMs;
  return ageMs >= 0 && ageMs <= MAX_AGE_MS[item.type];
}

function itemToSend(
  { item, publishedAtMs }: QueuedItem,
  nowMs: number,
): NewsItem {
  return item.type === "member" ? item : withAge(item, publishedAtMs, nowMs);
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
