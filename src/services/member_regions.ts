/**
 * Stores the topics of this VM's own region, and the news and contacts of other regions. Free of I/O.
 *
 * @module
 */

import type {
  ContactNews,
  MemberRecord,
  RegionContact,
  RegionNews,
  TopicNews,
} from "../agreement/mod.ts";
import { leadOrder } from "../agreement/mod.ts";
import type { TopicValue, VmInfo } from "./messages.ts";

/** The number of VMs that a region names as contacts to another. */
const MAX_CONTACTS = 3;
/** The largest size of the topics in a region's digest, in bytes of JSON. Further topics are left out. */
const MAX_TOPIC_BYTES = 1000;
/** Unchanged contacts are sent again this often, for VMs that joined since and because they carry table versions. */
const CONTACTS_REPEAT_MS = 10_000;
/** A topic that was not published for this long is dropped: its publisher is gone. */
const TOPIC_TTL_MS = 15_000;
/**
 * The interval at which a region's news is gossiped to VMs that do not act on it. Each copy is traffic for every VM.
 */
const SPREAD_INTERVAL_MS = 5000;
/** A region with no news for this long is considered unreachable, and its VMs are not offered. */
const REGION_TTL_MS = 60_000;
/**
 * News is ordered by its publisher's wall clock. If that clock was ahead, all later news would be ignored; so an item
 * that was not updated for this long is replaced by any other.
 */
const MAX_CLOCK_SKEW_MS = 5000;

interface Seen<T> {
  readonly news: T;
  readonly seenAtMs: number;
}

/** Stores the topics of this region, and the news and contacts of other regions. */
export class RegionStore {
  readonly #region: string;
  readonly #topics = new Map<string, Seen<TopicNews>>();
  readonly #regions = new Map<string, Seen<RegionNews>>();
  readonly #contacts = new Map<string, Seen<ContactNews>>();
  readonly #spreadAtMs = new Map<string, number>();
  /** The contacts of this region that were last sent to each region. */
  readonly #sentContacts = new Map<string, { text: string; atMs: number }>();

  constructor(region: string) {
    this.#region = region;
  }

  /** Stores a topic's value. Returns whether it is newer than the stored one. */
  mergeTopic(news: TopicNews, nowMs: number): boolean {
    if (!isNewer(news, this.#topics.get(news.topic), nowMs)) return false;
    this.#topics.set(news.topic, { news, seenAtMs: nowMs });
    return true;
  }

  /** Stores another region's news. Returns whether it is newer than what is stored. */
  mergeRegion(news: RegionNews, nowMs: number): boolean {
    if (news.region === this.#region) return false;
    if (!isNewer(news, this.#regions.get(news.region), nowMs)) return false;
    this.#regions.set(news.region, { news, seenAtMs: nowMs });
    return true;
  }

  /** Returns whether the region's news is due to be gossiped, see {@link SPREAD_INTERVAL_MS}, and records it if so. */
  recordSpreadIfDue(region: string, nowMs: number): boolean {
    if (nowMs - (this.#spreadAtMs.get(region) ?? 0) < SPREAD_INTERVAL_MS) {
      return false;
    }
    this.#spreadAtMs.set(region, nowMs);
    return true;
  }

  /** The VMs that published topics within {@link TOPIC_TTL_MS}. */
  publishers(nowMs: number): Set<string> {
    const publishers = new Set<string>();
    for (const { news, seenAtMs } of this.#topics.values()) {
      if (nowMs - seenAtMs <= TOPIC_TTL_MS) publishers.add(news.vmId);
    }
    return publishers;
  }

  /** Stores another region's contacts. Returns whether they are newer than the stored ones. */
  mergeContacts(news: ContactNews, nowMs: number): boolean {
    if (news.region === this.#region) return false;
    if (!isNewer(news, this.#contacts.get(news.region), nowMs)) return false;
    this.#contacts.set(news.region, { news, seenAtMs: nowMs });
    return true;
  }

  /** This region's news. */
  news(nowMs: number): RegionNews {
    return {
      type: "region",
      region: this.#region,
      atMs: nowMs,
      topics: this.#boundedTopics(nowMs),
    };
  }

  /**
   * This region's contacts for the region `to`. Each region gets different VMs, so that no VM is the contact of all.
   */
  contacts(
    to: string,
    present: readonly MemberRecord[],
    versionOf: (vmId: string) => number,
    nowMs: number,
  ): ContactNews {
    const candidates = present.map((record) => ({
      id: record.id,
      state: record.leaving ? "leaving" as const : "live" as const,
      record,
    }));
    const contacts = leadOrder(`contact/${to}`, candidates)
      .slice(0, MAX_CONTACTS)
      .map(({ record }) => contactOf(record, versionOf(record.id)));
    return { type: "contacts", region: this.#region, atMs: nowMs, contacts };
  }

  /** Returns whether the contacts are due to be sent to the region `to`, and records them as sent if so. */
  recordContactsIfDue(
    to: string,
    { contacts }: ContactNews,
    nowMs: number,
  ): boolean {
    const last = this.#sentContacts.get(to);
    const text = contacts.map(({ id, incarnation }) => `${id}/${incarnation}`)
      .join();
    if (last?.text === text && nowMs - last.atMs < CONTACTS_REPEAT_MS) {
      return false;
    }
    this.#sentContacts.set(to, { text, atMs: nowMs });
    return true;
  }

  /** Forgets the contacts that were sent to `to`, since the digest did not arrive and they must be sent again. */
  forgetSentContacts(to: string): void {
    this.#sentContacts.delete(to);
  }

  /** The contacts of all other regions. */
  allContacts(): ContactNews[] {
    return [...this.#contacts.values()].map(({ news }) => news);
  }

  /** All known regions, reachable or not. */
  knownRegions(): string[] {
    return [...new Set([...this.#regions.keys(), ...this.#contacts.keys()])];
  }

  /** The addresses of another region's contacts, as last received. */
  addresses(region: string): string[] {
    const contacts = this.#contacts.get(region)?.news.contacts ?? [];
    return contacts.map((contact) => contact.peerAddress);
  }

  /** The contacts of the other regions that sent news within {@link REGION_TTL_MS}. */
  others(nowMs: number): Map<string, VmInfo[]> {
    const others = new Map<string, VmInfo[]>();
    for (const [region, { news, seenAtMs }] of this.#contacts) {
      const newsSeenAtMs = this.#regions.get(region)?.seenAtMs ?? seenAtMs;
      if (nowMs - Math.max(newsSeenAtMs, seenAtMs) > REGION_TTL_MS) continue;
      others.set(region, news.contacts.map((c) => vmInfoOf(region, c)));
    }
    return others;
  }

  /** The newest values of the topics, by region. */
  topics(nowMs: number): Map<string, TopicValue[]> {
    const topics = new Map<string, TopicValue[]>();
    topics.set(
      this.#region,
      [...this.#topics.values()]
        .filter(({ seenAtMs }) => nowMs - seenAtMs <= TOPIC_TTL_MS)
        .map(({ news, seenAtMs }) => topicValueOf(news, seenAtMs)),
    );
    for (const [region, { news, seenAtMs }] of this.#regions) {
      topics.set(
        region,
        news.topics.map((topic) => topicValueOf(topic, seenAtMs)),
      );
    }
    return topics;
  }

  dump(nowMs: number): unknown {
    const regions: Record<string, unknown> = {};
    for (const [region, { news, seenAtMs }] of this.#regions) {
      const contacts = this.#contacts.get(region)?.news.contacts ?? [];
      regions[region] = {
        ageMs: nowMs - seenAtMs,
        contacts: contacts.map((contact) => contact.id),
        topics: news.topics.length,
      };
    }
    return { topics: [...this.#topics.keys()], regions };
  }

  #boundedTopics(nowMs: number): TopicNews[] {
    const topics: TopicNews[] = [];
    let bytes = 0;
    for (const [name, { news, seenAtMs }] of this.#topics) {
      if (nowMs - seenAtMs > TOPIC_TTL_MS) {
        this.#topics.delete(name);
        continue;
      }
      bytes += JSON.stringify(news).length;
      if (bytes > MAX_TOPIC_BYTES) break;
      topics.push(news);
    }
    return topics;
  }
}

function isNewer(
  news: { readonly atMs: number },
  seen: Seen<{ readonly atMs: number }> | undefined,
  nowMs: number,
): boolean {
  if (!seen || news.atMs > seen.news.atMs) return true;
  return news.atMs < seen.news.atMs &&
    nowMs - seen.seenAtMs > MAX_CLOCK_SKEW_MS;
}

function contactOf(record: MemberRecord, tableVersion: number): RegionContact {
  const { id, incarnation, failureDomain, peerAddress, callerUrl } = record;
  return {
    id,
    incarnation,
    failureDomain,
    peerAddress,
    callerUrl,
    tableVersion,
  };
}

function vmInfoOf(region: string, contact: RegionContact): VmInfo {
  return { ...contact, region, state: "live" };
}

function topicValueOf(news: TopicNews, seenAtMs: number): TopicValue {
  const { topic, vmId, body } = news;
  return { topic, vmId, body, seenAtMs };
}
