/**
 * Claim services of several VMs in one process: links, members and a store that tests can cut, on a manual clock.
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

class HubTransport extends Transport {
  readonly #handlers = new Map<string, Handler>();
  readonly #hub: ClaimsRegions;
  readonly #me: Sender;

  constructor(hub: ClaimsRegions, me: Sender) {
    super();
    this.#hub = hub;
    this.#me = me;
  }
  handle(method: string, handler: Handler): void {
    this.#handlers.set(method, handler);
  }
  async call(
    address: string,
    method: string,
    params: unknown,
  ): Promise<Result<unknown, CallError>> {
    const to = this.#hub.reachable(this.#me.vmId, address);
    if (!to) return err({ kind: "unreachable", message: address });
    try {
      const answer = await to.transport.answer(method, params, this.#me);
      if (this.#hub.reachable(this.#me.vmId, address)) return ok(answer);
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
    const sent = JSON.parse(JSON.stringify(params));
    const answer = await this.#handlers.get(method)!(sent, from);
    return JSON.parse(JSON.stringify(answer));
  }
  notify(): void {}
  bytes() {
    return { sent: 0, received: 0 };
  }
  async close(): Promise<void> {}
}

/** One VM of the test. */
export interface TestVm {
  readonly info: VmInfo;
  readonly claims: ClaimsService;
  readonly transport: HubTransport;
  readonly store: MemoryKeyValue;
}

/** Names a call in a test. */
export const callKey = (key: string, workspace = "w") => ({
  service: "ledger",
  workspace,
  key,
});

/** See the module's comment. VM ids are `REGION-N`. */
export class ClaimsRegions {
  readonly clock = new ManualClock();
  readonly faults = new PlatformFaults();
  /** Homes of workspaces; others are at home wherever they arrive. */
  readonly homes = new Map<string, string>();
  readonly platform = new PlatformStore(() => this.clock.monoMs());
  readonly #limits: Partial<ShardLimits>;
  readonly #vms = new Map<string, TestVm>();
  readonly #cut = new Set<string>();
  #incarnation = 0;

  constructor(limits: Partial<ShardLimits> = {}) {
    this.#limits = limits;
  }

  /** Starts a VM; a VM that has crashed comes back in a new incarnation. */
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
    const transport = new HubTransport(this, { vmId: id, region });
    const claims = new ClaimsService({
      me: { id, incarnation: info.incarnation },
      region,
      store,
      transport,
      members: this.#membersOf(info),
      table: this.#tablePort(),
      limits: this.#limits,
    });
    const vm = { info, claims, transport, store };
    this.#vms.set(id, vm);
    await new Kernel(this.clock, openLog("silent")).start(claims);
    return vm;
  }

  /** The VM is gone: nothing it does is seen any more. */
  crash(id: string): void {
    this.#vms.delete(id);
    this.faults.set([{ vm: `^${id}$`, outage: "cut" }]);
  }

  /** Cuts the link between two VMs, or mends it. */
  setCut(a: string, b: string, cut: boolean): void {
    const link = [a, b].sort().join("|");
    if (cut) this.#cut.add(link);
    else this.#cut.delete(link);
  }

  reachable(from: string, address: string): TestVm | undefined {
    const isCut = this.#cut.has([from, address].sort().join("|"));
    return isCut || !this.#vms.has(from) ? undefined : this.#vms.get(address);
  }

  /** Claims a key at a VM and lets time pass until the verdict is there, at most `withinMs`. */
  async claim(vm: TestVm, key: string, withinMs = 1000) {
    const asked = vm.claims.ask("claim", {
      ...callKey(key),
      bodyDigest: "body",
      deadlineMs: this.clock.nowMs() + 20_000,
    });
    return await this.settle(asked, withinMs);
  }

  /** Lets time pass until a promise settles; fails if it takes longer than `withinMs`. */
  async settle<T>(promise: Promise<T>, withinMs: number): Promise<T> {
    let value: { readonly it: T } | undefined;
    void promise.then((it) => value = { it });
    for (let passedMs = 0; passedMs <= withinMs && !value; passedMs += 20) {
      await this.clock.advance(20);
    }
    if (!value) throw new Error(`not settled within ${withinMs} ms`);
    return value.it;
  }

  /** The VM that owns the shard, as the VMs see it. */
  owner(region: string): TestVm {
    for (const vm of this.#vms.values()) {
      const [shard] = (vm.claims.dump() as { shards: { role: string }[] })
        .shards;
      if (vm.info.region === region && shard.role === "owner") return vm;
    }
    throw new Error(`no owner in ${region}`);
  }

  #tablePort(): TaskPort<TableMessages> {
    const workspace = (id: string) => {
      const home = this.homes.get(id);
      return home === undefined ? undefined : { home };
    };
    return { ask: () => ({ workspace }) } as unknown as TaskPort<TableMessages>;
  }

  #membersOf(me: VmInfo): TaskPort<MembersMessages> {
    const seen = () =>
      [...this.#vms.values()].map((vm) => vm.info).filter((vm) =>
        vm.id === me.id || this.reachable(me.id, vm.id)
      );
    const ask = (type: keyof MembersMessages) => {
      if (type === "region") {
        return seen().filter((vm) => vm.region === me.region);
      }
      const others = seen().filter((vm) => vm.region !== me.region);
      const regions = new Set(others.map((vm) => vm.region));
      return new Map(
        [...regions].map((region) => [
          region,
          others.filter((vm) => vm.region === region),
        ]),
      );
    };
    return { ask } as unknown as TaskPort<MembersMessages>;
  }
}
