/**
 * A testbed for a trace: it starts the topology of the trace's header as child processes on loopback (daemons, stand-in
 * platform and upstreams), writes the table, and injects the faults.
 *
 * @module
 */

import got from "got";
import { type TableRow, tableRow } from "../src/agreement/mod.ts";
import { secretDigest } from "../src/base/mod.ts";
import {
  buildDefaultKey,
  FaultInjector,
  type RecordSource,
  type Target,
  type Trace,
  type TraceFault,
  type TraceHeader,
} from "../src/replay/mod.ts";
import { Cluster, type StandIn, type Vm } from "../test/cluster.ts";

type Service = TraceHeader["topology"]["services"][number];
type VmFault = Extract<TraceFault, { target: "vm" }>;

/** Runs the processes of one trace's topology and injects its faults. */
export class ReplayTestbed extends FaultInjector {
  readonly #trace: Trace;
  readonly #cluster = new Cluster();
  readonly #upstreams = new Map<string, StandIn & { region: string }>();
  readonly #cutRegions = new Set<string>();
  #isStoreDown = false;

  private constructor(trace: Trace) {
    super();
    this.#trace = trace;
  }

  /** Starts all processes and waits until every VM knows its region and the table. */
  static async open(trace: Trace): Promise<ReplayTestbed> {
    const testbed = new ReplayTestbed(trace);
    try {
      await testbed.#start();
    } catch (error) {
      await testbed.close();
      throw error;
    }
    return testbed;
  }

  /** The VMs that callers send to, each with its region. */
  targets(): Target[] {
    return [...this.#cluster.vms.values()].map(({ url, region }) => ({
      url,
      region,
    }));
  }

  /** The upstreams' control URLs, where the records of the requests that ran are read. */
  records(): RecordSource[] {
    return [...this.#upstreams].map(([upstream, { region, controlUrl }]) => ({
      upstream,
      region,
      controlUrl,
    }));
  }

  async inject(fault: TraceFault): Promise<void> {
    switch (fault.target) {
      case "upstream": {
        const upstream = this.#upstreams.get(fault.upstream);
        if (!upstream) throw new Error(`unknown upstream ${fault.upstream}`);
        const json = { set: fault.faults };
        await got.post(`${upstream.controlUrl}/faults`, { json });
        return;
      }
      case "vm":
        return await this.#injectVmFault(fault);
      case "store":
        this.#isStoreDown = fault.action === "down";
        return await this.#applyPlatformFaults();
      case "link":
        if (fault.action === "cut") this.#cutRegions.add(fault.region);
        else this.#cutRegions.delete(fault.region);
        await this.#applyPlatformFaults();
        return await this.#applyLinkFaults();
    }
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    await this.#cluster.close();
  }

  async #start(): Promise<void> {
    await this.#cluster.startPlatform();
    await this.#startUpstreams();
    await this.#cluster.seedTable(this.#buildRows());
    const seeds: string[] = [];
    for (const { id, vms } of this.#trace.header.topology.regions) {
      for (let n = 0; n < vms; n++) {
        const vm = await this.#startVm(`${id}-${n}`, id, seeds);
        if (n === 0) seeds.push(vm.peerAddress);
      }
    }
    await this.#applyLinkFaults();
    await this.#waitUntilReady();
  }

  async #startVm(id: string, region: string, seeds: string[]): Promise<Vm> {
    return await this.#cluster.startVm(id, region, seeds, {
      log: { level: "warn" },
    });
  }

  async #waitUntilReady(): Promise<void> {
    const { regions } = this.#trace.header.topology;
    const vmCounts = new Map(regions.map(({ id, vms }) => [id, vms]));
    for (const vm of this.#cluster.vms.values()) {
      await this.#cluster.waitFor(
        vm,
        ({ tableVersion, region }) =>
          tableVersion !== null && region.length === vmCounts.get(vm.region),
      );
    }
  }

  async #startUpstreams(): Promise<void> {
    for (const service of this.#trace.header.topology.services) {
      for (const [region, count] of Object.entries(service.upstreams)) {
        const standIns = await this.#startPool(service, count);
        standIns.forEach((standIn, n) =>
          this.#upstreams.set(`${service.row.id}-${region}-${n}`, {
            ...standIn,
            region,
          })
        );
      }
    }
  }

  async #startPool(service: Service, count: number): Promise<StandIn[]> {
    if (service.row.type === "plain") {
      return await this.#cluster.startUpstreams(0, count);
    }
    const { slots, prefillTokensPerS, decodeTokensPerS } = service;
    const options = {
      model: service.row.id,
      slots,
      prefillTokensPerS,
      decodeTokensPerS,
      streamTokensPerS: service.streamTokensPerS,
      cacheTokens: service.cacheTokens,
      resumes: service.resumes,
    };
    return await this.#cluster.startUpstreams(count, 0, [
      "--options",
      JSON.stringify(options),
    ]);
  }

  #buildRows(): TableRow[] {
    const { regions, services, workspaces } = this.#trace.header.topology;
    const rows: object[] = [
      ...regions.map(({ id, linkMs }) => ({ kind: "region", id, linkMs })),
      ...services.map((service) => service.row),
      ...workspaces.map(({ id, home, bound, weight }) => ({
        kind: "workspace",
        id,
        home,
        bound,
        weight,
        keyDigests: [secretDigest(buildDefaultKey(id))],
      })),
      ...services.flatMap((service) => this.#buildServiceRows(service)),
    ];
    return rows.map((row) => tableRow.parse(row));
  }

  #buildServiceRows(service: Service): object[] {
    const { row, slots, prefillTokensPerS, decodeTokensPerS, resumes } =
      service;
    const upstreams = [...this.#upstreams].filter(([id]) =>
      id.startsWith(`${row.id}-`)
    );
    return [
      ...Object.entries(service.mayGoTo).map(([region, mayGoTo]) => ({
        kind: "traffic",
        service: row.id,
        region,
        mayGoTo,
      })),
      ...upstreams.map(([id, { url, region }]) => ({
        kind: "upstream",
        id,
        service: row.id,
        region,
        failureDomain: `${region}-a`,
        url,
        slots,
        prefillTokensPerS,
        decodeTokensPerS,
        resumes,
      })),
    ];
  }

  async #injectVmFault({ vm: id, action }: VmFault): Promise<void> {
    const vm = this.#cluster.vms.get(id);
    if (!vm) throw new Error(`unknown VM ${id}`);
    const signals = {
      kill: "SIGKILL",
      stop: "SIGTERM",
      pause: "SIGSTOP",
      resume: "SIGCONT",
    } as const;
    if (action !== "start") return vm.proc.signal(signals[action]);
    const others = [...this.#cluster.vms.values()].filter((o) => o.id !== id);
    const seeds = others.map((other) => other.peerAddress);
    await this.#startVm(id, vm.region, seeds);
    await this.#applyLinkFaults();
  }

  /** Sets the store's faults. A region that is cut off does not reach the store either. */
  async #applyPlatformFaults(): Promise<void> {
    const faults = this.#isStoreDown
      ? [{ outage: "cut" }]
      : [...this.#cutRegions].map((region) => ({
        vm: `^${region}-`,
        outage: "cut",
      }));
    await this.#cluster.setPlatformFaults(faults);
  }

  /** Sets the delays of all links, and which links are cut. */
  async #applyLinkFaults(): Promise<void> {
    const { regions } = this.#trace.header.topology;
    const running = [...this.#cluster.vms.values()].filter((vm) =>
      vm.proc.exitCode === undefined
    );
    await Promise.all(running.map(async (vm) => {
      const own = regions.find((region) => region.id === vm.region);
      const faults = Object.entries(own?.linkMs ?? {}).map(
        ([region, delayMs]) => {
          const cut =
            this.#cutRegions.has(region) !== this.#cutRegions.has(vm.region);
          return [region, { peer: { region }, cut, delayMs }];
        },
      );
      await this.#cluster.setLinkFaults(vm, Object.fromEntries(faults));
    }));
  }
}

/** Opens the testbed of a trace, waits until it is ready, calls `use` and closes it. */
export async function withTestbed<T>(
  trace: Trace,
  use: (testbed: ReplayTestbed) => Promise<T>,
): Promise<T> {
  const testbed = await ReplayTestbed.open(trace);
  try {
    return await use(testbed);
  } finally {
    await testbed.close();
  }
}
