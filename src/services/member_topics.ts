/**
 * The topics of one region as a VM knows them: small values, each published by one VM for all. Free of I/O.
 *
 * @module
 */

import {
  MAX_TOPIC_AGE_MS,
  publishedAtMs,
  type RegionTopic,
  type TopicNews,
  withAge,
} from "../agreement/mod.ts";

/** A topic of which this or a newer value did not arrive for this long has ended: its publisher is gone or has stopped. */
export const TOPIC_TTL_MS = 15_000;
/** Ended topics are remembered until no copy is passed on any more, so that none brings them back. */
export const MAX_REMEMBERED_MS = MAX_TOPIC_AGE_MS + TOPIC_TTL_MS;

/** A topic's value. Times are by this VM's clock. */
export interface HeldTopic {
  readonly news: TopicNews;
  readonly publishedAtMs: number;
  /** When the value, or the latest copy of it, arrived; of another region's topic, when that region sent it. */
  readonly seenAtMs: number;
}

/** Stores the newest value of each topic. */
export class TopicStore {
  readonly #held = new Map<string, HeldTopic>();
  readonly #ttlMs: number;
  /** The last topic that was sent to each region. */
  readonly #lastSent = new Map<string, string>();

  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  /** Stores a topic's value that was seen at `seenAtMs`. Returns whether it is newer than the stored one. */
  merge(news: TopicNews, nowMs: number, seenAtMs = nowMs): boolean {
    if ((news.ageMs ?? 0) > MAX_TOPIC_AGE_MS) return false;
    const topic = {
      news,
      publishedAtMs: publishedAtMs(news, nowMs),
      seenAtMs,
    };
    const held = this.#get(news.topic, nowMs);
    if (held && isCopy(topic, held)) {
      const lastSeenAtMs = Math.max(held.seenAtMs, seenAtMs);
      this.#held.set(news.topic, { ...held, seenAtMs: lastSeenAtMs });
      return false;
    }
    if (held && !isNewer(topic, held)) return false;
    this.#held.set(news.topic, topic);
    return true;
  }

  /**
   * Returns the `atMs` of a value that `vmId` publishes now. It is above that of all its values known here, also if its
   * clock went back since.
   */
  nextAtMs(topic: string, vmId: string, nowMs: number): number {
    const held = this.#held.get(topic)?.news;
    return held?.vmId === vmId ? Math.max(nowMs, held.atMs + 1) : nowMs;
  }

  /** Returns the topics that have not ended. */
  current(nowMs: number): HeldTopic[] {
    return [...this.#held.keys()]
      .flatMap((name) => this.#get(name, nowMs) ?? [])
      .filter(({ seenAtMs }) => nowMs - seenAtMs <= this.#ttlMs);
  }

  /**
   * Returns topics of at most `maxBytes` of JSON for the region `to`, each in its turn. One that does not fit alone is
   * left out.
   */
  nextTopics(to: string, maxBytes: number, nowMs: number): RegionTopic[] {
    const topics: RegionTopic[] = [];
    let bytes = 0;
    for (const held of this.#inTurn(to, nowMs)) {
      const topic = topicToSend(held, nowMs);
      const topicBytes = JSON.stringify(topic).length;
      if (topicBytes > maxBytes) continue;
      bytes += topicBytes;
      if (bytes > maxBytes) break;
      topics.push(topic);
      this.#lastSent.set(to, topic.topic);
    }
    return topics;
  }

  /** The topics by name, from the one after the last that was sent to the region `to`. */
  #inTurn(to: string, nowMs: number): HeldTopic[] {
    const lastSent = this.#lastSent.get(to) ?? "";
    const topics = this.current(nowMs)
      .sort((a, b) => a.news.topic < b.news.topic ? -1 : 1);
    const after = topics.filter(({ news }) => news.topic > lastSent);
    const before = topics.filter(({ news }) => news.topic <= lastSent);
    return [...after, ...before];
  }

  /** Returns the topic unless it is forgotten. If this VM's clock went back, its time is counted from now on. */
  #get(name: string, nowMs: number): HeldTopic | undefined {
    const held = this.#held.get(name);
    if (!held) return undefined;
    if (nowMs - held.publishedAtMs > MAX_REMEMBERED_MS) {
      this.#held.delete(name);
      return undefined;
    }
    if (held.seenAtMs <= nowMs) return held;
    const publishedAtMs = Math.min(held.publishedAtMs, nowMs);
    const counted = { ...held, publishedAtMs, seenAtMs: nowMs };
    this.#held.set(name, counted);
    return counted;
  }
}

/** Returns the topic's value with its age, for a digest. */
function topicToSend(
  { news, publishedAtMs }: HeldTopic,
  nowMs: number,
): RegionTopic {
  const { type: _, ...topic } = withAge(news, publishedAtMs, nowMs);
  return topic;
}

function isCopy(a: HeldTopic, held: HeldTopic): boolean {
  return a.news.vmId === held.news.vmId && a.news.atMs === held.news.atMs;
}

/**
 * One VM's values are ordered by its `atMs`, unless it went on publishing for {@link TOPIC_TTL_MS} in vain: then it was
 * restarted and its clock went back. Those of two VMs, whose clocks may differ, are ordered by their age; what is
 * published just now is newer than all that is held.
 */
function isNewer(a: HeldTopic, held: HeldTopic): boolean {
  const laterMs = a.publishedAtMs - held.publishedAtMs;
  if (a.news.vmId === held.news.vmId) {
    return a.news.atMs > held.news.atMs || laterMs > TOPIC_TTL_MS;
  }
  return laterMs > 0 || (a.news.ageMs ?? 0) === 0;
}
