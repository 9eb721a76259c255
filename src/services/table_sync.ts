/**
 * The store's side of the table service: reading what is missing, watching, backing off, and the alarm when the store
 * shows an older or another log.
 *
 * @module
 */

import { err, type Result } from "neverthrow";
import type { StoreError, Watch } from "../adapters/mod.ts";
import type { LoggedEdit, Regression, TableLog } from "../agreement/mod.ts";
import { backoffMs, codes, type Random } from "../base/mod.ts";
import type { Kernel } from "../kernel/mod.ts";
import type { MetricsMessages } from "./metrics.ts";
import type { StoreHead, TableStore } from "./table_store.ts";

/** After an outage the watchers of all regions come back with jitter; see {@link backoffMs}. */
const STORE_BACKOFF = { firstMs: 250, maxMs: 1500 };
/**
 * A VM without a table that is not a watcher reads the store at this period only: a fleet that starts at once gets its
 * table from the watchers, and does not bring the store down by reading it whole from every VM.
 */
const NON_WATCHER_PERIOD_MS = 10_000;

/** What a {@link TableSync} works with. */
export interface TableSyncOptions {
  readonly kernel: Kernel;
  readonly log: TableLog;
  readonly store: TableStore;
  readonly random: Random;
  /** Between looks at the head: finds a silent watch and a store that was restored. */
  readonly headCheckMs: number;
  /** Takes edits that the watch reports. */
  readonly onEdits: (edits: readonly LoggedEdit[]) => void;
  /** The log was brought up by these edits, after an image if `imageLoaded`. */
  readonly onCaughtUp: (
    edits: readonly LoggedEdit[],
    imageLoaded: boolean,
  ) => Promise<void>;
}

/** Keeps a log up with the store. */
export class TableSync {
  readonly #options: TableSyncOptions;
  #watch: Watch | undefined;
  #currentRead: Promise<Result<StoreHead, StoreError>> | undefined;
  #nextRead: Promise<Result<StoreHead, StoreError>> | undefined;
  #error: StoreError | undefined;
  #reportedRegression: Regression["type"] | undefined;
  #consecutiveFailures = 0;
  #failureCount = 0;
  #regressionCount = 0;
  #nextHeadCheckAtMs = 0;
  #retryAtMs = 0;
  #nextTurnAtMs = 0;
  #isStoreReachable = false;
  #closed = false;

  constructor(options: TableSyncOptions) {
    this.#options = options;
  }

  /** Whether the last look at the store succeeded. */
  get isStoreReachable(): boolean {
    return this.#isStoreReachable;
  }

  dump() {
    return {
      watching: this.#watch !== undefined,
      storeError: this.#error,
      storeFailures: this.#failureCount,
      storeCalls: this.#options.store.callCount,
      regression: this.#options.log.regression,
      regressions: this.#regressionCount,
    };
  }

  close(): void {
    this.#closed = true;
    this.#closeWatch();
  }

  /**
   * Reads the head and what is missing here. The reading begins after the call: one already on its way may be older
   * than what the caller knows from a heartbeat, and would make a sound store look restored. Calls share the next one.
   */
  sync(): Promise<Result<StoreHead, StoreError>> {
    if (!this.#currentRead) return this.#startRead();
    const startRead = () => {
      this.#nextRead = undefined;
      return this.#startRead();
    };
    this.#nextRead ??= this.#currentRead.then(startRead, startRead);
    return this.#nextRead;
  }

  /** Looks at the head at the next {@link TableSync.checkStore}, whatever its period. */
  checkHeadSoon(): void {
    this.#nextHeadCheckAtMs = 0;
  }

  /** Holds a watch and looks at the head now and then, if `watcher`; otherwise looks only if `wanted`. */
  async checkStore(isWatcher: boolean, needsTable: boolean): Promise<void> {
    const nowMs = this.#options.kernel.clock.monoMs();
    if (!isWatcher) this.#closeWatch();
    if (!isWatcher && !(needsTable && this.#takeReadTurn(nowMs))) return;
    if (nowMs < this.#retryAtMs) return;
    const needsWatch = isWatcher && !this.#watch;
    if (!needsWatch && nowMs < this.#nextHeadCheckAtMs) return;
    const seen = await this.sync();
    if (seen.isErr() || !isWatcher || this.#watch || this.#closed) return;
    this.#openWatch(seen.value.storeRev + 1);
  }

  /**
   * A store that shows an older or another log than is in force was restored from an old copy. Following it would take
   * back accepted edits without anyone's will, so it is told once, in the log, the dump and a counter.
   */
  reportRegression(): void {
    const { kernel, log } = this.#options;
    const { regression } = log;
    if (this.#reportedRegression === regression?.type) return;
    this.#reportedRegression = regression?.type;
    if (!regression) return void kernel.log.info("table store agrees again");
    const { type, storeVersion, version } = regression;
    const { code } = codes.storeRegressed;
    this.#regressionCount++;
    kernel.log.error("table store regressed", {
      code,
      type,
      storeVersion,
      version,
    });
    if (!kernel.has("metrics")) return;
    const name = "table_store_regressed";
    void kernel.get<MetricsMessages>("metrics").ask("count", { name });
  }

  /** The first turn comes a second or two after the first look, when the watchers should have the table. */
  #takeReadTurn(nowMs: number): boolean {
    const jitter = 0.75 + this.#options.random.next() / 2;
    const isFirst = this.#nextTurnAtMs === 0;
    if (!isFirst && nowMs < this.#nextTurnAtMs) return false;
    const periodMs = isFirst
      ? NON_WATCHER_PERIOD_MS / 5
      : NON_WATCHER_PERIOD_MS;
    this.#nextTurnAtMs = nowMs + periodMs * jitter;
    return !isFirst;
  }

  #startRead(): Promise<Result<StoreHead, StoreError>> {
    this.#currentRead = this.#read().finally(() =>
      this.#currentRead = undefined
    );
    return this.#currentRead;
  }

  async #read(): Promise<Result<StoreHead, StoreError>> {
    const { log, store, onCaughtUp } = this.#options;
    const seen = await store.head(log.table.version);
    if (seen.isErr()) return this.#recordResult(seen);
    const { head, readAtVersion } = seen.value;
    const before = log.table.version;
    if (log.compareHead(head, readAtVersion) === "ahead") {
      const applied = await store.catchUp(log, seen.value);
      if (applied.isErr()) return this.#recordResult(err(applied.error));
      const advancedBy = log.table.version - before;
      const imageLoaded = advancedBy > applied.value.length;
      if (advancedBy > 0) await onCaughtUp(applied.value, imageLoaded);
      if (log.table.version === head?.version) {
        log.compareHead(head, readAtVersion);
      }
    }
    this.reportRegression();
    return this.#recordResult(seen);
  }

  #recordResult<T>(result: Result<T, StoreError>): Result<T, StoreError> {
    const { kernel, random, headCheckMs } = this.#options;
    const nowMs = kernel.clock.monoMs();
    this.#isStoreReachable = result.isOk();
    if (result.isOk()) {
      if (this.#error) kernel.log.info("table store is back");
      this.#error = undefined;
      this.#consecutiveFailures = 0;
      this.#nextHeadCheckAtMs = nowMs +
        headCheckMs * (0.75 + random.next() / 2);
      return result;
    }
    const { kind, message } = result.error;
    if (!this.#error) {
      kernel.log.warn("table store away", { kind, message });
    }
    this.#error = result.error;
    this.#failureCount++;
    this.#retryAtMs = nowMs +
      backoffMs(this.#consecutiveFailures++, STORE_BACKOFF, random);
    return result;
  }

  #openWatch(fromRev: number): void {
    const { kernel, store, random, onEdits } = this.#options;
    const watch = store.watch(
      fromRev,
      (edit) => onEdits([edit]),
      (message) => {
        if (this.#watch === watch) this.#watch = undefined;
        kernel.log.warn("table watch lost", { message });
        // What was missed is read before the next watch, after a wait that keeps all watchers from one instant.
        this.#retryAtMs = kernel.clock.monoMs() +
          backoffMs(0, STORE_BACKOFF, random);
      },
    );
    this.#watch = watch;
  }

  #closeWatch(): void {
    this.#watch?.close();
    this.#watch = undefined;
  }
}
