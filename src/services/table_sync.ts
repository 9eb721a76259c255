/**
 * Keeps the table's log up to date with the store: reads missing edits, watches for new ones, backs off after failures,
 * and reports a store that shows an older or a different log.
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

/** After an outage, the watchers of all regions reconnect with jitter; see {@link backoffMs}. */
const STORE_BACKOFF = { firstMs: 250, maxMs: 1500 };
/**
 * A VM without a table that is not a watcher reads the store only at this period. When a whole fleet starts at once,
 * its VMs get the table from the watchers; a full read of the store by every VM would overload it.
 */
const NON_WATCHER_PERIOD_MS = 10_000;

/** Options of {@link TableSync}. */
export interface TableSyncOptions {
  readonly kernel: Kernel;
  readonly log: TableLog;
  readonly store: TableStore;
  readonly random: Random;
  /** Interval between reads of the head, which detect a watch that has stopped reporting and a restored store. */
  readonly headCheckMs: number;
  /** Receives the edits that the watch reports. */
  readonly onEdits: (edits: readonly LoggedEdit[]) => void;
  /** Called after these edits were applied to the log, following an image if `imageLoaded`. */
  readonly onCaughtUp: (
    edits: readonly LoggedEdit[],
    imageLoaded: boolean,
  ) => Promise<void>;
}

/** Keeps a log up to date with the store. */
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

  /** Whether the last read of the store succeeded. */
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
   * Reads the head and the edits that are missing here. The read starts after the call: the result of a read in
   * progress may be older than what the caller knows from a heartbeat, and a healthy store would then look restored.
   * All calls during a read share the next one.
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

  /** Makes the next {@link TableSync.checkStore} read the head even if its period has not passed. */
  checkHeadSoon(): void {
    this.#nextHeadCheckAtMs = 0;
  }

  /** On a watcher, keeps a watch open and reads the head periodically. On other VMs, reads only if `needsTable`. */
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
   * Reports a regression of the store once, in the log, the dump and a counter. A store whose log is older than or
   * different from the one in force was restored from an old backup. Following it would silently revert accepted edits.
   */
  reportRegression(): void {
    const { kernel, log } = this.#options;
    const { regression } = log;
    if (this.#reportedRegression === regression?.type) return;
    this.#reportedRegression = regression?.type;
    if (!regression) return void kernel.log.info("table store recovered");
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

  /**
   * Whether a read is due; if so, the next one is due a period later. The first is due about two seconds after the
   * first call, when the watchers should have the table.
   */
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
        // Missed edits are read before the next watch. The jittered delay keeps all watchers from reading at once.
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
