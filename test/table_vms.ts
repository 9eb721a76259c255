/**
 * Several VMs in one process, each with membership and table, connected over loopback and to one stand-in platform. For
 * tests and benchmarks.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { EtcdKeyValue, WsTransport } from "../src/adapters/mod.ts";
import {
  type RowChange,
  rowKey,
  type TableRow,
  tableRow,
} from "../src/agreement/mod.ts";
import { hash32, Random, systemClock } from "../src/base/mod.ts";
import { Kernel, openLog } from "../src/kernel/mod.ts";
import {
  MembersService,
  TableEditor,
  type TablePeriods,
  TableService,
} from "../src/services/mod.ts";

/** Options of a {@link TableVm}. */
export interface TableVmOptions {
  readonly id: string;
  readonly region: string;
  readonly platformUrl: string;
  readonly seeds: readonly string[];
  readonly periods?: Partial<TablePeriods>;
}

/** A VM inside the test's process, with membership and table only. */
export class TableVm {
  readonly id: string;
  readonly region: string;
  readonly transport: WsTransport;
  readonly kernel = new Kernel(systemClock, openLog("silent"));
  readonly store: EtcdKeyValue;
  readonly table: TableService;
  readonly editor: TableEditor;
  #isOpen = true;

  private constructor(options: TableVmOptions, transport: WsTransport) {
    const { id, region, platformUrl, periods } = options;
    this.id = id;
    this.region = region;
    this.transport = transport;
    const urls = [platformUrl];
    this.store = new EtcdKeyValue({ urls, vmId: id, timeoutMs: 1000 });
    const random = new Random(hash32(id));
    this.table = new TableService({
      vm: { id, region },
      store: this.store,
      transport,
      random,
      periods,
    });
    this.editor = new TableEditor({
      service: this.table,
      vmId: id,
      clock: systemClock,
      random,
    });
  }

  static async open(options: TableVmOptions): Promise<TableVm> {
    const { id, region, seeds } = options;
    const transport = await WsTransport.open({
      vmId: id,
      region,
      secret: "vms-in-one-process",
      host: "127.0.0.1",
      port: 0,
      handshakeTimeoutMs: 500,
    });
    const vm = new TableVm(options, transport);
    const peerAddress = transport.address;
    const failureDomain = `${region}-1`;
    const callerUrl = `http://${peerAddress}`;
    await vm.kernel.start(
      new MembersService({
        vmId: id,
        region,
        failureDomain,
        peerAddress,
        callerUrl,
        transport,
        seeds,
      }),
    );
    await vm.kernel.start(vm.table);
    return vm;
  }

  /** Whether it has crashed. */
  get isClosed(): boolean {
    return !this.#isOpen;
  }

  /** The table version in force at this VM, 0 if there is none. */
  get version(): number {
    return this.table.table?.version ?? 0;
  }

  /** Submits changes as one edit. */
  edit(changes: readonly RowChange[], waitMs = 5000) {
    const proposal = { id: randomUUID(), author: "operator", changes };
    return this.editor.submit(proposal, Date.now() + waitMs);
  }

  /** Puts rows, without a condition on their current versions. */
  put(...rows: readonly unknown[]) {
    return this.edit(rows.map((it) => ({ type: "put", row: parseRow(it) })));
  }

  /** Returns the table's state as `ibisgap dump` shows it. */
  dump(): Record<string, unknown> {
    return this.table.dump() as Record<string, unknown>;
  }

  /** Ends as in a crash: connections break, and no other VM is notified. */
  async crash(): Promise<void> {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    await this.transport.terminate();
    await this.kernel.close(Date.now());
    await this.store.close();
  }
}

/** Parses a row and fills in defaults. */
export function parseRow(row: unknown): TableRow {
  return tableRow.parse(row);
}

/** Parses a row and returns its key. */
export function parseRowKey(row: unknown): string {
  return rowKey(parseRow(row));
}

/** Returns a region's row. Tests tell edits apart by its weight. */
export function makeRegionRow(id: string, weight = 1) {
  return { kind: "region", id, weight };
}

/** Opens `vmsPerRegion` VMs in each region. Each is seeded with the first three opened before it. */
export async function openTableVms(
  platformUrl: string,
  regions: readonly string[],
  vmsPerRegion: number,
  periods?: Partial<TablePeriods>,
): Promise<TableVm[]> {
  const vms: TableVm[] = [];
  for (let i = 0; i < vmsPerRegion; i++) {
    for (const region of regions) {
      const seeds = vms.slice(0, 3).map((vm) => vm.transport.address);
      const id = `${region}-${i}`;
      const options = { id, region, platformUrl, seeds, periods };
      vms.push(await TableVm.open(options));
    }
  }
  return vms;
}
