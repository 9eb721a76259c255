/**
 * The table service: keeps the newest accepted table in force on this VM.
 *
 * A few VMs of a region watch the store; the others get edits pushed, and repair what they missed by the versions in
 * the heartbeats. While the store is away the last version stays in force; a VM that starts then takes it from a peer.
 *
 * @module
 */

import { err, type Result } from "neverthrow";
import type {
  KeyValue,
  StoreError,
  Transport,
  Watch,
} from "../adapters/mod.ts";
import {
  type LoggedEdit,
  pushRoot,
  type Regression,
  type Table,
  TableLog,
  watchersOf,
} from "../agreement/mod.ts";
import { backoffMs, codes, type Random, type Timer } from "../base/mod.ts";
import { type Kernel, type Port, Task } from "../kernel/mod.ts";
import type { MembersMessages, TableMessages, VmInfo } from "./messages.ts";
import type { MetricsMessages } from "./metrics.ts";
import { TablePeers } from "./table_peers.ts";
import { type StoreHead, TableStore } from "./table_store.ts";

/** Periods of the service, in ms. */
export interface TablePeriods {
  /** Between looks at who is there and who is ahead. */
  readonly tickMs: number;
  /** Between a watcher's looks at the head: finds a silent watch and a store that was restored. */
  readonly headMs: number;
  /** How long a VM that starts waits to hear of peers that may be ahead of the store. */
  readonly hearMs: number;
}

const DEFAULT_PERIODS: TablePeriods = {
  tickMs: 500,
  headMs: 5000,
  hearMs: 1000,
};

/** After an outage the watchers of all regions come back with jitter; see {@link backoffMs}. */
const STORE_BACKOFF = { firstMs: 250, mostMs: 4000 };

/** What a {@link TableService} is made of. */
export interface TableServiceOptions {
  readonly vm: { readonly id: string; readonly region: string };
  readonly store: KeyValue;
  /** Absent where there are no other VMs. */
  readonly transport?: Transport;
  readonly random: Random;
  readonly periods?: Partial<TablePeriods>;
}

interface Waiter {
  readonly version: number;
  readonly resolve: (table: Table | undefined) => void;
}

/** Counts for the dump. */
interface TableCounters {
  editsApplied: number;
  imagesLoaded: number;
  pulls: number;
  storeFailures: number;
  regressions: number;
}

/** See {@link TableMessages}; its name is `table`. */
export class TableService extends Task<TableMessages> {
  readonly name = "table";
  /** The log in force; the editor works on it. */
  readonly log = new TableLog();
  readonly store: TableStore;
  readonly #options: TableServiceOptions;
  readonly #periods: TablePeriods;
  readonly #waiters = new Set<Waiter>();
  readonly #counters: TableCounters = {
    editsApplied: 0,
    imagesLoaded: 0,
    pulls: 0,
    storeFailures: 0,
    regressions: 0,
  };
  #kernel!: Kernel;
  #peers: TablePeers | undefined;
  #timer: Timer | undefined;
  #watch: Watch | undefined;
  #syncing: Promise<Result<StoreHead, StoreError>> | undefined;
  #ticking = false;
  #closed = false;
  #ready = false;
  #hearUntilMs = 0;
  #nextHeadAtMs = 0;
  #storeError: StoreError | undefined;
  #alarm: Regression["type"] | undefined;
  #failures = 0;

  protected readonly handlers = {
    current: () => this.table,
    waitFor: (input: TableMessages["waitFor"]["in"]) => this.#waitFor(input),
  };

  constructor(options: TableServiceOptions) {
    super();
    this.#options = options;
    this.#periods = { ...DEFAULT_PERIODS, ...options.periods };
    this.store = new TableStore(options.store);
  }

  /** The table in force; `undefined` before the first, and until a starting VM has heard whether peers are ahead. */
  get table(): Table | undefined {
    return this.#ready && this.log.table.version > 0
      ? this.log.table
      : undefined;
  }

  /** Reads the store once; if it is away, goes on trying it and the peers in the background. */
  async start(kernel: Kernel): Promise<void> {
    this.#kernel = kernel;
    this.#hearUntilMs = kernel.clock.monoMs() + this.#periods.hearMs;
    this.#openPeers();
    await this.sync();
    this.#nextHeadAtMs = 0;
    await this.#tick();
    this.#schedule();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#closed = true;
    this.#timer?.close();
    this.#watch?.close();
    for (const waiter of this.#waiters) waiter.resolve(undefined);
    this.#waiters.clear();
    return Promise.resolve();
  }

  dump(): unknown {
    return {
      version: this.log.table.version,
      rows: this.log.table.size,
      lastId: this.log.lastId,
      ready: this.#ready,
      watching: this.#watch !== undefined,
      pending: this.log.pendingCount,
      regression: this.log.regression,
      storeError: this.#storeError,
      storeCalls: this.store.calls,
      pushes: this.#peers?.pushes ?? 0,
      ...this.#counters,
    };
  }

  /** Reads the head and what is missing here; calls made meanwhile share one reading. */
  sync(): Promise<Result<StoreHead, StoreError>> {
    this.#syncing ??= this.#readStore()
      .finally(() => this.#syncing = undefined);
    return this.#syncing;
  }

  /** Edits were put in force here: wakes who waits for them, and pushes them if that is this VM's part. */
  async noteApplied(edits: readonly LoggedEdit[]): Promise<void> {
    this.#counters.editsApplied += edits.length;
    this.#onNewVersion();
    const last = edits.at(-1);
    if (!last || !this.#peers) return;
    const { vm } = this.#options;
    const ids = (await this.region()).map(({ id }) => id);
    const root = pushRoot(last.version, watchersOf(vm.region, ids));
    if (root === vm.id) await this.#peers.push(edits);
  }

  /** The VMs of this region as the membership service sees them; empty without one. */
  async region(): Promise<readonly VmInfo[]> {
    return await this.#members?.ask("region", undefined) ?? [];
  }

  /** Some VMs of each other region; empty without a membership service. */
  async others(): Promise<ReadonlyMap<string, readonly VmInfo[]>> {
    return await this.#members?.ask("others", undefined) ?? new Map();
  }

  /** The newest version that any other VM is known to have in force. */
  async knownVersion(): Promise<number> {
    const vms = await this.#allPeers();
    return Math.max(0, ...vms.map((vm) => vm.tableVersion));
  }

  get #members(): Port<MembersMessages> | undefined {
    return this.#kernel.has("members")
      ? this.#kernel.get<MembersMessages>("members")
      : undefined;
  }

  async #allPeers(): Promise<VmInfo[]> {
    const [region, others] = [await this.region(), await this.others()];
    return [...region, ...[...others.values()].flat()]
      .filter((vm) => vm.id !== this.#options.vm.id);
  }

  #openPeers(): void {
    const { transport, vm } = this.#options;
    if (!transport) return;
    this.#peers = new TablePeers({
      vmId: vm.id,
      log: this.log,
      transport,
      nowMs: () => this.#kernel.clock.nowMs(),
      region: () => this.region(),
      onPush: (edits) => this.#offer(edits),
    });
  }

  #schedule(): void {
    if (this.#closed) return;
    // Jitter keeps the VMs of a region from looking, and pulling, in step.
    const { tickMs } = this.#periods;
    const delayMs = tickMs * (0.75 + this.#options.random.next() / 2);
    this.#timer = this.#kernel.clock.after(delayMs, () => {
      void this.#tick().finally(() => this.#schedule());
    });
  }

  async #tick(): Promise<void> {
    if (this.#ticking || this.#closed) return;
    this.#ticking = true;
    try {
      await this.#lookAtStore();
      await this.#pullIfBehind();
      await this.#becomeReady();
    } catch (error) {
      this.#kernel.log.error("table tick failed", { error: String(error) });
    } finally {
      this.#ticking = false;
    }
  }

  /** A watcher keeps its watch open and looks at the head now and then; a VM without a table looks as well. */
  async #lookAtStore(): Promise<void> {
    const watcher = await this.#isWatcher();
    if (!watcher) {
      this.#watch?.close();
      this.#watch = undefined;
    }
    const wanted = watcher || this.log.table.version === 0;
    const { clock } = this.#kernel;
    if (!wanted || clock.monoMs() < this.#nextHeadAtMs) return;
    const seen = await this.sync();
    if (seen.isOk() && watcher && !this.#watch && !this.#closed) {
      this.#openWatch(seen.value.storeRev + 1);
    }
  }

  async #isWatcher(): Promise<boolean> {
    const { id, region } = this.#options.vm;
    const vms = await this.region();
    const ids = vms.filter((vm) => vm.state === "live").map((vm) => vm.id);
    // A VM that knows of no other, or is leaving itself, must not be left without the store.
    if (ids.length === 0) return true;
    return watchersOf(region, ids).includes(id);
  }

  async #readStore(): Promise<Result<StoreHead, StoreError>> {
    const seen = await this.store.head();
    if (seen.isErr()) return this.#noteStore(seen);
    const { head } = seen.value;
    const before = this.log.table.version;
    const relation = this.log.seeHead(head);
    if (relation === "ahead") {
      const applied = await this.store.catchUp(this.log, seen.value);
      if (applied.isErr()) return this.#noteStore(err(applied.error));
      const after = this.log.table.version;
      if (after - before > applied.value.length) this.#counters.imagesLoaded++;
      if (applied.value.length > 0) await this.noteApplied(applied.value);
      else if (after > before) this.#onNewVersion();
      if (after === head?.version) this.log.seeHead(head);
    }
    this.#noteAlarm();
    return this.#noteStore(seen);
  }

  #noteStore<T>(result: Result<T, StoreError>): Result<T, StoreError> {
    const { clock, log } = this.#kernel;
    const { random } = this.#options;
    if (result.isOk()) {
      if (this.#storeError) log.info("table store is back");
      this.#storeError = undefined;
      this.#failures = 0;
      const jitter = 0.75 + random.next() / 2;
      this.#nextHeadAtMs = clock.monoMs() + this.#periods.headMs * jitter;
      return result;
    }
    const { kind, message } = result.error;
    if (!this.#storeError) log.warn("table store away", { kind, message });
    this.#storeError = result.error;
    this.#counters.storeFailures++;
    const delayMs = backoffMs(this.#failures++, STORE_BACKOFF, random);
    this.#nextHeadAtMs = clock.monoMs() + delayMs;
    return result;
  }

  /**
   * A store that shows an older or another log than is in force was restored from an old copy. Following it would take
   * back accepted edits without anyone's will, so it is told once, in the log, the dump and a counter.
   */
  #noteAlarm(): void {
    const { regression } = this.log;
    if (this.#alarm === regression?.type) return;
    this.#alarm = regression?.type;
    const { log } = this.#kernel;
    if (!regression) return void log.info("table store agrees again");
    const { type, storeVersion, version } = regression;
    const code = codes.storeRegressed.code;
    this.#counters.regressions++;
    log.error("table store regressed", { code, type, storeVersion, version });
    if (!this.#kernel.has("metrics")) return;
    const name = "table_store_regressed";
    void this.#kernel.get<MetricsMessages>("metrics").ask("count", { name });
  }

  #openWatch(fromRev: number): void {
    const watch = this.store.watch(
      fromRev,
      (edit) => this.#offer([edit]),
      (message) => {
        if (this.#watch === watch) this.#watch = undefined;
        this.#kernel.log.warn("table watch lost", { message });
        // What was missed is read before the next watch, after a wait that keeps all watchers from one instant.
        const delayMs = backoffMs(0, STORE_BACKOFF, this.#options.random);
        this.#nextHeadAtMs = this.#kernel.clock.monoMs() + delayMs;
      },
    );
    this.#watch = watch;
  }

  #offer(edits: readonly LoggedEdit[]): void {
    const outcome = this.log.offer(edits);
    this.#noteAlarm();
    if (outcome.applied.length > 0) void this.noteApplied(outcome.applied);
    // A watcher reads what is missing from the store; others find themselves behind at the next heartbeat.
    if (outcome.gap) this.#nextHeadAtMs = 0;
  }

  /** Takes what a peer has in force and this VM has not: a missed push, or a store that is away. */
  async #pullIfBehind(): Promise<void> {
    if (!this.#peers) return;
    const { version } = this.log.table;
    const near = (await this.region())
      .filter((vm) => vm.tableVersion > version);
    // Between regions only watchers pull, so that links carry an edit once or twice, not once for each VM.
    const far = near.length === 0 && await this.#isWatcher()
      ? [...(await this.others()).values()].flat()
        .filter((vm) => vm.tableVersion > version)
      : [];
    const ahead = near.length > 0 ? near : far;
    if (ahead.length === 0) return;
    const peer = this.#options.random.pick(ahead);
    this.#counters.pulls++;
    const pulled = await this.#peers.pull(peer.peerAddress);
    if (!pulled) return;
    if (pulled.type === "edits") return this.#offer(pulled.edits);
    if (this.log.load(pulled.image)) {
      this.#counters.imagesLoaded++;
      this.#onNewVersion();
    }
    this.#noteAlarm();
  }

  /**
   * A VM that starts may find a store restored from an old copy, and would serve on a table that others have left
   * behind. It waits a moment to hear of peers that are ahead, and takes their table first.
   */
  async #becomeReady(): Promise<void> {
    if (this.#ready || this.log.table.version === 0) return;
    const peers = await this.#allPeers();
    const { version } = this.log.table;
    const behind = peers.some((vm) => vm.tableVersion > version);
    const waited = this.#kernel.clock.monoMs() >= this.#hearUntilMs;
    const alone = !this.#peers;
    if (!alone && !waited && (behind || peers.length === 0)) return;
    this.#ready = true;
    this.#kernel.log.info("table in force", { version });
    this.#onNewVersion();
  }

  #onNewVersion(): void {
    const { table } = this;
    if (!table) {
      // The first table of a VM alone comes by an edit of its own.
      if (!this.#ready) void this.#becomeReady();
      return;
    }
    for (const waiter of this.#waiters) {
      if (waiter.version > table.version) continue;
      this.#waiters.delete(waiter);
      waiter.resolve(table);
    }
  }

  #waitFor(
    { version, deadlineMs }: TableMessages["waitFor"]["in"],
  ): Promise<Table | undefined> {
    const { table } = this;
    if (table && table.version >= version) return Promise.resolve(table);
    const delayMs = deadlineMs - this.#kernel.clock.nowMs();
    if (delayMs <= 0 || this.#closed) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const timer = this.#kernel.clock.after(delayMs, () => {
        this.#waiters.delete(waiter);
        resolve(undefined);
      });
      const waiter: Waiter = {
        version,
        resolve: (found) => {
          timer.close();
          resolve(found);
        },
      };
      this.#waiters.add(waiter);
      // A request that names a newer version must not wait for the next look.
      if (this.#peers) void this.#pullIfBehind();
    });
  }
}
