/**
 * The membership service: heartbeats within the region, one digest per region between regions.
 *
 * @module
 */

import type { Transport, VmList } from "../adapters/mod.ts";
import {
  type ContactNews,
  type Gossip,
  leadOrder,
  type MemberRecord,
  Members,
  MEMBERS_TIMES,
  type MembersOutput,
  type MembersTimes,
  type TopicNews,
} from "../agreement/mod.ts";
import { type Clock, hash32, Random, type Timer } from "../base/mod.ts";
import { type Handlers, type Kernel, Task } from "../kernel/mod.ts";
import type { Logger } from "winston";
import type {
  PingMessage,
  PingViaMessage,
  PingViaReply,
  RegionMessage,
  SyncMessage,
  SyncReply,
} from "./member_messages.ts";
import { RegionBook } from "./member_regions.ts";
import type { MembersMessages, TableMessages, VmInfo } from "./messages.ts";

/** Who this VM is and whom it asks first. */
export interface MembersOptions {
  readonly vmId: string;
  /** Grows with each start under this id; the time of the start unless given. */
  readonly incarnation?: number;
  readonly region: string;
  readonly failureDomain: string;
  /** `host:port` at which others reach its listener. */
  readonly peerAddress: string;
  readonly callerUrl: string;
  readonly transport: Transport;
  /** `host:port` of VMs to ask first, of this region and others. */
  readonly seeds: readonly string[];
  /** The platform's lagging list, where there is one; it only seeds. */
  readonly vmList?: VmList;
  readonly times?: MembersTimes;
}

const TICK_MS = 100;
const PING_CALL_MS = 300;
const PING_VIA_CALL_MS = 600;
const SYNC_CALL_MS = 1000;
const REGION_CALL_MS = 1500;
/** How often another region is told; with more regions than this, less often, so that the cost stays flat. */
const REGION_PERIOD_MS = 1000;
const REGIONS_PER_PERIOD = 6;
/** A topic is told to this many speakers at once, to be in the next digest; the others hear it with the heartbeats. */
const TOLD_SPEAKERS = 4;
const LIST_PERIOD_MS = 30_000;
/** How long a start waits for the first VM that knows the others; after that this VM goes on alone. */
const JOIN_MS = 1500;

/** Its name is `members`. Start it before `slots`; it reads the version in force from `table` once that has started. */
export class MembersService extends Task<MembersMessages> {
  readonly name = "members";
  protected readonly handlers: Handlers<MembersMessages> = {
    region: () => this.#machine.present().map((record) => this.#info(record)),
    others: () => this.#book.others(this.#clock.nowMs()),
    leave: () => this.#do(this.#machine.leave(false)),
    check: ({ vmId }) => this.#do(this.#machine.check(vmId)),
    publish: ({ topic, body }) => this.#publish(topic, body),
    topics: () => this.#book.topics(this.#clock.nowMs()),
  };
  readonly #options: MembersOptions;
  readonly #book: RegionBook;
  readonly #timers: Timer[] = [];
  readonly #pinging = new Set<string>();
  /** Addresses by region, from the platform's list. */
  readonly #listed = new Map<string, string[]>();
  /** Seeds that turned out to be VMs of other regions. */
  readonly #farSeeds = new Set<string>();
  #machine!: Members;
  #clock!: Clock;
  #log!: Logger;
  #kernel!: Kernel;
  #random!: Random;
  #statuses = new Map<string, string>();
  #nextRegionsMs = 0;

  constructor(options: MembersOptions) {
    super();
    this.#options = options;
    this.#book = new RegionBook(options.region);
  }

  async start(kernel: Kernel): Promise<void> {
    this.#kernel = kernel;
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    const { vmId, region, failureDomain, peerAddress, callerUrl } =
      this.#options;
    const incarnation = this.#options.incarnation ??
      Math.floor(this.#clock.nowMs());
    this.#random = new Random(hash32(`${vmId}/${incarnation}`));
    this.#machine = new Members(
      { id: vmId, incarnation, region, failureDomain, peerAddress, callerUrl },
      this.#options.times ?? MEMBERS_TIMES,
    );
    this.#listen();
    await this.#readList();
    await this.#join();
    this.#every(TICK_MS, () => void this.#tick());
    this.#every(TICK_MS, () => this.#tellRegions());
    this.#every(LIST_PERIOD_MS, () => void this.#readList());
  }

  /** Tells the others that this VM is gone, so that none waits for it to be found dead. */
  async close(_deadlineMs: number): Promise<void> {
    for (const timer of this.#timers.splice(0)) timer.close();
    this.#do(this.#machine.leave(true));
    await this.#options.vmList?.close();
  }

  dump(): unknown {
    return {
      ...this.#machine.dump() as Record<string, unknown>,
      ...this.#book.dump(this.#clock.nowMs()) as Record<string, unknown>,
    };
  }

  #every(periodMs: number, run: () => void): void {
    this.#timers.push(this.#clock.every(periodMs, run));
  }

  #listen(): void {
    const { transport } = this.#options;
    transport.handle("members.ping", (params) => {
      this.#hear(params as PingMessage);
      return this.#gossip();
    });
    transport.handle("members.tell", (p) => this.#hear(p as PingMessage));
    transport.handle("members.pingVia", async (params) => {
      const { vmId, peerAddress } = params as PingViaMessage;
      const answered = await this.#ping(vmId, peerAddress);
      return { answered } satisfies PingViaReply;
    });
    transport.handle("members.sync", (p) => this.#answerSync(p as SyncMessage));
    transport.handle("members.topic", (p) => this.#hearTopic(p as TopicNews));
    transport.handle("members.region", (params, from) => {
      const digest = params as RegionMessage;
      this.#hearDigest(digest);
      if (from.region !== this.#options.region) this.#passOn(digest);
    });
  }

  async #tick(): Promise<void> {
    if (this.#kernel.has("table")) {
      const table = await this.#kernel.get<TableMessages>("table")
        .ask("current", undefined);
      if (table) this.#machine.setTableVersion(table.version);
    }
    this.#do(this.#machine.tick(this.#clock.nowMs()));
    this.#logChanges();
  }

  #do(outputs: readonly MembersOutput[]): void {
    for (const output of outputs) {
      switch (output.type) {
        case "ping":
          void this.#probe(output.target);
          break;
        case "pingVia":
          void this.#probeVia(output.target, output.helpers);
          break;
        case "sync":
          void this.#sync(output.address);
          break;
        case "tell":
          for (const { peerAddress } of output.targets) {
            this.#options.transport.notify(
              peerAddress,
              "members.tell",
              this.#gossip(),
            );
          }
      }
    }
  }

  async #probe(target: MemberRecord): Promise<void> {
    if (this.#pinging.has(target.id)) return;
    this.#pinging.add(target.id);
    const answered = await this.#ping(target.id, target.peerAddress);
    this.#pinging.delete(target.id);
    if (!answered) this.#do(this.#machine.pingFailed(target.id));
  }

  async #probeVia(
    target: MemberRecord,
    helpers: readonly MemberRecord[],
  ): Promise<void> {
    const { id: vmId, peerAddress } = target;
    const message: PingViaMessage = { vmId, peerAddress };
    const deadlineMs = this.#clock.nowMs() + PING_VIA_CALL_MS;
    const answers = await Promise.all(helpers.map(async (helper) => {
      const reply = await this.#options.transport.call(
        helper.peerAddress,
        "members.pingVia",
        message,
        deadlineMs,
      );
      return reply.isOk() && (reply.value as PingViaReply).answered;
    }));
    if (answers.includes(true)) return;
    this.#do(this.#machine.unanswered(target, this.#clock.nowMs()));
  }

  /** Whether this very VM answered: another at the same address does not count. */
  async #ping(vmId: string, peerAddress: string): Promise<boolean> {
    const reply = await this.#options.transport.call(
      peerAddress,
      "members.ping",
      this.#gossip(),
      this.#clock.nowMs() + PING_CALL_MS,
    );
    if (reply.isErr()) return false;
    const gossip = reply.value as Gossip;
    this.#hear(gossip);
    return gossip.vm === vmId;
  }

  #gossip(): Gossip {
    return this.#machine.gossip(this.#clock.nowMs());
  }

  #hear(gossip: Gossip): void {
    this.#do(this.#machine.hear(gossip, this.#clock.nowMs()));
    for (const item of gossip.news) {
      if (item.type === "topic") this.#hearTopic(item);
      else if (item.type === "region") this.#hearDigest({ news: item });
      else if (item.type === "contacts") this.#hearContacts(item);
    }
  }

  #hearTopic(news: TopicNews): void {
    const isNews = this.#book.hearTopic(news, this.#clock.nowMs());
    if (isNews) this.#machine.spread(news);
  }

  #hearDigest({ news, contacts }: RegionMessage): void {
    const nowMs = this.#clock.nowMs();
    const isNews = this.#book.hearRegion(news, nowMs);
    if (isNews && this.#book.spreads(news.region, nowMs)) {
      this.#machine.spread(news);
    }
    if (contacts) this.#hearContacts(contacts);
  }

  /**
   * VMs that publish a topic are told what others publish at once, as they act on it: a lead does not send requests to a
   * region that it has not heard of for some seconds. The rest hears with the heartbeats.
   */
  #passOn({ news }: RegionMessage): void {
    const publishers = this.#book.publishers(this.#clock.nowMs());
    for (const { id, peerAddress } of this.#machine.present()) {
      if (id === this.#options.vmId || !publishers.has(id)) continue;
      const digest: RegionMessage = { news };
      this.#options.transport.notify(peerAddress, "members.region", digest);
    }
  }

  #hearContacts(contacts: ContactNews): void {
    const isNews = this.#book.hearContacts(contacts, this.#clock.nowMs());
    if (isNews) this.#machine.spread(contacts);
  }

  #publish(topic: string, body: unknown): void {
    const nowMs = this.#clock.nowMs();
    const { vmId } = this.#options;
    const news = { type: "topic", topic, vmId, atMs: nowMs, body } as const;
    if (!this.#book.hearTopic(news, nowMs)) return;
    this.#machine.spread(news);
    const speakers = new Map(
      this.#farRegions().map((region) => this.#speaker(region))
        .map((speaker) => [speaker.id, speaker]),
    );
    speakers.delete(vmId);
    for (const speaker of [...speakers.values()].slice(0, TOLD_SPEAKERS)) {
      const { transport } = this.#options;
      transport.notify(speaker.peerAddress, "members.topic", news);
    }
  }

  #farRegions(): string[] {
    const regions = new Set([...this.#book.regions(), ...this.#listed.keys()]);
    regions.delete(this.#options.region);
    return [...regions];
  }

  /** Each pair of regions has one VM that speaks, chosen by hash, so that the digests are spread over the region. */
  #speaker(region: string): VmInfo {
    const vms = this.#machine.present().map((record) => this.#info(record));
    return leadOrder(`speaker/${region}`, vms)[0];
  }

  async #sync(address: string): Promise<boolean> {
    const message: SyncMessage = {
      region: this.#options.region,
      records: this.#machine.all(),
    };
    const reply = await this.#options.transport.call(
      address,
      "members.sync",
      message,
      this.#clock.nowMs() + SYNC_CALL_MS,
    );
    if (reply.isErr()) return false;
    const { region, records, digest, regions } = reply.value as SyncReply;
    this.#learnAll(records);
    this.#hearDigest(digest);
    for (const contacts of regions) this.#hearContacts(contacts);
    if (region === this.#options.region) return true;
    this.#farSeeds.add(address);
    this.#setSeeds();
    return false;
  }

  #answerSync(message: SyncMessage): SyncReply {
    const sameRegion = message.region === this.#options.region;
    if (sameRegion) this.#learnAll(message.records);
    return {
      region: this.#options.region,
      records: sameRegion ? this.#machine.all() : [],
      digest: this.#digestFor(message.region),
      regions: this.#book.allContacts(),
    };
  }

  #learnAll(records: readonly MemberRecord[]): void {
    const nowMs = this.#clock.nowMs();
    for (const record of records) this.#do(this.#machine.learn(record, nowMs));
  }

  #digestFor(region: string): RegionMessage {
    const nowMs = this.#clock.nowMs();
    const contacts = this.#book.contacts(
      region,
      this.#machine.present(),
      (vmId) => this.#machine.tableVersionOf(vmId),
      nowMs,
    );
    return { news: this.#book.news(nowMs), contacts };
  }

  #tellRegions(): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs < this.#nextRegionsMs) return;
    const regions = this.#farRegions();
    this.#nextRegionsMs = nowMs +
      REGION_PERIOD_MS *
        Math.max(1, Math.ceil(regions.length / REGIONS_PER_PERIOD));
    for (const region of regions) {
      const speaks = this.#speaker(region).id === this.#options.vmId;
      if (speaks) void this.#tellRegion(region);
    }
  }

  async #tellRegion(region: string): Promise<void> {
    const named = this.#book.addresses(region);
    const known = named.length > 0 ? named : this.#listed.get(region) ?? [];
    if (known.length === 0) return;
    const deadlineMs = this.#clock.nowMs() + REGION_CALL_MS;
    const { news, contacts } = this.#digestFor(region);
    const due = this.#book.isDue(region, contacts!, this.#clock.nowMs());
    const { transport } = this.#options;
    const address = this.#random.pick(known);
    const told = await transport.call(
      address,
      "members.region",
      { news, ...(due ? { contacts } : {}) } satisfies RegionMessage,
      deadlineMs,
    );
    if (told.isOk()) return;
    this.#book.untold(region);
    // All VMs that the region named may have gone since; the platform's list and the seeds are asked for new ones.
    const { seeds } = this.#options;
    const others = [...this.#listed.get(region) ?? [], ...seeds]
      .filter((other) => other !== address);
    if (others.length > 0) await this.#sync(this.#random.pick(others));
  }

  async #readList(): Promise<void> {
    const { vmList, vmId } = this.#options;
    const listed = await vmList?.list();
    if (listed?.isOk()) {
      this.#listed.clear();
      for (const vm of listed.value) {
        if (vm.id === vmId) continue;
        const addresses = this.#listed.get(vm.region) ?? [];
        addresses.push(vm.peerAddress);
        this.#listed.set(vm.region, addresses);
      }
    }
    this.#setSeeds();
  }

  #setSeeds(): void {
    const { seeds, region } = this.#options;
    const listed = this.#listed.get(region) ?? [];
    const own = seeds.filter((seed) => !this.#farSeeds.has(seed));
    this.#machine.setSeeds([...own, ...listed]);
  }

  async #join(): Promise<void> {
    const { seeds, region, peerAddress } = this.#options;
    const addresses = [...seeds, ...this.#listed.get(region) ?? []]
      .filter((address) => address !== peerAddress);
    const joins = [...new Set(addresses)].map((address) => this.#sync(address));
    if (joins.length === 0) return;
    const late = this.#clock.sleep(JOIN_MS).then(() => []);
    const joined = await Promise.race([Promise.all(joins), late]);
    this.#log.info("members joined", {
      asked: joins.length,
      answered: joined.filter((same) => same).length,
      present: this.#machine.present().length,
    });
  }

  #info(record: MemberRecord): VmInfo {
    return {
      id: record.id,
      incarnation: record.incarnation,
      region: record.region,
      failureDomain: record.failureDomain,
      peerAddress: record.peerAddress,
      callerUrl: record.callerUrl,
      state: record.leaving ? "leaving" : "live",
      tableVersion: this.#machine.tableVersionOf(record.id),
    };
  }

  #logChanges(): void {
    const statuses = new Map<string, string>();
    for (const record of this.#machine.all()) {
      const { id, incarnation, status, leaving } = record;
      const state = leaving && status === "live" ? "leaving" : status;
      statuses.set(id, `${incarnation}/${state}`);
      if (statuses.get(id) === this.#statuses.get(id)) continue;
      this.#log.info("member changed", { vm: id, incarnation, status: state });
    }
    this.#statuses = statuses;
  }
}
