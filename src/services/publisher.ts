/**
 * What one VM of a region tells the platform: the weights of the region's upstreams, and the entry VMs for callers.
 *
 * @module
 */

import type {
  CallerDirectory,
  DirectoryEntry,
  PlatformError,
  Weights,
  WeightStore,
} from "../adapters/mod.ts";
import type { Table } from "../agreement/mod.ts";
import { backoffMs, type Random, rendezvous, type Timer } from "../base/mod.ts";
import { type Kernel, Task } from "../kernel/mod.ts";
import type { Result } from "neverthrow";
import type { MembersMessages, TableMessages, VmInfo } from "./messages.ts";

/** Between two looks at what has changed. */
const PERIOD_MS = 1000;
/** What stands at the platform is written again after this, in case another publisher wrote an older state. */
const REFRESH_MS = 60_000;
/** The platform refuses beyond its rate; all regions share it. */
const RETRY = { firstMs: 1000, mostMs: 15_000 };

/** What a {@link PublisherService} is made of. */
export interface PublisherOptions {
  readonly vm: { readonly id: string; readonly region: string };
  readonly weights?: WeightStore;
  readonly directory?: CallerDirectory;
  readonly random: Random;
}

interface Item {
  /** What was last published, as text; `undefined` before the first time. */
  text?: string;
  atMs: number;
  retryAtMs: number;
  failures: number;
}

/**
 * Its name is `publisher`; it answers no messages. One VM of a region publishes, chosen by rendezvous hash over the live
 * ones; two that disagree for a moment write the same state twice, which harms nobody.
 */
export class PublisherService extends Task {
  readonly name = "publisher";
  protected readonly handlers = {};
  readonly #options: PublisherOptions;
  readonly #items = new Map<string, Item>();
  #kernel!: Kernel;
  #timer: Timer | undefined;
  #running = false;
  #published = 0;
  #error: PlatformError | undefined;

  constructor(options: PublisherOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    this.#kernel = kernel;
    this.#timer = kernel.clock.every(PERIOD_MS, () => void this.#run());
    return Promise.resolve();
  }

  async close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    await this.#options.weights?.close();
    await this.#options.directory?.close();
  }

  dump(): unknown {
    return {
      items: [...this.#items.keys()],
      published: this.#published,
      error: this.#error,
    };
  }

  async #run(): Promise<void> {
    if (this.#running) return;
    this.#running = true;
    try {
      await this.#publishAll();
    } catch (error) {
      this.#kernel.log.error("publishing failed", { error: String(error) });
    } finally {
      this.#running = false;
    }
  }

  async #publishAll(): Promise<void> {
    const { vm, directory } = this.#options;
    const vms = await this.#kernel.get<MembersMessages>("members")
      .ask("region", undefined);
    if (publisherOf(vm.region, vms) !== vm.id) return this.#items.clear();
    if (directory) {
      const entries = directoryOf(vms);
      await this.#publish(
        "directory",
        entries,
        () => directory.publish(vm.region, entries),
      );
    }
    const table = await this.#kernel.get<TableMessages>("table")
      .ask("current", undefined);
    if (table) await this.#publishWeights(table);
  }

  async #publishWeights(table: Table): Promise<void> {
    const { vm, weights } = this.#options;
    if (!weights) return;
    for (const [service, values] of weightsOf(table, vm.region)) {
      await this.#publish(
        `weights/${service}`,
        values,
        () => weights.publish(service, vm.region, values),
      );
    }
  }

  /** Writes only what has changed, or has stood for long; after a refusal it waits longer each time. */
  async #publish(
    name: string,
    value: unknown,
    write: () => Promise<Result<void, PlatformError>>,
  ): Promise<void> {
    const { clock } = this.#kernel;
    const nowMs = clock.monoMs();
    const item = this.#items.get(name) ??
      { atMs: 0, retryAtMs: 0, failures: 0 };
    this.#items.set(name, item);
    const text = JSON.stringify(value);
    const due = item.text !== text || nowMs >= item.atMs + REFRESH_MS;
    if (!due || nowMs < item.retryAtMs) return;
    const result = await write();
    if (result.isOk()) {
      Object.assign(item, { text, atMs: nowMs, failures: 0 });
      this.#published++;
      this.#error = undefined;
      return;
    }
    const { random } = this.#options;
    item.retryAtMs = nowMs + backoffMs(item.failures++, RETRY, random);
    this.#error = result.error;
    const { kind } = result.error;
    this.#kernel.log.warn("publish refused", { name, kind });
  }
}

/** The VM that publishes for its region. */
export function publisherOf(
  region: string,
  vms: readonly VmInfo[],
): string | undefined {
  const ids = vms.filter((vm) => vm.state === "live").map((vm) => vm.id);
  return rendezvous(`publish/${region}`, ids, (id) => id)[0];
}

/** The entry VMs callers may use: a leaving one is not among them, so that it gets no new callers. */
export function directoryOf(vms: readonly VmInfo[]): DirectoryEntry[] {
  return vms.filter((vm) => vm.state === "live")
    .map((vm) => ({ vmId: vm.id, url: vm.callerUrl, weight: 1 }))
    .sort((a, b) => (a.vmId < b.vmId ? -1 : 1));
}

/** The weights of a region's upstreams by service: their part of the active slots; 0 for leaving and parked ones. */
export function weightsOf(table: Table, region: string): Map<string, Weights> {
  const weights = new Map<string, Weights>();
  const services = new Set<string>();
  for (const { row } of table.rows()) {
    if (row.kind === "upstream" && row.region === region) {
      services.add(row.service);
    }
  }
  for (const service of [...services].sort()) {
    const upstreams = table.upstreams(service, region);
    const slotsOf = (state: string, slots: number) =>
      state === "active" ? slots : 0;
    const total = upstreams.reduce(
      (sum, { state, slots }) => sum + slotsOf(state, slots),
      0,
    );
    weights.set(
      service,
      Object.fromEntries(
        upstreams.map(({ id, state, slots }) => [
          id,
          slotsOf(state, slots) / Math.max(1, total),
        ]),
      ),
    );
  }
  return weights;
}
