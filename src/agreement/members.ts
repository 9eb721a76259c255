/**
 * Membership of a region as a state machine, after the SWIM protocol. In each period a VM pings one other VM. If no
 * answer comes, it asks two more VMs to ping it, then marks it suspect, then dead. News is piggybacked on the pings and
 * their answers. Each VM sends and receives the same number of messages whatever the size of the region.
 *
 * @module
 */

import { hash32, Random } from "../base/mod.ts";
import { type AgingItem, type NewsItem, NewsQueue } from "./member_news.ts";
import {
  DEFAULT_MEMBERSHIP_TIMES,
  type MemberEntry,
  MemberList,
  type MembershipTimes,
  viewDigest,
} from "./member_list.ts";
import { type MemberRecord, replaces } from "./member_record.ts";
import { SyncTrigger } from "./sync_trigger.ts";

/** The payload of each ping and answer. */
export interface Gossip {
  readonly vm: string;
  readonly incarnation: number;
  readonly beat: number;
  readonly table: number;
  /** Digest of the sender's view. If it keeps differing from the receiver's, the two VMs exchange all records. */
  readonly view: number;
  readonly versions: readonly TableVersion[];
  readonly news: readonly NewsItem[];
}

/** The table version in force at a VM. */
export type TableVersion = readonly [vmId: string, version: number];

/** An action for the driver of the state machine to perform. */
export type MembershipOutput =
  | { readonly type: "ping"; readonly target: MemberRecord }
  | {
    readonly type: "pingVia";
    readonly target: MemberRecord;
    readonly helpers: readonly MemberRecord[];
  }
  /** Exchange all records with this VM. */
  | { readonly type: "sync"; readonly address: string }
  /** Send the news to these VMs at once, without waiting for the next pings. */
  | { readonly type: "tell"; readonly targets: readonly MemberRecord[] };

/** Number of VMs to which urgent news is sent at once. */
const URGENT_FANOUT = 8;
const PING_HELPERS = 2;
const VERSIONS_PER_MESSAGE = 3;

/** The membership state machine of one VM. */
export class Membership {
  #self: MemberRecord;
  readonly #times: MembershipTimes;
  readonly #random: Random;
  readonly #list: MemberList;
  readonly #news = new NewsQueue();
  readonly #syncTrigger = new SyncTrigger();
  #tableVersion = 0;
  #pingOrder: string[] = [];
  #nextPingMs = 0;
  #nextContactMs = 0;
  #lastTickMs: number | undefined;
  #seeds: readonly string[] = [];

  constructor(
    self: Omit<MemberRecord, "beat" | "status" | "leaving">,
    times: MembershipTimes = DEFAULT_MEMBERSHIP_TIMES,
  ) {
    this.#self = { ...self, beat: 0, status: "live", leaving: false };
    this.#times = times;
    this.#list = new MemberList(times);
    this.#random = new Random(hash32(`${self.id}/${self.incarnation}`));
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** Returns the live and the suspect VMs, this one first. */
  present(): MemberRecord[] {
    return [this.#self, ...this.#list.present()];
  }

  /** Returns all records for an exchange, including those of dead VMs. */
  all(): MemberRecord[] {
    return [this.#self, ...this.#list.all()];
  }

  /** Returns the newest table version that `vmId` is known to have. */
  tableVersionOf(vmId: string): number {
    if (vmId === this.#self.id) return this.#tableVersion;
    return this.#list.get(vmId)?.tableVersion ?? 0;
  }

  setTableVersion(version: number): void {
    this.#tableVersion = version;
  }

  /**
   * Sets the addresses to contact while their VMs are not known: from the settings and from the platform's lagging
   * list.
   */
  setSeeds(addresses: readonly string[]): void {
    this.#seeds = addresses;
  }

  /** Queues an item for the next messages. */
  queueNews(item: AgingItem, nowMs: number): void {
    this.#news.add(item, nowMs);
  }

  /**
   * Announces that this VM starts to drain or, with `gone`, that it has ended. The news is sent at once, because the
   * others send work here until they know.
   */
  leave(gone: boolean): MembershipOutput[] {
    if (this.#self.leaving && !gone) return [];
    this.#updateSelf({
      leaving: true,
      status: gone ? "dead" : this.#self.status,
    });
    return [this.#tellUrgently()];
  }

  /** Performs what is due by now. Call it several times in a period. */
  tick(nowMs: number): MembershipOutput[] {
    const outputs: MembershipOutput[] = [];
    this.#handlePause(nowMs);
    for (const record of this.#list.expire(nowMs)) {
      this.learn({ ...record, status: "dead" }, nowMs);
    }
    if (nowMs >= this.#nextPingMs) {
      this.#nextPingMs = nowMs + this.#times.periodMs;
      const target = this.#nextTarget();
      if (target) outputs.push({ type: "ping", target });
    }
    if (nowMs >= this.#nextContactMs) {
      this.#nextContactMs = nowMs + this.#times.meetMs;
      const address = this.#pickAbsentAddress();
      if (address) outputs.push({ type: "sync", address });
    }
    return outputs;
  }

  /** Pings a VM now, after a call to it failed. */
  probe(vmId: string): MembershipOutput[] {
    const target = this.#list.get(vmId)?.record;
    if (target?.status !== "live") return [];
    return [{ type: "ping", target }];
  }

  /** Returns the payload of the next message. */
  gossip(nowMs: number): Gossip {
    return {
      vm: this.#self.id,
      incarnation: this.#self.incarnation,
      beat: this.#self.beat,
      table: this.#tableVersion,
      view: viewDigest(this.present()),
      versions: this.#random.sample(
        this.#list.recentVersions(nowMs),
        VERSIONS_PER_MESSAGE,
      ),
      news: this.#news.take(this.present().length, nowMs),
    };
  }

  /** Handles the payload of a ping or an answer. Items other than member records are left to the caller. */
  receive(gossip: Gossip, nowMs: number): MembershipOutput[] {
    const outputs: MembershipOutput[] = [];
    for (const item of gossip.news) {
      if (item.type === "member") {
        outputs.push(...this.learn(item.record, nowMs));
      }
    }
    for (const [id, version] of gossip.versions) {
      this.#list.recordVersion(id, version, nowMs);
    }
    this.#list.recordVersion(gossip.vm, gossip.table, nowMs);
    const sender = this.#list.get(gossip.vm);
    if (sender && this.#shouldSync(sender, gossip, nowMs)) {
      outputs.push({ type: "sync", address: sender.record.peerAddress });
    }
    return outputs;
  }

  /** Handles a ping that was not answered. */
  pingFailed(vmId: string): MembershipOutput[] {
    const target = this.#list.get(vmId)?.record;
    if (!target || target.status === "dead") return [];
    const others = this.#list.present().filter((record) =>
      record.id !== vmId && record.status === "live"
    );
    const helpers = this.#random.sample(others, PING_HELPERS);
    return [{ type: "pingVia", target, helpers }];
  }

  /**
   * Handles indirect pings that were not answered either. The VM of this record has until its deadline to refute the
   * suspicion.
   */
  indirectPingFailed(record: MemberRecord, nowMs: number): MembershipOutput[] {
    const known = this.#list.get(record.id)?.record;
    if (known?.status !== "live") return [];
    if (this.replaces(known, record)) return [];
    return this.learn({ ...known, status: "suspect" }, nowMs);
  }

  /** Applies a record of a VM if it replaces the known one. */
  learn(record: MemberRecord, nowMs: number): MembershipOutput[] {
    if (record.region !== this.#self.region) return [];
    if (record.id === this.#self.id) return this.#refute(record);
    const known = this.#list.get(record.id);
    if (known && !this.replaces(record, known.record)) return [];
    if (this.#list.put(record, nowMs)) {
      this.#news.addMember(record);
    }
    return [];
  }

  dump(): unknown {
    return {
      self: this.#self,
      members: this.#list.all().map((record) => ({
        ...record,
        tableVersion: this.tableVersionOf(record.id),
      })),
      news: this.#news.counts(),
    };
  }

  /** Calls {@link replaces}; tests override it. */
  protected replaces(a: MemberRecord, b: MemberRecord): boolean {
    return replaces(a, b);
  }

  /**
   * Refutes a record that says that this VM is suspect or dead, or that an older process with its id had a higher
   * incarnation (its clock was ahead). Only this VM can refute it, with a record that replaces the other.
   */
  #refute(record: MemberRecord): MembershipOutput[] {
    if (!this.replaces(record, this.#self)) return [];
    if (this.#self.status === "dead") return [];
    const isOutdated = record.incarnation > this.#self.incarnation;
    this.#self = {
      ...this.#self,
      incarnation: isOutdated ? record.incarnation + 1 : this.#self.incarnation,
      beat: record.beat,
    };
    this.#updateSelf({});
    return [this.#tellUrgently()];
  }

  #updateSelf(change: Partial<Pick<MemberRecord, "leaving" | "status">>): void {
    this.#self = { ...this.#self, beat: this.#self.beat + 1, ...change };
    this.#news.addMember(this.#self);
  }

  #tellUrgently(): MembershipOutput {
    return {
      type: "tell",
      targets: this.#random.sample(this.#list.present(), URGENT_FANOUT),
    };
  }

  /** Restarts all suspicions after a pause of this VM, because the others had no chance to answer it. */
  #handlePause(nowMs: number): void {
    const gapMs = nowMs - (this.#lastTickMs ?? nowMs);
    this.#lastTickMs = nowMs;
    if (gapMs < 2 * this.#times.periodMs) return;
    this.#list.restartSuspicions(nowMs);
  }

  /**
   * Returns the next VM to ping. Each VM is pinged once in a round of shuffled order, so that a dead one is found in a
   * bounded time and not only on average.
   */
  #nextTarget(): MemberRecord | undefined {
    for (let tries = 0; tries < 2; tries++) {
      while (this.#pingOrder.length > 0) {
        const record = this.#list.get(this.#pingOrder.pop()!)?.record;
        if (record && record.status !== "dead") return record;
      }
      const ids = this.#list.present().map((record) => record.id);
      this.#pingOrder = this.#random.sample(ids, ids.length);
    }
    return undefined;
  }

  /** Picks an address whose VM is not known to be present. */
  #pickAbsentAddress(): string | undefined {
    const present = new Set(this.present().map((record) => record.peerAddress));
    const candidates = new Set(this.#seeds);
    for (const { status, peerAddress } of this.#list.all()) {
      if (status === "dead") candidates.add(peerAddress);
    }
    const addresses = [...candidates].filter((address) =>
      !present.has(address)
    );
    return addresses.length > 0 ? this.#random.pick(addresses) : undefined;
  }

  #shouldSync(
    { record }: MemberEntry,
    { incarnation, beat, view }: Gossip,
    nowMs: number,
  ): boolean {
    const senderRecord = {
      ...record,
      incarnation,
      beat,
      status: "live" as const,
    };
    const isNewer = this.replaces(senderRecord, record);
    if (!isNewer && view === viewDigest(this.present())) {
      this.#syncTrigger.recordSame();
      return false;
    }
    return this.#syncTrigger.recordDifference(nowMs);
  }
}
