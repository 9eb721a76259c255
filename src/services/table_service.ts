/**
 * The table service: keeps the newest accepted table in force on this VM.
 *
 * A few VMs of each region watch the store and push new edits to the others. Heartbeats carry the version in force, so
 * a VM that missed a push notices it and pulls from a peer. While the store is unavailable, the last version stays in
 * force, and a VM that starts during that time gets the table from a peer.
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
  /** Between checks of the store and of the peers' versions. */
  readonly tickMs: number;
  /** Between a watcher's reads of the store's head. */
  readonly headCheckMs: number;
  /** How long a starting VM waits for the answer of a peer, which may have a newer table than the store. */
  readonly peerWaitMs: number;
}

const DEFAULT_PERIODS: TablePeriods = {
  tickMs: 500,
  headCheckMs: 5000,
  peerWaitMs: 1000,
};

/** The average number of VMs of a region that pull from a remote region in each tick period. */
const REMOTE_PULLS_PER_TICK = 1;
/** Delay between attempts to get a table while the service starts. */
const START_RETRY_MS = 100;
/** Maximum number of peers that a starting VM pulls from. */
const MAX_PEERS_ASKED = 3;

/** Options of {@link TableService}. */
export interface TableServiceOptions {
  readonly vm: { readonly id: string; readonly region: string };
  readonly store: KeyValue;
  /** Absent if there are no other VMs. */
  readonly transport?: Transport;
  readonly random: Random;
  readonly periods?: Partial<TablePeriods>;
}

/** Keeps the table in force on this VM up to date, and answers {@link TableMessages} under the name `table`. */
export class TableService extends Task<TableMessages> {
  readonly name = "table";
  /** The log of the table in force, shared with the editor. */
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

  /** The table in force. `undefined` before there is one, and until a starting VM has checked its peers' versions. */
  get table(): Table | undefined {
    return this.#isReady && this.log.table.version > 0
      ? this.log.table
      : undefined;
  }

  /** The VMs of this region and of remote regions. */
  get fleet(): TableFleet {
    return this.#fleet;
  }

  /** Tries the store and peers for up to `peerWaitMs`. If neither has a table, retries in the background. */
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

  /** Reads missing edits from the store. */
  sync(): Promise<Result<StoreHead, StoreError>> {
    return this.#sync.sync();
  }

  /**
   * Called after edits came into force here. Resolves the waiters for their version. Pushes the edits to the region if
   * `shouldPush` is set or this VM is the root of the version's push tree.
   */
  async onEditsApplied(
    edits: readonly LoggedEdit[],
    shouldPush = false,
  ): Promise<void> {
    this.#counters.editsApplied += edits.length;
    this.#onNewVersion();
    const last = edits.at(-1);
    if (!last || !this.#peers) return;
    const root = pushRoot(last.version, await this.#fleet.watcherIds());
    // The push is not awaited: a child that does not answer must not delay the operator's answer.
    if (shouldPush || root === this.#options.vm.id) {
      void this.#peers.push(edits);
    }
  }

  /** The versions in force on all known VMs, by region. */
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

  /** Waits until a table is in force, if there is one, so that the services that start next find it. */
  async #waitForTable(): Promise<void> {
    const { clock } = this.#kernel;
    for (;;) {
      await this.#tick();
      // A new installation has no table: neither the store nor a peer has one.
      const hasNoTable = this.log.table.version === 0 &&
        this.#sync.isStoreReachable;
      if (this.#isReady || hasNoTable) return;
      if (clock.monoMs() >= this.#peerWaitUntilMs) return;
      await clock.sleep(START_RETRY_MS);
    }
  }

  #schedule(): void {
    if (this.#closed) return;
    // Jitter keeps the VMs of a region from checking and pulling at the same moments.
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
    // A watcher reads the missing edits from the store. Other VMs learn from the next heartbeat that they are behind.
    if (outcome.gap) this.#sync.checkHeadSoon();
  }

  /** Pulls newer edits from a peer, after a missed push or while the store is unavailable. */
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
   * Whether to pull from a remote region now. A watcher that cannot reach the store does so at each tick. In addition,
   * a few VMs of the region do, drawn at random at each tick. Otherwise, if both watchers are lost or their store does
   * not answer, the region would learn of an edit only after the watchers are detected as dead. That is later than the
   * three seconds within which an edit must be in force.
   */
  async #shouldAskRemote(): Promise<boolean> {
    if (!this.#sync.isStoreReachable && await this.#fleet.isWatcher()) {
      return true;
    }
    const { length } = await this.#fleet.regionVms();
    return this.#options.random.next() * Math.max(1, length) <
      REMOTE_PULLS_PER_TICK;
  }

  /** Pulls newer edits from a peer. Returns whether the peer has a table. */
  async #pullFrom(peer: VmInfo): Promise<boolean> {
    this.#counters.pulls++;
    const pulled = await this.#peers!.pull(peer.peerAddress);
    if (!pulled) return false;
    if (pulled.type === "edits") {
      // Edits from a remote region are new to this whole region, so they are pushed.
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
   * Puts the table in force once it is known to be current. The store may have been restored from an old backup, and a
   * starting VM would then serve with an outdated table. So it pulls from a few peers first, because their heartbeats
   * may not show their newest version yet. If no peer answers, it continues alone after `peerWaitMs`.
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
      .map((peer) => ({ peer, sortKey: this.#options.random.next() }))
      .sort((a, b) => a.sortKey - b.sortKey)
      .slice(0, MAX_PEERS_ASKED);
    const answers = await Promise.all(
      order.map(({ peer }) => this.#pullFrom(peer)),
    );
    return answers.includes(true);
  }

  #onNewVersion(): void {
    if (this.table) this.#waiters.resolve(this.table);
    // The first table of a fleet is made by an edit, so no peer can have a newer one for long.
    else if (!this.#isReady) void this.#updateReadiness();
  }

  #waitFor(
    { version, deadlineMs }: TableMessages["waitFor"]["in"],
  ): Promise<Table | undefined> {
    const { table } = this;
    if (table && table.version >= version) return Promise.resolve(table);
    // The caller has seen this version in force on another VM, so it is pulled now instead of at the next tick.
    void this.#pullIfBehind();
    return this.#waiters.wait(this.#kernel.clock, version, deadlineMs);
  }
}
