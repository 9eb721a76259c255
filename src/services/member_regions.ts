/**
 * What this VM knows of topics in its own region and of other regions. Free of I/O.
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

/** VMs that a region names to another. */
const MAX_CONTACTS = 3;
/** A region's news is cut to this, in bytes of JSON of its topics. */
const MAX_TOPIC_BYTES = 1000;
/** Unchanged contacts are told again this often: for VMs that came since, and for the table versions in them. */
const CONTACTS_REPEAT_MS = 10_000;
/** A topic that nobody renewed for this long is dropped: its publisher is gone. */
const TOPIC_TTL_MS = 15_000;
/** Those who do not act on a region's topics hear them no more often: each copy costs every VM bytes. */
const SPREAD_INTERVAL_MS = 5000;
/** A region that was not heard of for this long is out of reach; its VMs are not offered. */
const REGION_TTL_MS = 60_000;
/**
 * News counts as newer by its publisher's wall clock. Should that have been ahead, nothing after it would count; so what
 * was not renewed for this long gives way to anything.
 */
const MAX_CLOCK_SKEW_MS = 5000;

interface Seen<T> {
  readonly news: T;
  readonly seenAtMs: number;
}

/** See the module's comment. */
export class RegionStore {
  readonly #region: string;
  readonly #topics = new Map<string, Seen<TopicNews>>();
  readonly #regions = new Map<string, Seen<RegionNews>>();
  readonly #contacts = new Map<string, Seen<ContactNews>>();
  readonly #spreadAtMs = new Map<string, number>();
  /** What each region was last told of this one's contacts. */
  readonly #sentContacts = new Map<string, { text: string; atMs: number }>();

  constructor(region: string) {
    this.#region = region;
  }

  /** Takes a topic's value; answers whether it is newer than the one here. */
  mergeTopic(news: TopicNews, nowMs: number): boolean {
    if (!isNewer(news, this.#topics.get(news.topic), nowMs)) return false;
    this.#topics.set(news.topic, { news, seenAtMs: nowMs });
    return true;
  }

  /** Takes another region's news; answers whether it is newer than what is here. */
  mergeRegion(news: RegionNews, nowMs: number): boolean {
    if (news.region === this.#region) return false;
    if (!isNewer(news, this.#regions.get(news.region), nowMs)) return false;
    this.#regions.set(news.region, { news, seenAtMs: nowMs });
    return true;
  }

  /** Whether news of this region is due to be passed on to all; see {@link SPREAD_INTERVAL_MS}. */
  recordSpreadIfDue(region: string, nowMs: number): boolean {
    if (nowMs - (this.#spreadAtMs.get(region) ?? 0) < SPREAD_INTERVAL_MS) {
      return false;
    }
    this.#spreadAtMs.set(region, nowMs);
    return true;
  }

  /** The VMs that published topics lately. */
  publishers(nowMs: number): Set<string> {
    const publishers = new Set<string>();
    for (const { news, seenAtMs } of this.#topics.values()) {
      if (nowMs - seenAtMs <= TOPIC_TTL_MS) publishers.add(news.vmId);
    }
    return publishers;
  }

  /** Takes another region's contacts; answers whether they are newer than those here. */
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

  /** This region's contacts for the region `to`; each is named other VMs, so that no VM is every region's contact. */
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

  /** Whether the region `to` is due these contacts. */
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

  /** A digest did not arrive: what it told must be told again. */
  forgetSentContacts(to: string): void {
    this.#sentContacts.delete(to);
  }

  /** The contacts of all other regions. */
  allContacts(): ContactNews[] {
    return [...this.#contacts.values()].map(({ news }) => news);
  }

  /** The regions known, out of reach or not. */
  knownRegions(): string[] {
    return [...new Set([...this.#regions.keys(), ...this.#contacts.keys()])];
  }

  /** Addresses of VMs of another region, as it last named them. */
  addresses(region: string): string[] {
    const contacts = this.#contacts.get(region)?.news.contacts ?? [];
    return contacts.map((contact) => contact.peerAddress);
  }

  /** VMs of the regions that were heard of lately. */
  others(nowMs: number): Map<string, VmInfo[]> {
    const others = new Map<string, VmInfo[]>();
    for (const [region, { news, seenAtMs }] of this.#contacts) {
      const heardMs = this.#regions.get(region)?.seenAtMs ?? seenAtMs;
      if (nowMs - Math.max(heardMs, seenAtMs) > REGION_TTL_MS) continue;
      others.set(region, news.contacts.map((c) => vmInfoOf(region, c)));
    }
    return others;
  }

  /** The newest topics by region. */
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
