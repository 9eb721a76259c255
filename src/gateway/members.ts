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
import type { Revisions } from "./beliefs.ts";
import type { Room } from "./room.ts";

/** Who a VM is. */
export interface VmRecord {
  readonly id: string;
  readonly ip: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Start of its process, Unix ms: tells one start from the next. */
  readonly bornMs: number;
}

/** What one VM has under way at one upstream. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waitingTokens: number;
}

/** What a VM tells the others with each heartbeat. */
export interface Beat extends VmRecord {
  readonly ready: boolean;
  readonly leaving: boolean;
  /** While leaving: how long it still serves, in ms from the heartbeat on. */
  readonly servesMs?: number;
  readonly configVersion: number;
  readonly revisions: Revisions;
  /** Load by upstream key; only to VMs of the same region. */
  readonly load?: Readonly<Record<string, UpstreamLoad>>;
  /** Free places by service in the sender's region; only to other regions. */
  readonly room?: Room;
  /** Some VMs that the sender sees. */
  readonly others?: readonly VmRecord[];
}

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
  /** What this VM says of itself. */
  readonly describe: (
    sameRegion: boolean,
  ) => Omit<Beat, keyof VmRecord | "others">;
}

/** Heartbeats inside a region carry loads that placing reads; a tenth of a second is a few step times of an engine. */
const NEAR_BEAT_MS = 100;
/** Heartbeats to other regions carry room and revisions; their links are 80 ms long and priced by the byte. */
const FAR_BEAT_EVERY = 5;
/** Silence after which a VM is not named to callers or relayed to: ten beats of its region, two of another. */
const SILENT_MS = 1_200;
/** Silence after which a VM is forgotten. */
const FORGET_MS = 15_000;
/** The VM's own entry lives this long after its last renewal. */
const LEASE_MS = 6_000;
const RENEW_MS = 2_000;
/** Others' entries are read this often; heartbeats spread news faster, so this only mends what they missed. */
const LIST_MS = 10_000;
/** Most VMs named in one heartbeat: a datagram stays below 1,400 bytes. */
const MOST_OTHERS = 4;

function isRecord(value: unknown): value is VmRecord {
  const vm = value as Partial<VmRecord> | null;
  return typeof vm?.id === "string" && typeof vm.ip === "string" &&
    typeof vm.region === "string" &&
    typeof vm.failureDomain === "string" && typeof vm.bornMs === "number";
}

/** Reads a datagram; `undefined` if it is no heartbeat. */
export function decodeBeat(datagram: Buffer): Beat | undefined {
  try {
    const { method, params } = JSON.parse(datagram.toString("utf8")) as {
      method?: string;
      params?: unknown;
    };
    if (method !== "beat" || !isRecord(params)) return undefined;
    const beat = params as Beat;
    return typeof beat.revisions?.operators === "number" ? beat : undefined;
  } catch {
    return undefined;
  }
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
  #beats = 0;
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
    this.#timers.push(this.#clock.every(NEAR_BEAT_MS, () => this.beat()));
    this.#timers.push(this.#clock.every(RENEW_MS, () => void this.#renew()));
    this.#timers.push(this.#clock.every(LIST_MS, () => void this.#list()));
    void this.#renew();
    void this.#list();
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
    return [...this.#members.values()].filter(({ heardMonoMs }) =>
      nowMs - heardMonoMs < SILENT_MS
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

  /** Sends a round of heartbeats. */
  beat(): void {
    const far = this.#beats++ % FAR_BEAT_EVERY === 0;
    const { self } = this.#options;
    this.#forgetSilent();
    const near = this.#encode(true, far);
    const farText = far ? this.#encode(false, true) : undefined;
    for (const member of this.#members.values()) {
      if (member.region === self.region) this.#send(near, member.ip);
      else if (farText) this.#send(farText, member.ip);
    }
    if (!farText) return;
    for (const vm of this.#named.values()) this.#send(farText, vm.ip);
    if (this.#members.size === 0) {
      for (const ip of this.#options.seedIps) {
        if (ip !== self.ip) this.#send(farText, ip);
      }
    }
  }

  #encode(sameRegion: boolean, withOthers: boolean): Buffer {
    const { self, describe } = this.#options;
    const others = withOthers
      ? this.#random.sample(this.alive(), MOST_OTHERS).map((
        { id, ip, region, failureDomain, bornMs },
      ) => ({
        id,
        ip,
        region,
        failureDomain,
        bornMs,
      }))
      : undefined;
    const params: Beat = { ...self, ...describe(sameRegion), others };
    return Buffer.from(
      JSON.stringify({ jsonrpc: "2.0", method: "beat", params }),
    );
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
    if (!before || before.bornMs !== beat.bornMs) {
      this.#log.info("vm known", {
        peer: beat.id,
        region: beat.region,
        ip: beat.ip,
      });
      this.#send(this.#encode(false, true), beat.ip);
    } else if (beat.leaving && !before.beat.leaving) {
      this.#log.info("vm leaves", { peer: beat.id });
    }
    for (const other of beat.others ?? []) this.#name(other);
  }

  #name(vm: VmRecord): void {
    if (!isRecord(vm) || vm.id === this.#options.self.id) return;
    const known = this.#members.get(vm.id);
    if (known && known.bornMs >= vm.bornMs) return;
    this.#named.set(vm.id, vm);
  }

  #forgetSilent(): void {
    const nowMs = this.#clock.monoMs();
    for (const [id, { heardMonoMs }] of this.#members) {
      if (nowMs - heardMonoMs < FORGET_MS) continue;
      this.#members.delete(id);
      this.#log.info("vm forgotten", {
        peer: id,
        silentMs: Math.round(nowMs - heardMonoMs),
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

  async #list(): Promise<void> {
    const listing = await this.#options.store.list(VM_PREFIX, {}, "membership");
    if (listing.isErr() || this.#closing) return;
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
  }
}
