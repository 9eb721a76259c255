/**
 * Simulates the VMs of some regions that count a workspace's limit, on clocks and links of their own.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type { DatagramHandler } from "../src/gateway/datagrams.ts";
import { Quotas, type QuotasOptions } from "../src/gateway/quotas.ts";
import type { Kernel } from "../src/kernel/mod.ts";
import {
  type DueMessage,
  type RegionDigest,
  RegionView,
  type Report,
  type Roster,
  type VmRecord,
} from "../src/region/mod.ts";
import type { QuotaLimit } from "../src/workspaces/mod.ts";
import { VmClock } from "./vm_clock.ts";

const STEP_MS = 10;
const TICK_MS = 100;
const NEAR_MS = 10;
const FAR_MS = 80;
const WORKSPACE = "convoys";
/** A process that starts is ready after this time. */
const STARTING_MS = 300;
const DRAIN_MS = 4_000;
/** A lead that does not answer is not asked for this long. */
const MUTE_MS = 1_000;
const COPY = { rev: 1, digest: "0" };
const SLACK = { excess: 0.1, slackUnits: 72_000, windowMs: 8_000 };

type Body =
  | { readonly type: "report"; readonly report: Report }
  | { readonly type: "roster"; readonly roster: Roster }
  | { readonly type: "digest"; readonly digest: RegionDigest }
  | { readonly type: "datagram"; method: string; params: unknown };

interface Packet {
  readonly atMs: number;
  readonly to: string;
  readonly body: Body;
}

/** One process of a VM. */
interface Vm {
  readonly record: VmRecord;
  readonly clock: VmClock;
  readonly view: RegionView;
  readonly quotas: Quotas;
  readonly handlers: Map<string, DatagramHandler>;
  leads: readonly VmRecord[];
  isUp: boolean;
  frozenUntilMs: number;
  endMs: number;
  isDraining: boolean;
  nextTickMs: number;
  readonly muteUntilMs: Map<string, number>;
}

/** What callers send, and where. */
export interface QuotaLabOptions {
  readonly regions: readonly string[];
  readonly vmsPerRegion: number;
  readonly limit: QuotaLimit;
  /** Units of one request. */
  readonly units: number;
  readonly seed: number;
  readonly loss?: number;
}

/** Runs VMs, and counts what they let pass. */
export class QuotaLab {
  nowMs = 0;
  /** Demand of all callers together, as a multiple of the limit. */
  demand = 0;
  readonly #options: QuotaLabOptions;
  readonly #random: Random;
  readonly #vms = new Map<string, Vm>();
  readonly #starts: { readonly atMs: number; readonly index: number }[] = [];
  /** Units that passed in each step. */
  readonly #passed: number[] = [];
  #inFlight: Packet[] = [];
  #askedUnits = 0;

  constructor(options: QuotaLabOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    const count = options.regions.length * options.vmsPerRegion;
    for (let index = 0; index < count; index++) this.#start(index);
  }

  get #up(): Vm[] {
    return [...this.#vms.values()].filter(({ isUp }) => isUp);
  }

  get #running(): Vm[] {
    return this.#up.filter(({ frozenUntilMs }) => frozenUntilMs <= this.nowMs);
  }

  /** Addresses of the VMs that run. */
  get ips(): string[] {
    return this.#up.map(({ record }) => record.ip);
  }

  /** The address of the VM that counts for a region; any of the region's if none does. */
  counterOf(region: string): string | undefined {
    const vms = this.#running.filter(({ record }) => record.region === region);
    const counter = vms.find(({ quotas }) => quotas.isAuthority);
    return (counter ?? vms[0])?.record.ip;
  }

  /** How many VMs count for a region. */
  countersIn(region: string): number {
    return this.#running.filter(({ record, quotas }) =>
      record.region === region && quotas.isAuthority
    ).length;
  }

  /** Kills a VM's process and starts it again. */
  kill(ip: string, awayMs: number): void {
    const vm = this.#vms.get(ip)!;
    if (!vm.isUp) return;
    vm.isUp = false;
    const index = Number(ip.split(".").at(-1));
    this.#starts.push({ atMs: this.nowMs + awayMs, index });
  }

  /** Stops a VM as planned and starts it again 0.5 s after it ended. */
  stop(ip: string): void {
    const vm = this.#vms.get(ip)!;
    if (!vm.isUp || vm.isDraining) return;
    vm.isDraining = true;
    vm.endMs = this.nowMs + DRAIN_MS;
    vm.view.sendSoon();
    vm.nextTickMs = this.nowMs;
  }

  /** Freezes a VM's process; its monotonic clock may stand still too. */
  freeze(ip: string, ms: number, isSuspended = false): void {
    const vm = this.#vms.get(ip)!;
    vm.frozenUntilMs = Math.max(vm.frozenUntilMs, this.nowMs) + ms;
    if (isSuspended) vm.clock.suspendedMs += ms;
  }

  run(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      this.#step();
    }
  }

  /** Units that passed in the last `ms`, as a share of what the limit's rate yields in that time. */
  servedShare(ms: number): number {
    const units = this.#passed.slice(-ms / STEP_MS).reduce((a, b) => a + b, 0);
    return units / (this.#options.limit.unitsPerS * ms / 1_000);
  }

  /** Maximum units in any window, as a share of what operators tolerate. */
  get mostInWindow(): number {
    const { limit } = this.#options;
    const steps = SLACK.windowMs / STEP_MS;
    let most = 0;
    let window = 0;
    for (const [at, units] of this.#passed.entries()) {
      window += units - (this.#passed[at - steps] ?? 0);
      most = Math.max(most, window);
    }
    const windowUnits = limit.unitsPerS * SLACK.windowMs / 1_000 +
      limit.burstUnits;
    return most / (windowUnits * (1 + SLACK.excess) + SLACK.slackUnits);
  }

  #start(index: number): void {
    const { regions } = this.#options;
    const region = regions[index % regions.length];
    const clock = new VmClock(() => this.nowMs);
    const record: VmRecord = {
      id: `vm-${index}`,
      ip: `10.0.0.${index}`,
      region,
      failureDomain: region,
      bornMs: 1 + this.nowMs,
      cores: 1,
    };
    const startedMs = this.nowMs;
    const vm: Vm = {
      record,
      clock,
      view: new RegionView({
        self: record,
        seedIps: regions.map((_, at) => `10.0.0.${at}`),
        random: new Random(index),
        state: () => ({
          ready: this.nowMs - startedMs > STARTING_MS && !vm.isDraining,
          servesMs: vm.isDraining ? vm.endMs - this.nowMs : undefined,
          copies: { operators: COPY, upstreams: COPY },
          isServed: true,
        }),
      }, clock.monoMs()),
      quotas: new Quotas(this.#quotasOptions(record, () => vm)),
      handlers: new Map(),
      leads: [],
      isUp: true,
      frozenUntilMs: -Infinity,
      endMs: Infinity,
      isDraining: false,
      nextTickMs: this.nowMs + this.#random.int(TICK_MS),
      muteUntilMs: new Map(),
    };
    const log = { info: () => {} };
    void vm.quotas.start({ clock, log } as unknown as Kernel);
    this.#vms.set(record.ip, vm);
  }

  #quotasOptions(self: VmRecord, vm: () => Vm): QuotasOptions {
    const { regions, limit } = this.#options;
    return {
      self,
      regions,
      hasOthers: true,
      slack: SLACK,
      datagrams: {
        on: (method: string, run: DatagramHandler) =>
          vm().handlers.set(method, run),
        send: (method: string, params: unknown, ips: readonly string[]) => {
          const body: Body = { type: "datagram", method, params };
          for (const ip of ips) this.#send(vm(), ip, body);
        },
      },
      members: {
        get leads() {
          return vm().leads;
        },
        get regionVmCount() {
          return vm().view.known.regionVmCount;
        },
        vmCount: () => vm().view.vmCount,
        sharerCount: () => vm().view.sharers.count,
        reporters: () =>
          vm().view.known.reporters(self.region, vm().clock.monoMs()),
        otherRegions: () => vm().view.known.remote.fresh(vm().clock.monoMs()),
      },
      storeView: {
        config: {
          workspaces: { count: 1, get: () => ({ quota: limit }) },
        },
      },
    } as unknown as QuotasOptions;
  }

  #step(): void {
    for (const { atMs, index } of this.#starts.splice(0)) {
      if (atMs <= this.nowMs) this.#start(index);
      else this.#starts.push({ atMs, index });
    }
    for (const vm of this.#up) {
      if (this.nowMs >= vm.endMs) this.kill(vm.record.ip, 500);
    }
    this.#deliverDue();
    for (const vm of this.#running) {
      vm.clock.runTimers();
      if (this.nowMs >= vm.nextTickMs) this.#tick(vm);
    }
    this.#passed.push(this.#call());
  }

  #tick(vm: Vm): void {
    const nowMs = vm.clock.monoMs();
    for (const due of vm.view.tick(nowMs)) this.#sendDue(vm, due);
    vm.leads = vm.view.leads;
    const waitMs = Math.min(TICK_MS, vm.view.nextDueMs - nowMs);
    vm.nextTickMs = this.nowMs + Math.max(STEP_MS, waitMs);
  }

  #deliverDue(): void {
    const later: Packet[] = [];
    for (const packet of this.#inFlight.splice(0)) {
      const vm = this.#vms.get(packet.to);
      if (!vm?.isUp) continue;
      const isDue = packet.atMs <= this.nowMs && vm.frozenUntilMs <= this.nowMs;
      if (isDue) this.#deliver(vm, packet.body);
      else later.push(packet);
    }
    this.#inFlight = [...later, ...this.#inFlight];
  }

  #deliver(vm: Vm, body: Body): void {
    const nowMs = vm.clock.monoMs();
    switch (body.type) {
      case "report":
        for (const due of vm.view.onReport(body.report, nowMs)) {
          this.#sendDue(vm, due);
        }
        break;
      case "roster":
        vm.view.onRoster(body.roster, nowMs);
        vm.leads = vm.view.leads;
        break;
      case "digest":
        vm.view.onDigest(body.digest, nowMs);
        break;
      case "datagram": {
        const params: unknown = JSON.parse(JSON.stringify(body.params));
        vm.handlers.get(body.method)?.(params, "");
      }
    }
  }

  #sendDue(vm: Vm, due: DueMessage): void {
    const body = this.#bodyOf(vm, due);
    for (const ip of due.ips) this.#send(vm, ip, body);
  }

  #bodyOf({ view, clock }: Vm, due: DueMessage): Body {
    const nowMs = clock.monoMs();
    if (due.type === "report") {
      const report = { ...view.buildReport(), load: {}, asked: 0 };
      return { type: "report", report };
    }
    if (due.type === "roster") {
      const roster = { ...view.buildRoster(nowMs, due), load: {} };
      return { type: "roster", roster };
    }
    return {
      type: "digest",
      digest: { ...view.buildDigest(nowMs, due), room: {} },
    };
  }

  #send(from: Vm, to: string, body: Body): void {
    if (this.#random.next() < (this.#options.loss ?? 0)) return;
    const isNear = this.#vms.get(to)?.record.region === from.record.region;
    const atMs = this.nowMs + (isNear ? NEAR_MS : FAR_MS);
    this.#inFlight.push({ atMs, to, body });
  }

  /** Sends the requests of one step, each to a random VM that runs; returns the units that passed. */
  #call(): number {
    const { limit, units } = this.#options;
    this.#askedUnits += this.demand * limit.unitsPerS * STEP_MS / 1_000;
    const running = this.#running;
    let passed = 0;
    for (; this.#askedUnits >= units; this.#askedUnits -= units) {
      if (running.length === 0) continue;
      const vm = running[this.#random.int(running.length)];
      if (this.#admits(vm)) passed += units;
    }
    return passed;
  }

  /** Places a request as a VM does: by the first lead that answers, else by itself. */
  #admits(vm: Vm): boolean {
    const use = { workspace: WORKSPACE, units: this.#options.units };
    const lead = vm.leads.find(({ id }) =>
      (vm.muteUntilMs.get(id) ?? 0) <= this.nowMs
    );
    const asked = lead && this.#vms.get(lead.ip);
    if (asked && asked !== vm) {
      const answers = asked.isUp && asked.frozenUntilMs <= this.nowMs;
      if (!answers) vm.muteUntilMs.set(lead.id, this.nowMs + MUTE_MS);
      else if (asked.quotas.isAuthority) {
        const hasPassed = tryTake(asked.quotas, use);
        vm.quotas.noteCountedByLead(use, asked.quotas.leftFor(use));
        return hasPassed;
      }
    }
    return tryTake(vm.quotas, use);
  }
}

function tryTake(
  quotas: Quotas,
  use: { readonly workspace: string; readonly units: number },
): boolean {
  if (quotas.waitMs(use) > 0) return false;
  quotas.take(use);
  return true;
}
