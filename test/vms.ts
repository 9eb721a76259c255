/**
 * Several VMs in one process, each with a kernel, transport, membership and slots, connected over loopback. For tests
 * and benchmarks.
 *
 * @module
 */

import { WsTransport } from "../src/adapters/mod.ts";
import {
  type MembershipTimes,
  Table,
  type TableRow,
  tableRow,
} from "../src/agreement/mod.ts";
import { systemClock } from "../src/base/mod.ts";
import type { SlotRequest } from "../src/decisions/mod.ts";
import { type Handlers, Kernel, openLog, Task } from "../src/kernel/mod.ts";
import {
  type LoadSource,
  type MembersMessages,
  MembersService,
  type SlotsMessages,
  SlotsService,
  type TableMessages,
  type VmInfo,
} from "../src/services/mod.ts";

/** A table service that returns the table it is given. */
export class FixedTable extends Task<TableMessages> {
  readonly name = "table";
  table: Table | undefined;
  protected readonly handlers: Handlers<TableMessages> = {
    current: () => this.table,
    waitFor: () => this.table,
  };

  constructor(table?: Table) {
    super();
    this.table = table;
  }
  async start(): Promise<void> {}
  async close(): Promise<void> {}
  dump(): unknown {
    return { version: this.table?.version };
  }
}

/** Returns a table of these rows, with defaults filled in. */
export function makeTable(version: number, rows: readonly unknown[]): Table {
  const parsed: TableRow[] = rows.map((row) => tableRow.parse(row));
  return Table.of(version, parsed.map((row) => ({ row, version })));
}

/** Returns a table with one service, `plan`, and its upstreams in each region. */
export function makePlanTable(
  version: number,
  regions: readonly string[],
  upstreamCount: number,
  slotsPerUpstream: number,
): Table {
  const rows: unknown[] = [{ kind: "service", id: "plan", type: "model" }];
  for (const region of regions) {
    rows.push({ kind: "region", id: region });
    for (let n = 0; n < upstreamCount; n++) {
      rows.push({
        kind: "upstream",
        id: `${region}-u${n}`,
        service: "plan",
        region,
        failureDomain: `${region}-1`,
        url: `http://127.0.0.1:1/${region}-u${n}`,
        slots: slotsPerUpstream,
      });
    }
  }
  return makeTable(version, rows);
}

/** Returns a request for a slot of `plan`. */
export function makePlanRequest(
  attemptId: string,
  overrides: Partial<SlotRequest> = {},
): SlotRequest {
  const nowMs = Date.now();
  return {
    attemptId,
    service: "plan",
    workspace: "convoy",
    priority: 0,
    arrivedAtMs: nowMs,
    deadlineMs: nowMs + 60_000,
    prefixHashes: [],
    promptTokens: 100,
    expectedOutputTokens: 20,
    exclude: [],
    tableVersion: 1,
    ...overrides,
  };
}

/** What a VM's dump says of a pool that it leads. */
export interface LedPool {
  readonly collecting: boolean;
  readonly waiting: number;
  readonly granted: number;
}

/** Options of a {@link Vm}. */
export interface VmOptions {
  readonly id: string;
  readonly region: string;
  readonly table: Table;
  readonly seeds: readonly string[];
  /** If 0 or absent, any free port is used. */
  readonly port?: number;
  readonly times?: MembershipTimes;
  readonly loadSource?: LoadSource;
}

/** A VM inside the test's process. */
export class Vm {
  readonly id: string;
  readonly region: string;
  readonly transport: WsTransport;
  readonly kernel: Kernel;
  readonly table: FixedTable;

  private constructor(options: VmOptions, transport: WsTransport) {
    this.id = options.id;
    this.region = options.region;
    this.transport = transport;
    this.kernel = new Kernel(systemClock, openLog("silent"));
    this.table = new FixedTable(options.table);
  }

  static async open(options: VmOptions): Promise<Vm> {
    const { id, region, seeds, times, loadSource } = options;
    const transport = await WsTransport.open({
      vmId: id,
      region,
      secret: "vms-in-one-process",
      host: "127.0.0.1",
      port: options.port ?? 0,
      handshakeTimeoutMs: 500,
    });
    const vm = new Vm(options, transport);
    const peerAddress = transport.address;
    await vm.kernel.start(vm.table);
    await vm.kernel.start(
      new MembersService({
        vmId: id,
        region,
        failureDomain: `${region}-1`,
        peerAddress,
        callerUrl: `http://${peerAddress}`,
        transport,
        seeds,
        times,
      }),
    );
    await vm.kernel.start(
      new SlotsService({ vmId: id, region, transport, loadSource }),
    );
    return vm;
  }

  get address(): string {
    return this.transport.address;
  }
  get port(): number {
    return Number(this.address.split(":")[1]);
  }
  get members() {
    return this.kernel.get<MembersMessages>("members");
  }
  get slots() {
    return this.kernel.get<SlotsMessages>("slots");
  }

  /** Returns the VMs of its region as it sees them, by id. */
  async readRegion(): Promise<Map<string, VmInfo>> {
    const region = await this.members.ask("region", undefined);
    return new Map(region.map((info) => [info.id, info]));
  }

  /** Returns the keys of the pools that it leads. */
  ledPoolKeys(): string[] {
    return Object.keys(this.#dumpLedPools());
  }

  /** Returns a pool that it leads, `undefined` if it does not lead it. */
  ledPool(pool: string): LedPool | undefined {
    return this.#dumpLedPools()[pool];
  }

  #dumpLedPools(): Record<string, LedPool> {
    const slots = this.kernel.dump().slots as
      | { leads: { pools: Record<string, LedPool> } }
      | undefined;
    return slots?.leads.pools ?? {};
  }

  /** Ends as in a crash: connections break, and no other VM is notified. */
  async crash(): Promise<void> {
    await this.transport.terminate();
    await this.kernel.close(Date.now());
  }

  /** Stops in an orderly way. */
  async stop(): Promise<void> {
    await this.kernel.close(Date.now() + 5000);
    await this.transport.close();
  }
}

/** Opens `count` VMs of a region, `REGION-0` first. Each is seeded with the first three opened before it. */
export async function openRegion(
  region: string,
  count: number,
  options: Omit<VmOptions, "id" | "region" | "seeds"> & {
    readonly seeds?: readonly string[];
  },
): Promise<Vm[]> {
  const vms: Vm[] = [];
  for (let n = 0; n < count; n++) {
    const earlierAddresses = vms.slice(0, 3).map((vm) => vm.address);
    const seeds = [...earlierAddresses, ...options.seeds ?? []];
    vms.push(
      await Vm.open({ ...options, id: `${region}-${n}`, region, seeds }),
    );
  }
  return vms;
}

/** Waits until `isTrue`. Fails after 30 s, which only guards against a hang. */
export async function waitUntil(
  description: string,
  isTrue: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = Date.now() + 30_000;
  while (!await isTrue()) {
    if (Date.now() > deadlineMs) {
      throw new Error(`timed out waiting for: ${description}`);
    }
    await systemClock.sleep(20);
  }
}

/** Waits until every VM sees exactly these VMs as live. */
export async function waitUntilAgreed(vms: readonly Vm[]): Promise<void> {
  const ids = vms.map((vm) => vm.id).sort().join();
  await waitUntil(`all see ${ids}`, async () => {
    for (const vm of vms) {
      const seen = [...(await vm.readRegion()).values()];
      const live = seen.filter((info) => info.state === "live");
      if (live.map((info) => info.id).sort().join() !== ids) return false;
    }
    return true;
  });
}

/** Waits until exactly one VM leads this pool, and returns it. */
export async function waitForLead(
  vms: readonly Vm[],
  pool: string,
): Promise<Vm> {
  const findLeads = () => vms.filter((vm) => vm.ledPoolKeys().includes(pool));
  await waitUntil(`one VM leads ${pool}`, () => findLeads().length === 1);
  return findLeads()[0];
}
