/**
 * Claim services of several VMs and regions in one process, on a manual clock. Tests can cut the links between the VMs,
 * which also hides the VMs from each other, and the store.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type CallError,
  type Handler,
  type Sender,
  Transport,
} from "../src/adapters/mod.ts";
import type { ShardLimits } from "../src/agreement/mod.ts";
import { ManualClock } from "../src/base/mod.ts";
import { Kernel, openLog, type TaskPort } from "../src/kernel/mod.ts";
import {
  ClaimsService,
  type MembersMessages,
  type TableMessages,
  type VmInfo,
} from "../src/services/mod.ts";
import { MemoryKeyValue } from "../src/standins/memory_key_value.ts";
import { PlatformFaults } from "../src/standins/platform_faults.ts";
import { PlatformStore } from "../src/standins/platform_store.ts";

/** Calls the other VMs of a {@link ClaimsRegions} directly. Params and answers go through JSON as on a real link. */
class TestTransport extends Transport {
  readonly #handlers = new Map<string, Handler>();
  readonly #regions: ClaimsRegions;
  readonly #self: Sender;

  constructor(regions: ClaimsRegions, self: Sender) {
    super();
    this.#regions = regions;
    this.#self = self;
  }
  handle(method: string, handler: Handler): void {
    this.#handlers.set(method, handler);
  }
  async call(
    address: string,
    method: string,
    params: unknown,
  ): Promise<Result<unknown, CallError>> {
    const target = this.#regions.findReachable(this.#self.vmId, address);
    if (!target) return err({ kind: "unreachable", message: address });
    try {
      const answer = await target.transport.answer(method, params, this.#self);
      if (this.#regions.findReachable(this.#self.vmId, address)) {
        return ok(answer);
      }
      return err({ kind: "lost", message: address });
    } catch (error) {
      return err({ kind: "failed", message: String(error) });
    }
  }
  async answer(
    method: string,
    params: unknown,
    from: Sender,
  ): Promise<unknown> {
    const request = JSON.parse(JSON.stringify(params));
    const answer = await this.#handlers.get(method)!(request, from);
    return JSON.parse(JSON.stringify(answer));
  }
  notify(): void {}
  bytes() {
    return { sent: 0, received: 0 };
  }
  async close(): Promise<void> {}
}

/** A VM of a {@link ClaimsRegions}. */
export interface TestVm {
  readonly info: VmInfo;
  readonly claims: ClaimsService;
  readonly transport: TestTransport;
  readonly store: MemoryKeyValue;
}

/** Returns the claim key of a call to service `ledger`. */
export const makeClaimKey = (key: string, workspace = "w") => ({
  service: "ledger",
  workspace,
  key,
});

/** Regions of VMs that run claim services. VM ids are `REGION-N`. */
export class ClaimsRegions {
  readonly clock = new ManualClock();
  readonly faults = new PlatformFaults();
  /** Home regions of workspaces. The home of any other workspace is the region where its call arrives. */
  readonly homeByWorkspace = new Map<string, string>();
  readonly platform = new PlatformStore(() => this.clock.monoMs());
  readonly #limits: Partial<ShardLimits>;
  readonly #vms = new Map<string, TestVm>();
  readonly #cutLinks = new Set<string>();
  #incarnation = 0;

  constructor(limits: Partial<ShardLimits> = {}) {
    this.#limits = limits;
  }

  /** Starts a VM. A VM that has crashed restarts with a new incarnation. */
  async start(id: string): Promise<TestVm> {
    const region = id.split("-")[0];
    const info: VmInfo = {
      id,
      incarnation: ++this.#incarnation,
      region,
      failureDomain: id,
      peerAddress: id,
      callerUrl: "",
      state: "live",
      tableVersion: 0,
    };
    const store = new MemoryKeyValue({
      clock: this.clock,
      store: this.platform,
      faults: this.faults,
      vmId: id,
    });
    const transport = new TestTransport(this, { vmId: id, region });
    const claims = new ClaimsService({
      me: { id, incarnation: info.incarnation },
      region,
      store,
      transport,
      members: this.#makeMembersPort(info),
      table: this.#makeTablePort(),
      limits: this.#limits,
    });
    const vm = { info, claims, transport, store };
    this.#vms.set(id, vm);
    await new Kernel(this.clock, openLog("silent")).start(claims);
    return vm;
  }

  /** Crashes a VM: it is removed, and its calls reach neither the store nor other VMs. */
  crash(id: string): void {
    this.#vms.delete(id);
    this.faults.set([{ vm: `^${id}$`, outage: "cut" }]);
  }

  /** Cuts the link between two VMs, or restores it. */
  setLinkCut(a: string, b: string, cut: boolean): void {
    const link = [a, b].sort().join("|");
    if (cut) this.#cutLinks.add(link);
    else this.#cutLinks.delete(link);
  }

  findReachable(from: string, address: string): TestVm | undefined {
    const isCut = this.#cutLinks.has([from, address].sort().join("|"));
    return isCut || !this.#vms.has(from) ? undefined : this.#vms.get(address);
  }

  /** Claims a key at a VM and advances the clock until the verdict arrives, by `withinMs` at most. */
  async claim(vm: TestVm, key: string, withinMs = 1000) {
    const verdict = vm.claims.ask("claim", {
      ...makeClaimKey(key),
      bodyDigest: "body",
      deadlineMs: this.clock.nowMs() + 20_000,
    });
    return await this.advanceUntilSettled(verdict, withinMs);
  }

  /** Advances the clock until a promise settles. Throws if that takes longer than `withinMs`. */
  async advanceUntilSettled<T>(
    promise: Promise<T>,
    withinMs: number,
  ): Promise<T> {
    let settled: { readonly value: T } | undefined;
    void promise.then((value) => settled = { value });
    for (let passedMs = 0; passedMs <= withinMs && !settled; passedMs += 20) {
      await this.clock.advance(20);
    }
    if (!settled) throw new Error(`not settled within ${withinMs} ms`);
    return settled.value;
  }

  /** Returns the VM of a region that considers itself the shard's owner. */
  findOwner(region: string): TestVm {
    for (const vm of this.#vms.values()) {
      const [shard] = (vm.claims.dump() as { shards: { role: string }[] })
        .shards;
      if (vm.info.region === region && shard.role === "owner") return vm;
    }
    throw new Error(`no owner in ${region}`);
  }

  #makeTablePort(): TaskPort<TableMessages> {
    const findWorkspace = (id: string) => {
      const home = this.homeByWorkspace.get(id);
      return home === undefined ? undefined : { home };
    };
    return { ask: () => ({ workspace: findWorkspace }) } as unknown as TaskPort<
      TableMessages
    >;
  }

  #makeMembersPort(self: VmInfo): TaskPort<MembersMessages> {
    const findVisible = () =>
      [...this.#vms.values()].map((vm) => vm.info).filter((vm) =>
        vm.id === self.id || this.findReachable(self.id, vm.id)
      );
    const ask = (type: keyof MembersMessages) => {
      if (type === "region") {
        return findVisible().filter((vm) => vm.region === self.region);
      }
      const remoteVms = findVisible().filter((vm) => vm.region !== self.region);
      const regions = new Set(remoteVms.map((vm) => vm.region));
      return new Map(
        [...regions].map((region) => [
          region,
          remoteVms.filter((vm) => vm.region === region),
        ]),
      );
    };
    return { ask } as unknown as TaskPort<MembersMessages>;
  }
}
