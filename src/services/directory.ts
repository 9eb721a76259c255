/**
 * The directory service: tells callers which entry VMs to use, and publishes the region on the platform.
 *
 * @module
 */

import type { CallerDirectory, WeightStore } from "../adapters/mod.ts";
import { leadOrder, rankForWorkspace, type Table } from "../agreement/mod.ts";
import {
  backoffMs,
  type Clock,
  hash32,
  Random,
  type Timer,
} from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  Task,
  type TaskPort,
} from "../kernel/mod.ts";
import type {
  DirectoryAnswer,
  DirectoryMessages,
  MembersMessages,
  TableMessages,
  VmInfo,
} from "./messages.ts";
import {
  directoryEntries,
  type Publication,
  PublicationQueue,
  weightsOf,
} from "./publications.ts";

/** The identity of this VM, and the platform's services if the settings name them. */
export interface DirectoryOptions {
  readonly vmId: string;
  readonly region: string;
  readonly weightStore?: WeightStore;
  readonly callerDirectory?: CallerDirectory;
}

/**
 * The time after which a caller looks up its VMs again, less a random part. It is long enough that the callers of 4,500
 * workspaces cost little, and short enough that a draining VM has few callers left when its requests have ended.
 */
const LOOKUP_INTERVAL_MS = 10_000;
const LOOKUP_JITTER = 0.3;

/** One VM of the region sends at most one publication per period, as the platform's stores limit the total rate. */
const PUBLISH_PERIOD_MS = 1000;
const PUBLISH_BACKOFF = { firstMs: 2000, maxMs: 60_000 };

/** The `directory` task. It needs the tasks `members` and `table`. */
export class DirectoryService extends Task<DirectoryMessages> {
  readonly name = "directory";
  protected readonly handlers: Handlers<DirectoryMessages> = {
    lookup: ({ workspace }) => this.#lookup(workspace),
  };
  readonly #options: DirectoryOptions;
  readonly #random: Random;
  readonly #queue = new PublicationQueue();
  #clock!: Clock;
  #log!: Log;
  #members!: TaskPort<MembersMessages>;
  #table!: TaskPort<TableMessages>;
  #timer: Timer | undefined;
  #isPublishing = false;
  #isPublisher = false;
  #failures = 0;
  #retryAtMs = 0;

  constructor(options: DirectoryOptions) {
    super();
    this.#options = options;
    this.#random = new Random(hash32(`directory/${options.vmId}`));
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    this.#members = kernel.get<MembersMessages>("members");
    this.#table = kernel.get<TableMessages>("table");
    const { weightStore, callerDirectory } = this.#options;
    if (weightStore || callerDirectory) {
      this.#timer = this.#clock.every(
        PUBLISH_PERIOD_MS,
        () => void this.#publish(),
      );
    }
    return Promise.resolve();
  }

  async close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    await this.#options.weightStore?.close();
    await this.#options.callerDirectory?.close();
  }

  dump(): unknown {
    return {
      publisher: this.#isPublisher,
      failures: this.#failures,
    };
  }

  async #lookup(workspaceId: string): Promise<DirectoryAnswer> {
    const table = await this.#table.ask("current", undefined);
    const workspace = table?.workspace(workspaceId);
    const isBound = workspace?.bound === true;
    const region = isBound ? workspace.home : this.#options.region;
    const vms = await this.#vmsOfRegion(region);
    const nowMs = this.#clock.nowMs();
    const jitterMs = LOOKUP_INTERVAL_MS * LOOKUP_JITTER * this.#random.next();
    return {
      vms: rankForWorkspace(workspaceId, vms).map(({ vm, weight }) => ({
        id: vm.id,
        url: vm.callerUrl,
        region: vm.region,
        weight,
      })),
      askAgainAtMs: Math.round(nowMs + LOOKUP_INTERVAL_MS - jitterMs),
    };
  }

  /**
   * The VMs of a region. Those of another region are the ones named in its digests; if none is known, this region's VMs
   * are returned, as they tell callers where to go.
   */
  async #vmsOfRegion(region: string): Promise<readonly VmInfo[]> {
    if (region !== this.#options.region) {
      const others = await this.#members.ask("others", undefined);
      const contacts = others.get(region);
      if (contacts && contacts.length > 0) return contacts;
    }
    return await this.#members.ask("region", undefined);
  }

  async #publish(): Promise<void> {
    const nowMs = this.#clock.nowMs();
    if (this.#isPublishing || nowMs < this.#retryAtMs) return;
    this.#isPublishing = true;
    try {
      const vms = await this.#members.ask("region", undefined);
      const publisher = leadOrder("publisher", vms)[0];
      const isPublisher = publisher?.id === this.#options.vmId;
      if (!isPublisher || !this.#isPublisher) this.#queue.clear();
      this.#isPublisher = isPublisher;
      if (!isPublisher) return;
      const table = await this.#table.ask("current", undefined);
      const next = this.#queue.next(this.#publications(table, vms), nowMs);
      if (next) await this.#sendPublication(next);
    } finally {
      this.#isPublishing = false;
    }
  }

  #publications(
    table: Table | undefined,
    vms: readonly VmInfo[],
  ): Publication[] {
    const { region, weightStore, callerDirectory } = this.#options;
    const publications: Publication[] = [];
    if (callerDirectory) {
      publications.push({
        name: DIRECTORY_PUBLICATION,
        content: directoryEntries(vms),
      });
    }
    if (!weightStore || !table) return publications;
    for (const { row } of table.rows()) {
      if (row.kind !== "service") continue;
      const content = weightsOf(table, row.id, region);
      if (Object.keys(content).length > 0) {
        publications.push({ name: row.id, content });
      }
    }
    return publications;
  }

  async #sendPublication(publication: Publication): Promise<void> {
    const { region, weightStore, callerDirectory } = this.#options;
    const { name, content } = publication;
    const result = name === DIRECTORY_PUBLICATION
      ? await callerDirectory!.publish(region, content as never)
      : await weightStore!.publish(name, region, content as never);
    const nowMs = this.#clock.nowMs();
    if (result.isOk()) {
      this.#failures = 0;
      this.#queue.markSent(publication, nowMs);
      return;
    }
    this.#retryAtMs = nowMs +
      backoffMs(this.#failures++, PUBLISH_BACKOFF, this.#random);
    this.#log.warn("publication failed", {
      name,
      kind: result.error.kind,
      error: result.error.message,
    });
  }
}

/** The name of the directory's publication. No service has this name, as ids start with a letter or digit. */
const DIRECTORY_PUBLICATION = "/directory";
