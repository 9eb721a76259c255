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
  type Membership,
  type NewsItem,
  type TopicNews,
} from "../agreement/mod.ts";
import type { Clock, Random } from "../base/mod.ts";
import type { RegionMessage } from "./member_messages.ts";
import { RegionStore } from "./member_regions.ts";

/** What {@link MemberDigests} needs of its task. */
export interface DigestContext {
  readonly region: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly machine: Membership;
  /** Addresses of VMs by region, from the platform's lagging list. */
  readonly listedAddresses: ReadonlyMap<string, readonly string[]>;
  readonly seeds: readonly string[];
  /** Asks the VM at this address for its region's contacts. */
  readonly sync: (address: string) => Promise<unknown>;
}

const DIGEST_TIMEOUT_MS = 1500;
/** How often another region is told; with more regions than this, less often, so that the cost stays flat. */
const DIGEST_PERIOD_MS = 1000;
const MAX_REGIONS_PER_PERIOD = 6;
/** A topic is told to this many speakers at once, to be in the next digest; the others hear it with the heartbeats. */
const MAX_NOTIFIED_SPEAKERS = 4;

/** See the module's comment. */
export class MemberDigests {
  readonly regions: RegionStore;
  readonly #context: DigestContext;
  #nextSendMs = 0;

  constructor(context: DigestContext) {
    this.#context = context;
    this.regions = new RegionStore(context.region);
  }

  /** Registers the messages that other VMs send. */
  listen(): void {
    const { transport, region } = this.#context;
    transport.handle("members.topic", (p) => this.receive(p as TopicNews));
    transport.handle("members.region", (params, from) => {
      const digest = params as RegionMessage;
      this.receiveDigest(digest);
      if (from.region !== region) this.#forwardToPublishers(digest);
    });
  }

  /** Takes an item that came with a heartbeat; statements about VMs are not its business. */
  receive(item: NewsItem): void {
    const { clock, machine } = this.#context;
    if (item.type === "topic") {
      if (this.regions.mergeTopic(item, clock.nowMs())) machine.queueNews(item);
    } else if (item.type === "region") this.receiveDigest({ news: item });
    else if (item.type === "contacts") this.receiveContacts(item);
  }

  receiveDigest({ news, contacts }: RegionMessage): void {
    const nowMs = this.#context.clock.nowMs();
    const isNewer = this.regions.mergeRegion(news, nowMs);
    if (isNewer && this.regions.recordSpreadIfDue(news.region, nowMs)) {
      this.#context.machine.queueNews(news);
    }
    if (contacts) this.receiveContacts(contacts);
  }

  receiveContacts(contacts: ContactNews): void {
    const isNewer = this.regions.mergeContacts(
      contacts,
      this.#context.clock.nowMs(),
    );
    if (isNewer) this.#context.machine.queueNews(contacts);
  }

  /** Tells a topic's value to the speakers at once, to all with the heartbeats. */
  publish(topic: string, body: unknown): void {
    const { clock, machine, transport } = this.#context;
    const nowMs = clock.nowMs();
    const vmId = machine.self.id;
    const news = { type: "topic", topic, vmId, atMs: nowMs, body } as const;
    if (!this.regions.mergeTopic(news, nowMs)) return;
    machine.queueNews(news);
    const speakers = new Map<string, MemberRecord>();
    for (const region of this.#otherRegions()) {
      const speaker = this.#speakerFor(region);
      if (speaker.id !== vmId) speakers.set(speaker.id, speaker);
    }
    for (
      const { peerAddress } of [...speakers.values()].slice(
        0,
        MAX_NOTIFIED_SPEAKERS,
      )
    ) {
      transport.notify(peerAddress, "members.topic", news);
    }
  }

  /** What this region tells `region`. */
  digestFor(region: string): Required<RegionMessage> {
    const { clock, machine } = this.#context;
    const nowMs = clock.nowMs();
    const contacts = this.regions.contacts(
      region,
      machine.present(),
      (vmId) => machine.tableVersionOf(vmId),
      nowMs,
    );
    return { news: this.regions.news(nowMs), contacts };
  }

  /** Tells those regions that this VM speaks to, when they are due. */
  sendDigests(): void {
    const { clock, machine } = this.#context;
    const nowMs = clock.nowMs();
    if (nowMs < this.#nextSendMs) return;
    const regions = this.#otherRegions();
    const periods = Math.ceil(regions.length / MAX_REGIONS_PER_PERIOD);
    this.#nextSendMs = nowMs + DIGEST_PERIOD_MS * Math.max(1, periods);
    for (const region of regions) {
      const isSpeaker = this.#speakerFor(region).id === machine.self.id;
      if (isSpeaker) void this.#sendDigest(region);
    }
  }

  #otherRegions(): string[] {
    const { listedAddresses, region } = this.#context;
    const regions = new Set([
      ...this.regions.knownRegions(),
      ...listedAddresses.keys(),
    ]);
    regions.delete(region);
    return [...regions];
  }

  /** Each pair of regions has one VM that speaks, chosen by hash, so that the digests are spread over the region. */
  #speakerFor(region: string): MemberRecord {
    const candidates = this.#context.machine.present().map((record) => ({
      id: record.id,
      state: record.leaving ? "leaving" as const : "live" as const,
      record,
    }));
    return leadOrder(`speaker/${region}`, candidates)[0].record;
  }

  async #sendDigest(region: string): Promise<void> {
    const { clock, random, transport, listedAddresses, seeds, sync } =
      this.#context;
    const contactAddresses = this.regions.addresses(region);
    const addresses = contactAddresses.length > 0
      ? contactAddresses
      : listedAddresses.get(region) ?? [];
    if (addresses.length === 0) return;
    const { news, contacts } = this.digestFor(region);
    const isDue = this.regions.recordContactsIfDue(
      region,
      contacts,
      clock.nowMs(),
    );
    const message: RegionMessage = isDue ? { news, contacts } : { news };
    const address = random.pick(addresses);
    const deadlineMs = clock.nowMs() + DIGEST_TIMEOUT_MS;
    const result = await transport.call(
      address,
      "members.region",
      message,
      deadlineMs,
    );
    if (result.isOk()) return;
    this.regions.forgetSentContacts(region);
    // All VMs that the region named may have gone since; the platform's list and the seeds are asked for new ones.
    const fallbacks = [...listedAddresses.get(region) ?? [], ...seeds]
      .filter((other) => other !== address);
    if (fallbacks.length > 0) await sync(random.pick(fallbacks));
  }

  /**
   * VMs that publish a topic are told what others publish at once, as they act on it: a lead does not send requests to a
   * region that it has not heard of for some seconds. The rest hears with the heartbeats.
   */
  #forwardToPublishers({ news }: RegionMessage): void {
    const { clock, machine, transport } = this.#context;
    const publishers = this.regions.publishers(clock.nowMs());
    for (const { id, peerAddress } of machine.present()) {
      if (id === machine.self.id || !publishers.has(id)) continue;
      const digest: RegionMessage = { news };
      transport.notify(peerAddress, "members.region", digest);
    }
  }
}
