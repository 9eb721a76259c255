/**
 * What VMs and regions exchange besides liveness: topics within a region, and digests and contacts between regions. A
 * region's contacts are the VMs that other regions send their digests to.
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

/** The dependencies of {@link MemberDigests}. */
export interface DigestContext {
  readonly region: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: Transport;
  readonly machine: Membership;
  /** Addresses of VMs by region, from the platform's list, which lags. */
  readonly listedAddresses: ReadonlyMap<string, readonly string[]>;
  readonly seeds: readonly string[];
  /** Asks the VM at this address for the contacts that it has. */
  readonly sync: (address: string) => Promise<unknown>;
}

const DIGEST_TIMEOUT_MS = 1500;
/**
 * The interval between digests to each other region. It is extended if there are more regions than
 * {@link MAX_REGIONS_PER_PERIOD}, so that the cost stays constant.
 */
const DIGEST_PERIOD_MS = 1000;
const MAX_REGIONS_PER_PERIOD = 6;
/**
 * The number of speakers (VMs that send digests) to which a topic is sent at once, so that it is in their next digests.
 * The others get it with the heartbeats.
 */
const MAX_NOTIFIED_SPEAKERS = 4;

/** Exchanges topics, digests and contacts with other VMs. */
export class MemberDigests {
  readonly regions: RegionStore;
  readonly #context: DigestContext;
  #nextSendMs = 0;

  constructor(context: DigestContext) {
    this.#context = context;
    this.regions = new RegionStore(context.region);
  }

  /** Registers the handlers of the messages that other VMs send. */
  listen(): void {
    const { transport, region } = this.#context;
    transport.handle("members.topic", (p) => this.receive(p as TopicNews));
    transport.handle("members.region", (params, from) => {
      const digest = params as RegionMessage;
      this.receiveDigest(digest);
      if (from.region !== region) this.#forwardToPublishers(digest);
    });
  }

  /** Handles a news item that came with a heartbeat. Member records are handled by {@link Membership}. */
  receive(item: NewsItem): void {
    const { clock, machine } = this.#context;
    const nowMs = clock.nowMs();
    if (item.type === "topic") {
      const isNewer = this.regions.mergeTopic(item, nowMs);
      if (isNewer) machine.queueNews(item, nowMs);
    } else if (item.type === "region") this.receiveDigest({ news: item });
    else if (item.type === "contacts") this.receiveContacts(item);
  }

  receiveDigest({ news, contacts }: RegionMessage): void {
    const nowMs = this.#context.clock.nowMs();
    const isNewer = this.regions.mergeRegion(news, nowMs);
    if (isNewer && this.regions.recordSpreadIfDue(news.region, nowMs)) {
      this.#context.machine.queueNews(news, nowMs);
    }
    if (contacts) this.receiveContacts(contacts);
  }

  receiveContacts(contacts: ContactNews): void {
    const nowMs = this.#context.clock.nowMs();
    const isNewer = this.regions.mergeContacts(contacts, nowMs);
    if (isNewer) this.#context.machine.queueNews(contacts, nowMs);
  }

  /** Publishes a topic's value: to the VMs that send digests at once, and to all with the heartbeats. */
  publish(topic: string, body: unknown): void {
    const { clock, machine, transport } = this.#context;
    const nowMs = clock.nowMs();
    const vmId = machine.self.id;
    const atMs = this.regions.nextAtMs(topic, vmId, nowMs);
    const news = { type: "topic", topic, vmId, atMs, body } as const;
    if (!this.regions.mergeTopic(news, nowMs)) return;
    machine.queueNews(news, nowMs);
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

  /** The digest of this region for `region`. */
  digestFor(region: string): Required<RegionMessage> {
    const { clock, machine } = this.#context;
    const nowMs = clock.nowMs();
    const contacts = this.regions.contacts(
      region,
      machine.present(),
      (vmId) => machine.tableVersionOf(vmId),
      nowMs,
    );
    return { news: this.regions.news(region, nowMs), contacts };
  }

  /** Sends digests, if they are due, to the regions for which this VM is the speaker. */
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

  /**
   * The speaker for a region: the VM of this region that sends it digests. It is chosen by hash, so that the work of
   * sending is spread over the VMs.
   */
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
    // All contacts of that region may be gone by now. VMs of the platform's list and the seeds may know new ones.
    const fallbacks = [...listedAddresses.get(region) ?? [], ...seeds]
      .filter((other) => other !== address);
    if (fallbacks.length > 0) await sync(random.pick(fallbacks));
  }

  /**
   * Forwards another region's digest at once to the VMs that publish topics, as they act on it: a lead does not send
   * requests to a region from which it has had no digest for some seconds. The other VMs get it with the heartbeats.
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
