/**
 * The VMs that are there: heartbeats over UDP, found through the store, the seeds and each other.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import type { KeyValue } from "../adapters/mod.ts";
import { type Clock, Random, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import { VM_PREFIX } from "../platform/mod.ts";
import { type Beat, decodeBeat, isVmRecord, type VmRecord } from "./beat.ts";

/** A VM as this one sees it. */
export interface Member extends VmRecord {
  readonly beat: Beat;
  readonly heardMonoMs: number;
}

/** Options of {@link Members}. */
export interface MemberOptions {
  readonly self: VmRecord;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  /** UDP port of heartbeats, the same on all VMs. */
  readonly port: number;
  /** Addresses of some VMs. */
  readonly seedIps: readonly string[];
  /** What this VM says of itself, to VMs of its region or of others, every `everyMs`. */
  readonly describe: (
    sameRegion: boolean,
    everyMs: number,
  ) => Omit<Beat, keyof VmRecord | "everyMs" | "others">;
  /** Called with each heartbeat of another VM. */
  readonly onBeat: (beat: Beat) => void;
}

/** How often it is looked whether a heartbeat is due. */
const TICK_MS = 100;
/** Heartbeats inside a region carry loads that placing reads; a tenth of a second is a few step times of an engine. */
const NEAR_BEAT: BeatPace = { leastMs: 100, perVmMs: 25 };
/** Heartbeats to other regions carry room and revisions; their links are 80 ms long and priced by the byte. */
const FAR_BEAT: BeatPace = { leastMs: 500, perVmMs: 50 };
/** Silence after which a VM is not named to callers or relayed to, at least: ten beats of a small region. */
const SILENT_MS = 1_200;
/** Heartbeats that must be missing: datagrams are lost one in forty on the worst links, so three in a row are not. */
const SILENT_BEATS = 3.5;
/** Silence after which a VM is forgotten, at least; three times the silence of a VM that beats slowly. */
const FORGET_MS = 15_000;
const FORGET_SILENCES = 3;
/** The VM's own entry lives this long after its last renewal. */
const LEASE_MS = 6_000;
const RENEW_MS = 2_000;
/** Others' entries are read this often; heartbeats spread news faster, so this only mends what they missed. */
const LIST_MS = 30_000;
/** The same while the last reading failed. */
const LIST_AGAIN_MS = 5_000;
/** Most VMs named in one heartbeat: a datagram stays below 1,400 bytes. */
const MOST_OTHERS = 4;

/**
 * How often a VM beats. The time grows with the VMs that are told, so that a VM sends and gets a bounded number of
 * heartbeats a second, some 40 near and 20 far. With the least times alone 90 VMs sent most of the 540 MB between
 * regions of a played calm day, at a tenth of its worth.
 */
interface BeatPace {
  readonly leastMs: number;
  readonly perVmMs: number;
}

function beatEveryMs({ leastMs, perVmMs }: BeatPace, vms: number): number {
  return Math.max(leastMs, perVmMs * vms);
}

/** Silence after which a member is left aside. */
function silentMs({ beat }: Member): number {
  return Math.max(SILENT_MS, beat.everyMs * SILENT_BEATS);
}

/** See the module. */
export class Members extends Task {
  readonly name = "members";
  readonly #options: MemberOptions;
  readonly #members = new Map<string, Member>();
  /** VMs that are named somewhere but have not been heard. */
  readonly #named = new Map<string, VmRecord>();
  readonly #random = new Random(process.pid);
  readonly #timers: Timer[] = [];
  protected readonly handlers: Handlers<Messages> = {};
  #socket!: Socket;
  #clock!: Clock;
  #log!: Log;
  #nearDueMonoMs = -Infinity;
  #farDueMonoMs = -Infinity;
  #leaseId: string | undefined;
  #closing = false;

  constructor(options: MemberOptions) {
    super();
    this.#options = options;
  }

  async start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (datagram) => this.#heard(datagram));
    this.#socket.on(
      "error",
      (error) =>
        this.#log.warn("heartbeat socket failed", { reason: error.message }),
    );
    const { self, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, self.ip, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
    this.#timers.push(this.#clock.every(TICK_MS, () => this.#tick()));
    this.#timers.push(this.#clock.every(RENEW_MS, () => void this.#renew()));
    void this.#renew();
    void this.#keepListing();
    this.beat();
  }

  /** Removes the VM's entry and stops; the VMs that were told of the leaving need not wait for silence. */
  async close(_deadlineMs: number): Promise<void> {
    this.#closing = true;
    for (const timer of this.#timers) timer.close();
    if (this.#leaseId !== undefined) {
      await this.#options.store.revoke(this.#leaseId, "membership");
    }
    this.#socket.close();
  }

  dump(): unknown {
    const nowMs = this.#clock.monoMs();
    return [...this.#members.values()].map(({ beat, heardMonoMs }) => ({
      ...beat,
      heardAgoMs: nowMs - heardMonoMs,
    }));
  }

  /** VMs heard lately, without this one. */
  alive(): Member[] {
    const nowMs = this.#clock.monoMs();
    return [...this.#members.values()].filter((member) =>
      nowMs - member.heardMonoMs < silentMs(member)
    );
  }

  /** VMs of this region heard lately, without this one. */
  near(): Member[] {
    return this.alive().filter(({ region }) =>
      region === this.#options.self.region
    );
  }

  /** How many VMs there are, this one included; silent ones count until they are forgotten, as they may only be cut off. */
  count(): number {
    return this.#members.size + 1;
  }

  /** Tells every VM at once, out of turn. */
  beat(): void {
    this.#beatNear();
    this.#beatFar();
  }

  #tick(): void {
    const nowMs = this.#clock.monoMs();
    this.#forgetSilent();
    if (nowMs >= this.#nearDueMonoMs) this.#beatNear();
    if (nowMs >= this.#farDueMonoMs) this.#beatFar();
  }

  #membersIn(sameRegion: boolean): Member[] {
    return [...this.#members.values()].filter(({ region }) =>
      (region === this.#options.self.region) === sameRegion
    );
  }

  #beatNear(): void {
    const members = this.#membersIn(true);
    const everyMs = beatEveryMs(NEAR_BEAT, members.length);
    // Half a tick early: a timer that fires a little late would else make the next beat miss its tick.
    this.#nearDueMonoMs = this.#clock.monoMs() + everyMs - TICK_MS / 2;
    const datagram = this.#encode(true, everyMs);
    for (const { ip } of members) this.#send(datagram, ip);
  }

  /** Heartbeats to other regions, and to VMs that have been named and not been heard. */
  #beatFar(): void {
    const members = this.#membersIn(false);
    const everyMs = beatEveryMs(
      FAR_BEAT,
      members.length + this.#named.size,
    );
    this.#farDueMonoMs = this.#clock.monoMs() + everyMs - TICK_MS / 2;
    const datagram = this.#encode(false, everyMs);
    for (const { ip } of members) this.#send(datagram, ip);
    for (const { ip } of this.#named.values()) this.#send(datagram, ip);
    if (this.#members.size > 0) return;
    const { seedIps, self } = this.#options;
    for (const ip of seedIps) {
      if (ip !== self.ip) this.#send(datagram, ip);
    }
  }

  #encode(sameRegion: boolean, everyMs: number): Buffer {
    const { self, describe } = this.#options;
    // Loads fill the heartbeats inside the region; the others have space for names.
    const others = sameRegion ? undefined : this.#someOthers();
    const params: Beat = {
      ...self,
      everyMs,
      ...describe(sameRegion, everyMs),
      others,
    };
    return Buffer.from(
      JSON.stringify({ jsonrpc: "2.0", method: "beat", params }),
    );
  }

  #someOthers(): VmRecord[] {
    return this.#random.sample(this.alive(), MOST_OTHERS).map((
      { id, ip, region, failureDomain, bornMs },
    ) => ({ id, ip, region, failureDomain, bornMs }));
  }

  #send(datagram: Buffer, ip: string): void {
    this.#socket.send(datagram, this.#options.port, ip, () => {});
  }

  #heard(datagram: Buffer): void {
    const beat = decodeBeat(datagram);
    if (!beat || beat.id === this.#options.self.id || this.#closing) return;
    const before = this.#members.get(beat.id);
    // A datagram of an earlier start that came late.
    if (before && before.bornMs > beat.bornMs) return;
    this.#members.set(beat.id, {
      id: beat.id,
      ip: beat.ip,
      region: beat.region,
      failureDomain: beat.failureDomain,
      bornMs: beat.bornMs,
      beat,
      heardMonoMs: this.#clock.monoMs(),
    });
    this.#named.delete(beat.id);
    this.#options.onBeat(beat);
    if (!before || before.bornMs !== beat.bornMs) {
      this.#log.info("vm known", {
        peer: beat.id,
        region: beat.region,
        ip: beat.ip,
      });
      const pace = beat.region === this.#options.self.region
        ? NEAR_BEAT
        : FAR_BEAT;
      const everyMs = beatEveryMs(pace, this.#members.size);
      this.#send(this.#encode(false, everyMs), beat.ip);
    } else if (beat.leaving && !before.beat.leaving) {
      this.#log.info("vm leaves", { peer: beat.id });
    }
    for (const other of beat.others ?? []) this.#name(other);
  }

  #name(vm: VmRecord): void {
    if (!isVmRecord(vm) || vm.id === this.#options.self.id) return;
    const known = this.#members.get(vm.id);
    if (known && known.bornMs >= vm.bornMs) return;
    this.#named.set(vm.id, vm);
  }

  #forgetSilent(): void {
    const nowMs = this.#clock.monoMs();
    for (const [id, member] of this.#members) {
      const silenceMs = nowMs - member.heardMonoMs;
      const mostMs = Math.max(FORGET_MS, FORGET_SILENCES * silentMs(member));
      if (silenceMs < mostMs) continue;
      this.#members.delete(id);
      // A region that was cut off is back sooner than the store's entries are read again.
      this.#named.set(id, member);
      this.#log.info("vm forgotten", {
        peer: id,
        silentMs: Math.round(silenceMs),
      });
    }
  }

  async #renew(): Promise<void> {
    if (this.#closing) return;
    const { store, self, leastLeaseMs } = this.#options;
    if (this.#leaseId !== undefined) {
      const kept = await store.keepAlive(this.#leaseId, "membership");
      if (kept.isOk() || kept.error.kind !== "leaseGone") return;
      this.#leaseId = undefined;
    }
    const lease = await store.grant(
      Math.max(leastLeaseMs, LEASE_MS),
      "membership",
    );
    if (lease.isErr() || this.#closing) return;
    const put = await store.put(VM_PREFIX + self.id, JSON.stringify(self), {
      leaseId: lease.value,
    }, "membership");
    if (put.isOk()) this.#leaseId = lease.value;
    else void store.revoke(lease.value, "membership");
  }

  async #keepListing(): Promise<void> {
    while (!this.#closing) {
      const done = await this.#list();
      await this.#clock.sleep(done ? LIST_MS : LIST_AGAIN_MS);
    }
  }

  /** Reads others' entries; returns whether that worked. */
  async #list(): Promise<boolean> {
    const listing = await this.#options.store.list(VM_PREFIX, {}, "membership");
    if (listing.isErr()) return false;
    if (this.#closing) return true;
    this.#named.clear();
    for (const entry of listing.value.entries) {
      try {
        this.#name(JSON.parse(entry.value) as VmRecord);
      } catch {
        this.#log.warn("vm entry unreadable", {
          key: entry.key,
          rev: entry.rev,
        });
      }
    }
    return true;
  }
}
