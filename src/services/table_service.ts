/**
 * The table service: keeps the newest accepted table in force on this VM.
 *
 * A few VMs of a region watch the store; the others get edits pushed, and repair what they missed by the versions in
 * the heartbeats. While the store is away the last version stays in force; a VM that starts then takes it from a peer.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { KeyValue, StoreError, Transport } from "../adapters/mod.ts";
import {
  type LoggedEdit,
  pushRoot,
  type Table,
  TableLog,
} from "../agreement/mod.ts";
import type { Random, Timer } from "../base/mod.ts";
import { type Kernel, Task } from "../kernel/mod.ts";
import type { TableMessages, VmInfo } from "./messages.ts";
import { TableFleet } from "./table_fleet.ts";
import { type RegionTableVersions, TableVersions } from "./table_versions.ts";
import { TablePeers } from "./table_peers.ts";
import { type StoreHead, TableStore } from "./table_store.ts";
import { TableSync } from "./table_sync.ts";
import { TableWaiters } from "./table_waiters.ts";

/** Periods of the service, in ms. */
export interface TablePeriods {
  /** Between looks at who is there and who is ahead. */
  readonly tickMs: number;
  /** Between a watcher's looks at the store's head. */
  readonly headCheckMs: number;
  /** How long a VM that starts waits for an answer of a peer that may be ahead of the store. */
  readonly peerWaitMs: number;
}

const DEFAULT_PERIODS: TablePeriods = {
  tickMs: 500,
  headCheckMs: 5000,
  peerWaitMs: 1000,
};

/** VMs of a region, on average, that ask another region at each look. */
const REMOTE_PULLS_PER_TICK = 1;
/** Between two tries while the service starts. */
const START_RETRY_MS = 100;
/** Peers that a starting VM asks for their version. */
const MAX_PEERS_ASKED = 3;

/** What a {@link TableService} is made of. */
export interface TableServiceOptions {
  readonly vm: { readonly id: string; readonly region: string };
  readonly store: KeyValue;
  /** Absent where there are no other VMs. */
  readonly transport?: Transport;
  readonly random: Random;
  readonly periods?: Partial<TablePeriods>;
}

/** See {@link TableMessages}; its name is `table`. */
export class TableService extends Task<TableMessages> {
  readonly name = "table";
  /** The log in force; the editor works on it. */
  readonly log = new TableLog();
  readonly store: TableStore;
  readonly #options: TableServiceOptions;
  readonly #periods: TablePeriods;
  readonly #waiters = new TableWaiters();
  readonly #counters = { editsApplied: 0, imagesLoaded: 0, pulls: 0 };
  #kernel!: Kernel;
  #fleet!: TableFleet;
  #versions!: TableVersions;
  #sync!: TableSync;
  #peers: TablePeers | undefined;
  #timer: Timer | undefined;
  #closed = false;
  #isReady = false;
  #peerWaitUntilMs = 0;

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
    return this.#isReady && this.log.table.version > 0
      ? this.log.table
      : undefined;
  }

  /** The other VMs. */
  get fleet(): TableFleet {
    return this.#fleet;
  }

  /** Tries store and peers for up to `hearMs`; if neither has a table, goes on trying in the background. */
  async start(kernel: Kernel): Promise<void> {
    this.#kernel = kernel;
    this.#peerWaitUntilMs = kernel.clock.monoMs() + this.#periods.peerWaitMs;
    this.#fleet = new TableFleet(kernel, this.#options.vm);
    this.#sync = this.#createSync();
    this.#peers = this.#createPeers();
    this.#versions = new TableVersions({
      vm: this.#options.vm,
      fleet: this.#fleet,
      transport: this.#options.transport,
      nowMs: () => kernel.clock.nowMs(),
      version: () => this.table?.version ?? 0,
    });
    await this.#waitForTable();
    this.#schedule();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#closed = true;
    this.#timer?.close();
    this.#sync.close();
    this.#waiters.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return {
      version: this.log.table.version,
      rows: this.log.table.size,
      lastId: this.log.lastId,
      ready: this.#isReady,
      pending: this.log.pendingCount,
      pushes: this.#peers?.pushCount ?? 0,
      ...this.#counters,
      ...this.#sync.dump(),
    };
  }

  /** Reads from the store what is missing here. */
  sync(): Promise<Result<StoreHead, StoreError>> {
    return this.#sync.sync();
  }

  /** Edits were put in force here: wakes who waits for them, and pushes them if `spread` or that is this VM's part. */
  async onEditsApplied(
    edits: readonly LoggedEdit[],
    shouldPush = false,
  ): Promise<void> {
    this.#counters.editsApplied += edits.length;
    this.#onNewVersion();
    const last = edits.at(-1);
    if (!last || !this.#peers) return;
    const root = pushRoot(last.version, await this.#fleet.watcherIds());
    // Not waited for: a child that does not answer must not hold up the operator's answer.
    if (shouldPush || root === this.#options.vm.id) {
      void this.#peers.push(edits);
    }
  }

  /** Which VMs have which version in force, by region. */
  regionVersions(): Promise<RegionTableVersions[]> {
    return this.#versions.collect();
  }

  #createSync(): TableSync {
    return new TableSync({
      kernel: this.#kernel,
      log: this.log,
      store: this.store,
      random: this.#options.random,
      headCheckMs: this.#periods.headCheckMs,
      onEdits: (edits) => this.#applyEdits(edits),
      onCaughtUp: async (edits, imageLoaded) => {
        if (imageLoaded) this.#counters.imagesLoaded++;
        await this.onEditsApplied(edits);
      },
    });
  }

  #createPeers(): TablePeers | undefined {
    const { transport, vm } = this.#options;
    return transport && new TablePeers({
      vmId: vm.id,
      log: this.log,
      transport,
      nowMs: () => this.#kernel.clock.nowMs(),
      regionVms: () => this.#fleet.regionVms(),
      onPush: (edits) => this.#applyEdits(edits),
    });
  }

  /** The services that start next find the table in force, where there is one to be had. */
  async #waitForTable(): Promise<void> {
    const { clock } = this.#kernel;
    for (;;) {
      await this.#tick();
      // An installation without a table yet: the store says so, and no peer has one.
      const hasNoTable = this.log.table.version === 0 &&
        this.#sync.isStoreReachable;
      if (this.#isReady || hasNoTable) return;
      if (clock.monoMs() >= this.#peerWaitUntilMs) return;
      await clock.sleep(START_RETRY_MS);
    }
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
    try {
      const needsTable = this.log.table.version === 0;
      await this.#sync.checkStore(await this.#fleet.isWatcher(), needsTable);
      await this.#pullIfBehind();
      await this.#updateReadiness();
    } catch (error) {
      this.#kernel.log.error("table tick failed", { error: String(error) });
    }
  }

  #applyEdits(edits: readonly LoggedEdit[], shouldPush = false): void {
    const outcome = this.log.offer(edits);
    this.#sync.reportRegression();
    if (outcome.applied.length > 0) {
      void this.onEditsApplied(outcome.applied, shouldPush);
    }
    // A watcher reads what is missing from the store; others find themselves behind at the next heartbeat.
    if (outcome.gap) this.#sync.checkHeadSoon();
  }

  /** Takes what a peer has in force and this VM has not: a missed push, or a store that is away. */
  async #pullIfBehind(): Promise<void> {
    if (!this.#peers) return;
    const { version } = this.log.table;
    const regionPeers = await this.#fleet.regionVmsAhead(version);
    const peers = regionPeers.length > 0
      ? regionPeers
      : await this.#shouldAskRemote()
      ? await this.#fleet.remoteVmsToAsk(version)
      : [];
    if (peers.length === 0) return;
    await this.#pullFrom(this.#options.random.pick(peers));
  }

  /**
   * Whether to ask another region now. A watcher without the store does at each look. Beside that a few VMs of the
   * region do, drawn anew each time: with both watchers lost, or their store silent, the region would hear of an edit
   * only after they are found dead, later than the three seconds in which it is to be in force.
   */
  async #shouldAskRemote(): Promise<boolean> {
    if (!this.#sync.isStoreReachable && await this.#fleet.isWatcher()) {
      return true;
    }
    const { length } = await this.#fleet.regionVms();
    return this.#options.random.next() * Math.max(1, length) <
      REMOTE_PULLS_PER_TICK;
  }

  /** Takes what a peer has and this VM has not; answers whether the peer has a table. */
  async #pullFrom(peer: VmInfo): Promise<boolean> {
    this.#counters.pulls++;
    const pulled = await this.#peers!.pull(peer.peerAddress);
    if (!pulled) return false;
    if (pulled.type === "edits") {
      // What comes from afar is new to the whole region.
      this.#applyEdits(pulled.edits, peer.region !== this.#options.vm.region);
      return pulled.peerVersion > 0;
    }
    if (this.log.load(pulled.image)) {
      this.#counters.imagesLoaded++;
      this.#onNewVersion();
    }
    this.#sync.reportRegression();
    return true;
  }

  /**
   * A VM that starts may find a store restored from an old copy, and would serve on a table that others have left
   * behind. It asks a few peers first; their heartbeats may not tell their newest version yet. With none that answers
   * it goes on alone after a moment.
   */
  async #updateReadiness(): Promise<void> {
    if (this.#isReady) return;
    const isWaitOver = this.#kernel.clock.monoMs() >= this.#peerWaitUntilMs;
    const hasAnswer = this.#peers !== undefined && await this.#pullFromPeers();
    if (this.log.table.version === 0) return;
    if (this.#peers && !isWaitOver && !hasAnswer) return;
    this.#isReady = true;
    const { version } = this.log.table;
    this.#kernel.log.info("table in force", { version });
    this.#onNewVersion();
  }

  async #pullFromPeers(): Promise<boolean> {
    const peers = await this.#fleet.peers();
    const order = peers
      .map((peer) => ({ peer, place: this.#options.random.next() }))
      .sort((a, b) => a.place - b.place)
      .slice(0, MAX_PEERS_ASKED);
    const answers = await Promise.all(
      order.map(({ peer }) => this.#pullFrom(peer)),
    );
    return answers.includes(true);
  }

  #onNewVersion(): void {
    if (this.table) this.#waiters.resolve(this.table);
    // The first table of a fleet comes by an edit: nobody can be ahead for long.
    else if (!this.#isReady) void this.#updateReadiness();
  }

  #waitFor(
    { version, deadlineMs }: TableMessages["waitFor"]["in"],
  ): Promise<Table | undefined> {
    const { table } = this;
    if (table && table.version >= version) return Promise.resolve(table);
    // Who names a newer version has seen it in force elsewhere: it is fetched now, not at the next look.
    void this.#pullIfBehind();
    return this.#waiters.wait(this.#kernel.clock, version, deadlineMs);
  }
}
