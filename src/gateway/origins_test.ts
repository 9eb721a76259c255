import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { Kernel } from "../kernel/mod.ts";
import { type LeadRecord, ORIGIN_TTL_MS } from "../region/mod.ts";
import { VERSIONS_KEY } from "../platform/mod.ts";
import { MemoryKeyValue } from "../standins/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import type { DatagramHandler } from "./datagrams.ts";
import { GatewayMetrics } from "./metrics.ts";
import { StreamOrigins } from "./origins.ts";

const SERVICE = "s";

/** One VM of a {@link Network}. */
interface NetworkVm {
  readonly origins: StreamOrigins;
  readonly handlers: Map<string, DatagramHandler>;
  versions: string[];
  entriesAgeMs: number;
  isCutOff: boolean;
  /** Whether it runs the former program, whose replies don't say whether it knows all versions. */
  isFormer: boolean;
  sent: number;
}

/** VMs of one region that exchange datagrams at once. */
class Network {
  readonly clock = new ManualClock();
  readonly #store = new MemoryKeyValue({ clock: this.clock });
  readonly #vms = new Map<string, NetworkVm>();
  readonly #stores: MemoryKeyValue[] = [];
  /** VMs among which limits for all of them are divided; more than are heard, right after a start. */
  sharers = 1;

  async add(
    ip: string,
    versions: string[],
    isFirstStart = this.#vms.size === 0,
  ): Promise<NetworkVm> {
    const handlers = new Map<string, DatagramHandler>();
    const store = new MemoryKeyValue({
      clock: this.clock,
      store: this.#store.store,
      faults: this.#store.faults,
      vmId: ip,
    });
    this.#stores.push(store);
    const origins = new StreamOrigins({
      self: { ip, region: "north", processId: ip },
      datagrams: {
        on: (method, handler) => void handlers.set(method, handler),
        send: (method, params, ips) => this.#send(ip, method, params, ips),
      },
      members: this.#members(),
      fleet: {
        services: () => [SERVICE],
        versionsOf: () => new Set(vm.versions),
      },
      store,
      routes: () => [],
      leastLeaseMs: 1_000,
      storeWritesPerS: 400,
      storeReadsPerS: 2_000,
      isFirstStart,
      metrics: new GatewayMetrics(),
      entriesAgeMs: () => vm.entriesAgeMs,
      refreshEntries: () =>
        Promise.resolve(!vm.isCutOff && vm.entriesAgeMs === 0),
    });
    const vm: NetworkVm = {
      origins,
      handlers,
      versions,
      entriesAgeMs: 0,
      isCutOff: false,
      isFormer: false,
      sent: 0,
    };
    this.#vms.set(ip, vm);
    await origins.start(new Kernel(this.clock, SILENT_LOG));
    return vm;
  }

  #members() {
    const vms = this.#vms;
    return {
      isLead: true,
      get order(): LeadRecord[] {
        return [...vms.keys()].map((ip) => ({ ip }) as LeadRecord);
      },
      vmCount: () => vms.size,
      sharerCount: () => this.sharers,
      vmsForCallers: () => [],
      otherRegions: () => [],
    };
  }

  #send(
    from: string,
    method: string,
    params: unknown,
    ips: readonly string[],
  ): void {
    const sender = this.#vms.get(from);
    for (const ip of ips) {
      const receiver = this.#vms.get(ip);
      if (!sender || !receiver) continue;
      sender.sent++;
      if (sender.isCutOff || receiver.isCutOff) continue;
      const copy = JSON.parse(JSON.stringify(params));
      if (sender.isFormer) delete copy.knowsAll;
      setImmediate(() => receiver.handlers.get(method)?.(copy, from));
    }
  }

  /** Lets the store hold a record of the versions in service that lacks the latest one. */
  async writeRecord(versions: readonly string[]): Promise<void> {
    const record = JSON.stringify([[SERVICE, versions]]);
    await this.#store.put(VERSIONS_KEY, record, {}, "other");
  }

  /** Calls to the store so far. */
  get storeCalls(): number {
    return this.#stores.reduce((sum, store) => sum + store.counts().other, 0);
  }

  /** Cuts a VM off from all others and from the store. */
  cutOff(vm: NetworkVm): void {
    vm.isCutOff = true;
    const [ip] = [...this.#vms].find(([, each]) => each === vm)!;
    this.#store.faults.set([{ vm: `^${ip}$`, outage: "refuse" }]);
  }

  /** Lets time pass until a promise is resolved. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let isOver = false;
    void promise.then(() => void (isOver = true));
    while (!isOver) await this.clock.advance(10);
    return promise;
  }
}

describe("the origins of streams", () => {
  it("are known to other VMs as long as the stream runs, and a while after", async (t) => {
    const network = new Network();
    const first = await network.add("10.0.0.1", ["v1", "v1.2"]);
    const second = await network.add("10.0.0.2", ["v1", "v1.2"]);
    first.origins.noteBegun("a", SERVICE, "v1");
    await network.clock.advance(3 * ORIGIN_TTL_MS);
    network.cutOff(first);
    t.like(await network.settle(second.origins.find("a", SERVICE)), {
      type: "known",
      version: "v1",
    });
    await network.clock.advance(ORIGIN_TTL_MS);
    const later = await network.settle(second.origins.find("a", SERVICE));
    t.is(later.type, "unknown");
  });

  it("are told once a second version serves, also of streams that began before", async (t) => {
    const network = new Network();
    const first = await network.add("10.0.0.1", ["v1"]);
    const second = await network.add("10.0.0.2", ["v1"]);
    first.origins.noteBegun("a", SERVICE, "v1");
    await network.clock.advance(1_000);
    t.is(first.sent, 0);
    first.versions = ["v1", "v1.2"];
    await network.clock.advance(1_000);
    network.cutOff(first);
    const found = await network.settle(second.origins.find("a", SERVICE));
    t.like(found, { type: "known", version: "v1", source: "told" });
  });

  it("are asked for by a VM that was not there when they were told", async (t) => {
    const network = new Network();
    const first = await network.add("10.0.0.1", ["v1", "v1.2"]);
    first.origins.noteBegun("a", SERVICE, "v1");
    await network.clock.advance(1_000);
    const started = await network.add("10.0.0.2", []);
    t.like(await network.settle(started.origins.find("a", SERVICE)), {
      type: "known",
      version: "v1",
      source: "asked",
    });
  });

  it("of a version that left before a VM started are not guessed there", async (t) => {
    const network = new Network();
    const first = await network.add("10.0.0.1", ["v1", "v1.2"]);
    await network.clock.advance(1_000);
    first.versions = ["v1.2"];
    const started = await network.add("10.0.0.2", ["v1.2"]);
    const found = await network.settle(started.origins.find("b", SERVICE));
    t.is(found.type, "unknown");
    t.deepEqual(
      found.type === "unknown" && [...found.seen].sort(),
      ["v1", "v1.2"],
    );
  });

  it("are not guessed by a VM that hears neither the store nor other VMs", async (t) => {
    const network = new Network();
    await network.add("10.0.0.1", ["v1", "v1.2"]);
    const alone = await network.add("10.0.0.2", ["v1"]);
    await network.clock.advance(2 * ORIGIN_TTL_MS);
    network.cutOff(alone);
    alone.entriesAgeMs = 10_000;
    const startMs = network.clock.monoMs();
    const found = await network.settle(alone.origins.find("a", SERVICE));
    t.like(found, { type: "unknown", isIncomplete: true });
    t.true(network.clock.monoMs() - startMs <= 300);
  });

  it("are not guessed by a VM that hears only VMs which have just started too", async (t) => {
    const network = new Network();
    await network.add("10.0.0.1", ["v1"], false);
    const asking = await network.add("10.0.0.2", ["v1"], false);
    await network.clock.advance(1_000);
    t.like(await network.settle(asking.origins.find("a", SERVICE)), {
      type: "unknown",
      seen: ["v1"],
      isIncomplete: true,
      replies: 1,
    });
  });

  /** Guards against a VM that has lost the store and counts as knowing a version which came since. */
  it("are not guessed by a VM that hears only VMs which hear the store no more, as it does", async (t) => {
    const network = new Network();
    const cutOff = await network.add("10.0.0.1", ["v1"]);
    const asking = await network.add("10.0.0.2", ["v1"]);
    await network.clock.advance(2 * ORIGIN_TTL_MS);
    for (const vm of [cutOff, asking]) vm.entriesAgeMs = 10_000;
    t.like(await network.settle(asking.origins.find("a", SERVICE)), {
      type: "unknown",
      seen: ["v1"],
      isIncomplete: true,
      replies: 1,
    });
  });

  /** Guards against a VM that goes by a record which was not written in time. */
  it("are read from the store by a VM that has just started, though it knows of one version only", async (t) => {
    const network = new Network();
    const ended = await network.add("10.0.0.1", ["v1", "v2"]);
    ended.origins.noteBegun("a", SERVICE, "v2");
    await network.clock.advance(1_000);
    network.cutOff(ended);
    await network.writeRecord(["v1"]);
    const started = await network.add("10.0.0.2", ["v1"]);
    await network.clock.advance(100);
    t.like(await network.settle(started.origins.find("a", SERVICE)), {
      type: "known",
      version: "v2",
      source: "stored",
    });
  });

  /** Guards against a fleet that starts and takes the store's writes up, as each VM thinks that it is alone. */
  it("are stored rarely by a VM that has heard of few others, but knows that there may be many", async (t) => {
    const network = new Network();
    network.sharers = 300;
    const vm = await network.add("10.0.0.1", ["v1", "v1.2"]);
    await network.clock.advance(1_000);
    const before = network.storeCalls;
    for (let stream = 0; stream < 20; stream++) {
      vm.origins.noteBegun(`${stream}`, SERVICE, "v1");
      await network.clock.advance(100);
    }
    // 300 VMs that write every 3.75 s use 80 of the 400 writes a second; the first one takes a lease too.
    const calls = network.storeCalls - before;
    t.true(calls <= 2, `${calls} calls`);
  });

  /** Guards against an answer of a version that has left, which goes on at the only one that is left. */
  it("are not taken from what serves now", async (t) => {
    const network = new Network();
    const vm = await network.add("10.0.0.1", ["v1"]);
    await network.clock.advance(1_000);
    t.is(vm.origins.onlyVersion(SERVICE), "v1");
    vm.versions = ["v2"];
    t.is(vm.origins.onlyVersion(SERVICE), undefined);
    await network.clock.advance(ORIGIN_TTL_MS + 1_000);
    t.is(vm.origins.onlyVersion(SERVICE), "v2");
    vm.entriesAgeMs = 10_000;
    t.is(vm.origins.onlyVersion(SERVICE), undefined);
  });

  it("are taken from a VM of the former program as it tells them", async (t) => {
    const network = new Network();
    const former = await network.add("10.0.0.1", ["v1"], false);
    former.isFormer = true;
    const asking = await network.add("10.0.0.2", ["v1"], false);
    await network.clock.advance(1_000);
    t.like(await network.settle(asking.origins.find("a", SERVICE)), {
      type: "unknown",
      seen: ["v1"],
      isIncomplete: false,
    });
  });

  it("cost no message where one version serves, but a question for each stream that is taken up", async (t) => {
    const network = new Network();
    const first = await network.add("10.0.0.1", ["v1"]);
    await network.add("10.0.0.2", ["v1"]);
    await network.clock.advance(ORIGIN_TTL_MS);
    first.origins.noteBegun("a", SERVICE, "v1");
    await network.clock.advance(1_000);
    t.is(first.sent, 0);
    const found = await network.settle(first.origins.find("b", SERVICE));
    t.like(found, {
      type: "unknown",
      seen: ["v1"],
      isIncomplete: false,
      replies: 1,
    });
    t.is(first.sent, 1);
  });

  it("are known from a VM that also sees a version too long to be told", async (t) => {
    const network = new Network();
    const first = await network.add("10.0.0.1", ["v1", "x".repeat(201)]);
    first.origins.noteBegun("a", SERVICE, "v1");
    await network.clock.advance(1_000);
    const started = await network.add("10.0.0.2", []);
    t.like(await network.settle(started.origins.find("a", SERVICE)), {
      type: "known",
      version: "v1",
    });
  });

  for (const isWatched of [true, false]) {
    it(`are known of a stream that runs on for long after its version left the store, ${isWatched ? "at a VM that asks nobody" : "at a VM that has just started"}`, async (t) => {
      const network = new Network();
      const first = await network.add("10.0.0.1", ["v1", "v1.2"]);
      const second = await network.add("10.0.0.2", ["v1", "v1.2"]);
      first.origins.noteBegun("a", SERVICE, "v1");
      await network.clock.advance(1_000);
      // The last upstream of v1 has no entry any more, but still serves the stream.
      first.versions = ["v1.2"];
      second.versions = ["v1.2"];
      await network.clock.advance(3 * ORIGIN_TTL_MS);
      first.origins.noteEnded("a", false);
      const asked = isWatched
        ? second
        : await network.add("10.0.0.3", ["v1.2"]);
      t.like(await network.settle(asked.origins.find("a", SERVICE)), {
        type: "known",
        version: "v1",
      });
    });
  }

  it("are known from a VM that has seen many versions", async (t) => {
    const network = new Network();
    const versions = Array.from({ length: 33 }, (_, index) => `v${index}`);
    const first = await network.add("10.0.0.1", versions);
    first.origins.noteBegun("a", SERVICE, "v1");
    await network.clock.advance(1_000);
    const started = await network.add("10.0.0.2", []);
    t.like(await network.settle(started.origins.find("a", SERVICE)), {
      type: "known",
      version: "v1",
    });
  });

  for (
    const [name, later] of [
      ["a second version comes after", ["v1", "v1.2"]],
      ["its version is replaced after", ["v1.2"]],
    ] as const
  ) {
    it(`are known to the VM itself if ${name} a stream has run for long`, async (t) => {
      const network = new Network();
      const only = await network.add("10.0.0.1", ["v1"]);
      only.origins.noteBegun("a", SERVICE, "v1");
      await network.clock.advance(2 * ORIGIN_TTL_MS);
      // Another stream begins: what is too old is forgotten then.
      only.origins.noteBegun("b", SERVICE, "v1");
      only.versions = [...later];
      await network.clock.advance(2 * ORIGIN_TTL_MS);
      only.origins.noteEnded("a", false);
      t.like(await network.settle(only.origins.find("a", SERVICE)), {
        type: "known",
        version: "v1",
      });
    });
  }
});
