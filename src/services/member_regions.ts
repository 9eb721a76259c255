/**
 * Stores the topics of this VM's own region, and the news and contacts of other regions. Free of I/O.
 *
 * @module
 */

import type {
  AgingNews,
  ContactNews,
  MemberRecord,
  RegionContact,
  RegionNews,
  TopicNews,
} from "../agreement/mod.ts";
import {
  leadOrder,
  publishedAtMs,
  REGION_TTL_MS,
  withAge,
} from "../agreement/mod.ts";
import {
  MAX_REMEMBERED_MS,
  TOPIC_TTL_MS,
  TopicStore,
} from "./member_topics.ts";
import type { TopicValue, VmInfo } from "./messages.ts";

/** The number of VMs that a region names as contacts to another. */
const MAX_CONTACTS = 3;
/** The largest size of the topics in a region's digest, in bytes of JSON. Further topics wait for their turn. */
const MAX_TOPIC_BYTES = 1000;
/** Unchanged contacts are sent again this often, for VMs that joined since and because they carry table versions. */
const CONTACTS_REPEAT_MS = 10_000;
/**
 * The interval at which a region's news is gossiped to VMs that do not act on it. Each copy is traffic for every VM.
 */
const SPREAD_INTERVAL_MS = 5000;
/**
 * A region's news is ordered by the wall clock of the VM that sent it. If that clock was ahead, the news of the next
 * sender would be ignored; so news that was published this much later is newer whatever the clocks say.
 */
const MAX_CLOCK_SKEW_MS = 5000;

interface Held<T extends AgingNews> {
  readonly news: T;
  /** When it was published, by this VM's clock. */
  readonly publishedAtMs: number;
}

/** Stores the topics of this region, and the news and contacts of other regions. */
export class RegionStore {
  readonly #region: string;
  readonly #topics = new TopicStore(TOPIC_TTL_MS);
  /** The topics of the other regions. A digest holds a part of them. */
  readonly #regionTopics = new Map<string, TopicStore>();
  readonly #regions = new Map<string, Held<RegionNews>>();
  readonly #contacts = new Map<string, Held<ContactNews>>();
  readonly #spreadAtMs = new Map<string, number>();
  /** The contacts of this region that were last sent to each region. */
  readonly #sentContacts = new Map<string, { text: string; atMs: number }>();

  constructor(region: string) {
    this.#region = region;
  }

  /** Stores a topic's value. Returns whether it is newer than the stored one. */
  mergeTopic(news: TopicNews, nowMs: number): boolean {
    return this.#topics.merge(news, nowMs);
  }

  /** Returns the `atMs` of a value that `vmId` publishes now, see {@link TopicStore.nextAtMs}. */
  nextAtMs(topic: string, vmId: string, nowMs: number): number {
    return this.#topics.nextAtMs(topic, vmId, nowMs);
  }

  /** Stores another region's news. Returns whether it is newer than what is stored. */
  mergeRegion(news: RegionNews, nowMs: number): boolean {
    if (news.region === this.#region) return false;
    this.#mergeRegionTopics(news, nowMs);
    return mergeNewer(this.#regions, news, nowMs);
  }

  /** Returns whether the region's news is due to be gossiped, see {@link SPREAD_INTERVAL_MS}, and records it if so. */
  recordSpreadIfDue(region: string, nowMs: number): boolean {
    if (nowMs - (this.#spreadAtMs.get(region) ?? 0) < SPREAD_INTERVAL_MS) {
      return false;
    }
    this.#spreadAtMs.set(region, nowMs);
    return true;
  }

  /** The VMs that publish topics. */
  publishers(nowMs: number): Set<string> {
    return new Set(this.#topics.current(nowMs).map(({ news }) => news.vmId));
  }

  /** Stores another region's contacts. Returns whether they are newer than the stored ones. */
  mergeContacts(news: ContactNews, nowMs: number): boolean {
    if (news.region === this.#region) return false;
    return mergeNewer(this.#contacts, news, nowMs);
  }

  /** This region's news for the region `to`. */
  news(to: string, nowMs: number): RegionNews {
    return {
      type: "region",
      region: this.#region,
      atMs: nowMs,
      topics: this.#topics.nextTopics(to, MAX_TOPIC_BYTES, nowMs),
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
  allContacts(nowMs: number): ContactNews[] {
    return [...this.#contacts.values()].map(({ news, publishedAtMs }) =>
      withAge(news, publishedAtMs, nowMs)
    );
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
    for (const [region, { news, publishedAtMs }] of this.#contacts) {
      const newsAtMs = this.#regions.get(region)?.publishedAtMs ?? 0;
      const lastAtMs = Math.max(newsAtMs, publishedAtMs);
      if (nowMs - lastAtMs > REGION_TTL_MS) continue;
      others.set(region, news.contacts.map((c) => vmInfoOf(region, c)));
    }
    return others;
  }

  /** The newest values of the topics, by region. */
  topics(nowMs: number): Map<string, TopicValue[]> {
    const topics = new Map<string, TopicValue[]>();
    topics.set(
      this.#region,
      this.#topics.current(nowMs).map(({ news, seenAtMs }) =>
        topicValueOf(news, seenAtMs)
      ),
    );
    for (const [region, store] of this.#regionTopics) {
      topics.set(
        region,
        store.current(nowMs).map(({ news, seenAtMs }) =>
          topicValueOf(news, seenAtMs)
        ),
      );
    }
    return topics;
  }

  dump(nowMs: number): unknown {
    const regions: Record<string, unknown> = {};
    for (const [region, { publishedAtMs }] of this.#regions) {
      const contacts = this.#contacts.get(region)?.news.contacts ?? [];
      regions[region] = {
        ageMs: nowMs - publishedAtMs,
        contacts: contacts.map((contact) => contact.id),
        topics: this.#regionTopics.get(region)?.current(nowMs).length,
      };
    }
    const topics = this.#topics.current(nowMs).map(({ news }) => news.topic);
    return { topics, regions };
  }

  /** Stores the topics of another region's digest, which the next one may have overtaken. */
  #mergeRegionTopics(news: RegionNews, nowMs: number): void {
    const store = this.#regionTopics.get(news.region) ??
      new TopicStore(MAX_REMEMBERED_MS);
    this.#regionTopics.set(news.region, store);
    const seenAtMs = publishedAtMs(news, nowMs);
    for (const topic of news.topics) {
      const ageMs = (topic.ageMs ?? 0) + (news.ageMs ?? 0);
      store.merge({ ...topic, type: "topic", ageMs }, nowMs, seenAtMs);
    }
  }
}

/** Stores the news in place of older news of its region. Returns whether it is newer. */
function mergeNewer<T extends RegionNews | ContactNews>(
  held: Map<string, Held<T>>,
  news: T,
  nowMs: number,
): boolean {
  const received = { news, publishedAtMs: publishedAtMs(news, nowMs) };
  const known = held.get(news.region);
  if (known && !isNewer(received, known, nowMs)) return false;
  held.set(news.region, received);
  return true;
}

function isNewer(
  a: Held<AgingNews>,
  held: Held<AgingNews>,
  nowMs: number,
): boolean {
  // Nothing was published in the future, unless this VM's clock went back.
  const laterMs = a.publishedAtMs - Math.min(held.publishedAtMs, nowMs);
  if (Math.abs(laterMs) > MAX_CLOCK_SKEW_MS) return laterMs > 0;
  return a.news.atMs > held.news.atMs;
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
