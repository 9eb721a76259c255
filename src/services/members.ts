/**
 * The membership service: heartbeats within the region, and one digest per region to other regions.
 *
 * @module
 */

import type { Transport, VmList } from "../adapters/mod.ts";
import {
  DEFAULT_MEMBERSHIP_TIMES,
  type Gossip,
  type MemberRecord,
  Membership,
  type MembershipOutput,
  type MembershipTimes,
} from "../agreement/mod.ts";
import { type Clock, hash32, Random, type Timer } from "../base/mod.ts";
import { type Handlers, type Kernel, type Log, Task } from "../kernel/mod.ts";
import type {
  PingMessage,
  PingViaMessage,
  PingViaReply,
  SyncMessage,
  SyncReply,
} from "./member_messages.ts";
import { MemberDigests } from "./member_digests.ts";
import type { MembersMessages, TableMessages, VmInfo } from "./messages.ts";

/** The identity of this VM, and the VMs that it contacts first. */
export interface MembersOptions {
  readonly vmId: string;
  /** Increases with each start under this id. The default is the time of the start. */
  readonly incarnation?: number;
  readonly region: string;
  readonly failureDomain: string;
  /** `host:port` of this VM's listener for other VMs. */
  readonly peerAddress: string;
  readonly callerUrl: string;
  readonly transport: Transport;
  /** `host:port` of the VMs to contact first, of this region and others. */
  readonly seeds: readonly string[];
  /** The platform's list of VMs, if there is one. It lags, so it is used only for seeds. */
  readonly vmList?: VmList;
  readonly times?: MembershipTimes;
}

const TICK_INTERVAL_MS = 100;
const PING_TIMEOUT_MS = 300;
const PING_VIA_TIMEOUT_MS = 600;
const SYNC_TIMEOUT_MS = 1000;
const LIST_INTERVAL_MS = 30_000;
/** The longest time that a start waits for VMs that know the others. After that this VM continues alone. */
const JOIN_TIMEOUT_MS = 1500;
/** The number of VMs asked at the start. One reply is enough, and each reply lists the whole region. */
const MAX_JOIN_CALLS = 8;

/** The `members` task. It starts before `slots`, and reads the version in force from `table` once that has started. */
export class MembersService extends Task<MembersMessages> {
  readonly name = "members";
  protected readonly handlers: Handlers<MembersMessages> = {
    region: () => this.#machine.present().map((record) => this.#vmInfo(record)),
    others: () => this.#digests.regions.others(this.#clock.nowMs()),
    leave: () => this.#applyOutputs(this.#machine.leave(false)),
    check: ({ vmId }) => this.#applyOutputs(this.#machine.probe(vmId)),
    publish: ({ topic, body }) => this.#digests.publish(topic, body),
    topics: () => this.#digests.regions.topics(this.#clock.nowMs()),
  };
  readonly #options: MembersOptions;
  readonly #timers: Timer[] = [];
  readonly #pinging = new Set<string>();
  /** Addresses by region, from the platform's list. */
  readonly #listedAddresses = new Map<string, string[]>();
  /** Seeds that are VMs of other regions, as their replies showed. */
  readonly #remoteSeeds = new Set<string>();
  #machine!: Membership;
  #digests!: MemberDigests;
  #clock!: Clock;
  #log!: Log;
  #kernel!: Kernel;
  #random!: Random;
  #loggedStates = new Map<string, string>();

  constructor(options: MembersOptions) {
    super();
    this.#options = options;
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
    this.#machine = new Membership(
      { id: vmId, incarnation, region, failureDomain, peerAddress, callerUrl },
      this.#options.times ?? DEFAULT_MEMBERSHIP_TIMES,
    );
    this.#digests = new MemberDigests({
      region,
      clock: this.#clock,
      random: this.#random,
      transport: this.#options.transport,
      machine: this.#machine,
      listedAddresses: this.#listedAddresses,
      seeds: this.#options.seeds,
      sync: (address) => this.#sync(address),
    });
    this.#listen();
    await this.#readList();
    await this.#join();
    this.#runEvery(TICK_INTERVAL_MS, () => void this.#tick());
    this.#runEvery(TICK_INTERVAL_MS, () => this.#digests.sendDigests());
    this.#runEvery(LIST_INTERVAL_MS, () => void this.#readList());
  }

  /** Tells the other VMs that this VM is gone, so that they need not detect it as dead. */
  async close(_deadlineMs: number): Promise<void> {
    for (const timer of this.#timers.splice(0)) timer.close();
    this.#applyOutputs(this.#machine.leave(true));
    await this.#options.vmList?.close();
  }

  dump(): unknown {
    return {
      ...this.#machine.dump() as Record<string, unknown>,
      ...this.#digests.regions.dump(this.#clock.nowMs()) as Record<
        string,
        unknown
      >,
    };
  }

  #runEvery(periodMs: number, run: () => void): void {
    this.#timers.push(this.#clock.every(periodMs, run));
  }

  #listen(): void {
    const { transport } = this.#options;
    transport.handle("members.ping", (params) => {
      this.#receive(params as PingMessage);
      return this.#gossip();
    });
    transport.handle("members.tell", (p) => this.#receive(p as PingMessage));
    transport.handle("members.pingVia", async (params) => {
      const { vmId, peerAddress } = params as PingViaMessage;
      const answered = await this.#ping(vmId, peerAddress);
      return { answered } satisfies PingViaReply;
    });
    transport.handle("members.sync", (p) => this.#answerSync(p as SyncMessage));
    this.#digests.listen();
  }

  async #tick(): Promise<void> {
    if (this.#kernel.has("table")) {
      const table = await this.#kernel.get<TableMessages>("table")
        .ask("current", undefined);
      if (table) this.#machine.setTableVersion(table.version);
    }
    this.#applyOutputs(this.#machine.tick(this.#clock.nowMs()));
    this.#logChanges();
  }

  #applyOutputs(outputs: readonly MembershipOutput[]): void {
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
    if (!answered) this.#applyOutputs(this.#machine.pingFailed(target.id));
  }

  async #probeVia(
    target: MemberRecord,
    helpers: readonly MemberRecord[],
  ): Promise<void> {
    const { id: vmId, peerAddress } = target;
    const message: PingViaMessage = { vmId, peerAddress };
    const deadlineMs = this.#clock.nowMs() + PING_VIA_TIMEOUT_MS;
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
    this.#applyOutputs(
      this.#machine.indirectPingFailed(target, this.#clock.nowMs()),
    );
  }

  /** Whether the VM with this id answered. The reply of another VM at the same address does not count. */
  async #ping(vmId: string, peerAddress: string): Promise<boolean> {
    const reply = await this.#options.transport.call(
      peerAddress,
      "members.ping",
      this.#gossip(),
      this.#clock.nowMs() + PING_TIMEOUT_MS,
    );
    if (reply.isErr()) return false;
    const gossip = reply.value as Gossip;
    this.#receive(gossip);
    return gossip.vm === vmId;
  }

  #gossip(): Gossip {
    return this.#machine.gossip(this.#clock.nowMs());
  }

  #receive(gossip: Gossip): void {
    this.#applyOutputs(this.#machine.receive(gossip, this.#clock.nowMs()));
    for (const item of gossip.news) this.#digests.receive(item);
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
      this.#clock.nowMs() + SYNC_TIMEOUT_MS,
    );
    if (reply.isErr()) return false;
    const { region, records, digest, regions } = reply.value as SyncReply;
    this.#learnRecords(records);
    this.#digests.receiveDigest(digest);
    for (const contacts of regions) this.#digests.receiveContacts(contacts);
    if (region === this.#options.region) return true;
    this.#remoteSeeds.add(address);
    this.#setSeeds();
    return false;
  }

  #answerSync(message: SyncMessage): SyncReply {
    const isSameRegion = message.region === this.#options.region;
    if (isSameRegion) this.#learnRecords(message.records);
    return {
      region: this.#options.region,
      records: isSameRegion ? this.#machine.all() : [],
      digest: this.#digests.digestFor(message.region),
      regions: this.#digests.regions.allContacts(this.#clock.nowMs()),
    };
  }

  #learnRecords(records: readonly MemberRecord[]): void {
    const nowMs = this.#clock.nowMs();
    for (const record of records) {
      this.#applyOutputs(this.#machine.learn(record, nowMs));
    }
  }

  async #readList(): Promise<void> {
    const { vmList, vmId } = this.#options;
    const listed = await vmList?.list();
    if (listed?.isOk()) {
      this.#listedAddresses.clear();
      for (const vm of listed.value) {
        if (vm.id === vmId) continue;
        const addresses = this.#listedAddresses.get(vm.region) ?? [];
        addresses.push(vm.peerAddress);
        this.#listedAddresses.set(vm.region, addresses);
      }
    }
    this.#setSeeds();
  }

  #setSeeds(): void {
    const { seeds, region } = this.#options;
    const listed = this.#listedAddresses.get(region) ?? [];
    const ownSeeds = seeds.filter((seed) => !this.#remoteSeeds.has(seed));
    this.#machine.setSeeds([...ownSeeds, ...listed]);
  }

  async #join(): Promise<void> {
    const { seeds, region, peerAddress } = this.#options;
    const addresses = [...seeds, ...this.#listedAddresses.get(region) ?? []]
      .filter((address) => address !== peerAddress);
    const targets = this.#random.sample(
      [...new Set(addresses)],
      MAX_JOIN_CALLS,
    );
    const joins = targets.map((address) => this.#sync(address));
    if (joins.length === 0) return;
    const timeout = this.#clock.sleep(JOIN_TIMEOUT_MS).then(() => []);
    const joined = await Promise.race([Promise.all(joins), timeout]);
    this.#log.info("members joined", {
      asked: joins.length,
      answered: joined.filter((isSameRegion) => isSameRegion).length,
      present: this.#machine.present().length,
    });
  }

  #vmInfo(record: MemberRecord): VmInfo {
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
      if (statuses.get(id) === this.#loggedStates.get(id)) continue;
      this.#log.info("member changed", { vm: id, incarnation, status: state });
    }
    this.#loggedStates = statuses;
  }
}
