/**
 * What VMs and regions tell each other beside who is alive: topics, digests between regions, contacts.
 *
 * @module
 */

import type { Transport } from "../adapters/mod.ts";
import {
  type ContactNews,
  leadOrder,
  type MemberRecord,
  type Members,
  type NewsItem,
  type TopicNews,
} from "../agreement/mod.ts";
import type { Clock, Random } from "../base/mod.ts";
import type { RegionMessage } from "./member_messages.ts";
import { RegionBook } from "./member_regions.ts";

/** What {@link MemberDigests} needs of its task. */
export interface DigestContext {
  readonly region: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly machine: Members;
  /** Addresses of VMs by region, from the platform's lagging list. */
  readonly listed: ReadonlyMap<string, readonly string[]>;
  readonly seeds: readonly string[];
  /** Asks the VM at this address for its region's contacts. */
  readonly sync: (address: string) => Promise<unknown>;
}

const REGION_CALL_MS = 1500;
/** How often another region is told; with more regions than this, less often, so that the cost stays flat. */
const REGION_PERIOD_MS = 1000;
const REGIONS_PER_PERIOD = 6;
/** A topic is told to this many speakers at once, to be in the next digest; the others hear it with the heartbeats. */
const TOLD_SPEAKERS = 4;

/** See the module's comment. */
export class MemberDigests {
  readonly book: RegionBook;
  readonly #context: DigestContext;
  #nextTellMs = 0;

  constructor(context: DigestContext) {
    this.#context = context;
    this.book = new RegionBook(context.region);
  }

  /** Registers the messages that other VMs send. */
  listen(): void {
    const { transport, region } = this.#context;
    transport.handle("members.topic", (p) => this.hear(p as TopicNews));
    transport.handle("members.region", (params, from) => {
      const digest = params as RegionMessage;
      this.hearDigest(digest);
      if (from.region !== region) this.#passOn(digest);
    });
  }

  /** Takes an item that came with a heartbeat; statements about VMs are not its business. */
  hear(item: NewsItem): void {
    const { clock, machine } = this.#context;
    if (item.type === "topic") {
      if (this.book.hearTopic(item, clock.nowMs())) machine.spread(item);
    } else if (item.type === "region") this.hearDigest({ news: item });
    else if (item.type === "contacts") this.hearContacts(item);
  }

  hearDigest({ news, contacts }: RegionMessage): void {
    const nowMs = this.#context.clock.nowMs();
    const isNews = this.book.hearRegion(news, nowMs);
    if (isNews && this.book.spreads(news.region, nowMs)) {
      this.#context.machine.spread(news);
    }
    if (contacts) this.hearContacts(contacts);
  }

  hearContacts(contacts: ContactNews): void {
    const isNews = this.book.hearContacts(
      contacts,
      this.#context.clock.nowMs(),
    );
    if (isNews) this.#context.machine.spread(contacts);
  }

  /** Tells a topic's value to the speakers at once, to all with the heartbeats. */
  publish(topic: string, body: unknown): void {
    const { clock, machine, transport } = this.#context;
    const nowMs = clock.nowMs();
    const vmId = machine.self.id;
    const news = { type: "topic", topic, vmId, atMs: nowMs, body } as const;
    if (!this.book.hearTopic(news, nowMs)) return;
    machine.spread(news);
    const speakers = new Map<string, MemberRecord>();
    for (const region of this.#regions()) {
      const speaker = this.#speaker(region);
      if (speaker.id !== vmId) speakers.set(speaker.id, speaker);
    }
    for (
      const { peerAddress } of [...speakers.values()].slice(0, TOLD_SPEAKERS)
    ) {
      transport.notify(peerAddress, "members.topic", news);
    }
  }

  /** What this region tells `region`. */
  digestFor(region: string): Required<RegionMessage> {
    const { clock, machine } = this.#context;
    const nowMs = clock.nowMs();
    const contacts = this.book.contacts(
      region,
      machine.present(),
      (vmId) => machine.tableVersionOf(vmId),
      nowMs,
    );
    return { news: this.book.news(nowMs), contacts };
  }

  /** Tells those regions that this VM speaks to, when they are due. */
  tellRegions(): void {
    const { clock, machine } = this.#context;
    const nowMs = clock.nowMs();
    if (nowMs < this.#nextTellMs) return;
    const regions = this.#regions();
    const periods = Math.ceil(regions.length / REGIONS_PER_PERIOD);
    this.#nextTellMs = nowMs + REGION_PERIOD_MS * Math.max(1, periods);
    for (const region of regions) {
      const speaks = this.#speaker(region).id === machine.self.id;
      if (speaks) void this.#tell(region);
    }
  }

  #regions(): string[] {
    const { listed, region } = this.#context;
    const regions = new Set([...this.book.regions(), ...listed.keys()]);
    regions.delete(region);
    return [...regions];
  }

  /** Each pair of regions has one VM that speaks, chosen by hash, so that the digests are spread over the region. */
  #speaker(region: string): MemberRecord {
    const candidates = this.#context.machine.present().map((record) => ({
      id: record.id,
      state: record.leaving ? "leaving" as const : "live" as const,
      record,
    }));
    return leadOrder(`speaker/${region}`, candidates)[0].record;
  }

  async #tell(region: string): Promise<void> {
    const { clock, random, transport, listed, seeds, sync } = this.#context;
    const named = this.book.addresses(region);
    const known = named.length > 0 ? named : listed.get(region) ?? [];
    if (known.length === 0) return;
    const { news, contacts } = this.digestFor(region);
    const due = this.book.isDue(region, contacts, clock.nowMs());
    const message: RegionMessage = due ? { news, contacts } : { news };
    const address = random.pick(known);
    const deadlineMs = clock.nowMs() + REGION_CALL_MS;
    const told = await transport.call(
      address,
      "members.region",
      message,
      deadlineMs,
    );
    if (told.isOk()) return;
    this.book.untold(region);
    // All VMs that the region named may have gone since; the platform's list and the seeds are asked for new ones.
    const others = [...listed.get(region) ?? [], ...seeds]
      .filter((other) => other !== address);
    if (others.length > 0) await sync(random.pick(others));
  }

  /**
   * VMs that publish a topic are told what others publish at once, as they act on it: a lead does not send requests to a
   * region that it has not heard of for some seconds. The rest hears with the heartbeats.
   */
  #passOn({ news }: RegionMessage): void {
    const { clock, machine, transport } = this.#context;
    const publishers = this.book.publishers(clock.nowMs());
    for (const { id, peerAddress } of machine.present()) {
      if (id === machine.self.id || !publishers.has(id)) continue;
      const digest: RegionMessage = { news };
      transport.notify(peerAddress, "members.region", digest);
    }
  }
}
