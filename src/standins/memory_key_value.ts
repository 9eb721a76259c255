/**
 * An in-memory implementation of {@link KeyValue} with injectable faults, for tests without sockets and for the
 * embedded mode.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Entry,
  KeyValue,
  type Listing,
  prefixEnd,
  type PutOptions,
  type StoreError,
  type StorePurpose,
  type Watch,
  type WatchEvent,
  type Write,
} from "../adapters/key_value.ts";
import { type Clock, systemClock } from "../base/mod.ts";
import { PlatformFaults } from "./platform_faults.ts";
import {
  PlatformStore,
  type StoreChange,
  type StoredEntry,
} from "./platform_store.ts";

/** Settings of a {@link MemoryKeyValue}. */
export interface MemoryKeyValueOptions {
  readonly clock?: Clock;
  /** The store to connect to; connections to the same store see each other's writes. Absent: a new store. */
  readonly store?: PlatformStore;
  readonly faults?: PlatformFaults;
  /** Id of the connecting VM, which {@link PlatformFaults} match. */
  readonly vmId?: string;
}

/** A connection to a store in this process. */
export class MemoryKeyValue extends KeyValue {
  readonly store: PlatformStore;
  readonly faults: PlatformFaults;
  readonly #clock: Clock;
  readonly #vmId: string;
  readonly #watches = new Set<Watch>();

  #generation: number | undefined;

  constructor(options: MemoryKeyValueOptions = {}) {
    super();
    this.#clock = options.clock ?? systemClock;
    this.store = options.store ??
      new PlatformStore(() => this.#clock.monoMs());
    this.faults = options.faults ?? new PlatformFaults();
    this.#vmId = options.vmId ?? "";
  }

  override get generation(): number | undefined {
    return this.#generation;
  }

  get(
    key: string,
    purpose: StorePurpose,
  ): Promise<Result<Entry | undefined, StoreError>> {
    return this.#call(key, false, purpose, () => {
      const entry = this.store.get(key);
      return ok(entry && toEntry(entry));
    });
  }

  list(
    prefix: string,
    options: { readonly fromKey?: string; readonly limit?: number },
    purpose: StorePurpose,
  ): Promise<Result<Listing, StoreError>> {
    return this.#call(prefix, false, purpose, () => {
      const page = this.store.range(
        options.fromKey ?? prefix,
        prefixEnd(prefix),
        options.limit ?? Infinity,
      );
      return ok({
        entries: page.entries.map(toEntry),
        rev: this.store.rev,
        more: page.more,
      });
    });
  }

  put(
    key: string,
    value: string,
    options: PutOptions,
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>> {
    const { ifRev, leaseId } = options;
    return this.#call(
      key,
      true,
      purpose,
      () =>
        this.#transact(
          ifRev === undefined ? [] : [{ key, rev: ifRev }],
          [{ type: "put", key, value, leaseId }],
        ),
    );
  }

  transact(
    writes: readonly Write[],
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>> {
    const compares = writes.flatMap(({ key, ifRev }) =>
      ifRev === undefined ? [] : [{ key, rev: ifRev }]
    );
    return this.#call(
      writes[0]?.key ?? "",
      true,
      purpose,
      () => this.#transact(compares, writes),
    );
  }

  grant(
    ttlMs: number,
    purpose: StorePurpose,
  ): Promise<Result<string, StoreError>> {
    return this.#call("", true, purpose, () => ok(this.store.grant(ttlMs)));
  }

  keepAlive(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>> {
    return this.#changeLease(purpose, () => this.store.keepAlive(leaseId));
  }

  revoke(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>> {
    return this.#changeLease(purpose, () => this.store.revoke(leaseId));
  }

  #changeLease(
    purpose: StorePurpose,
    change: () => boolean,
  ): Promise<Result<void, StoreError>> {
    return this.#call(
      "",
      true,
      purpose,
      () => change() ? ok(undefined) : err(makeStoreError("leaseGone")),
    );
  }

  watch(
    prefix: string,
    fromRev: number,
    onEvent: (event: WatchEvent) => void,
    purpose: StorePurpose,
  ): Watch {
    this.countCall(purpose);
    const watch = new MemoryWatch(onEvent, () => this.#watches.delete(watch));
    this.#watches.add(watch);
    if (this.faults.isCutOff(this.#vmId, prefix)) {
      watch.reportLost("the store is unreachable");
      return watch;
    }
    watch.addCleanUp(this.faults.onChange(() => {
      if (this.faults.isCutOff(this.#vmId, prefix)) watch.reportLost("cut off");
    }));
    watch.addCleanUp(this.store.watch(
      prefix,
      fromRev,
      (change) => watch.reportChange(change),
      (message) => watch.reportLost(message),
    ));
    return watch;
  }

  close(): Promise<void> {
    for (const watch of [...this.#watches]) watch.close();
    return Promise.resolve();
  }

  #transact(
    compares: Parameters<PlatformStore["transact"]>[0],
    writes: Parameters<PlatformStore["transact"]>[1],
  ): Result<number, StoreError> {
    const result = this.store.transact(compares, writes);
    switch (result.type) {
      case "done":
        return ok(result.rev);
      case "conflict": {
        const current = this.store.get(result.key);
        return err({
          kind: "conflict",
          message: `${result.key} has changed`,
          current: current && toEntry(current),
        });
      }
      default:
        return err(makeStoreError(result.type));
    }
  }

  async #call<T>(
    key: string,
    isWrite: boolean,
    purpose: StorePurpose,
    run: () => Result<T, StoreError>,
  ): Promise<Result<T, StoreError>> {
    this.countCall(purpose);
    const fault = this.faults.take(this.#vmId, key, isWrite);
    if (fault.slowMs > 0) await this.#clock.sleep(fault.slowMs);
    // Resolving in a later turn, as a socket would, keeps tests from relying on a result in the same turn.
    else await Promise.resolve();
    if (fault.outage === "cut") return err(makeStoreError("lost"));
    if (fault.outage === "refuse") return err(makeStoreError("unavailable"));
    const result = run();
    this.#generation = this.store.generation;
    return fault.loseAnswer ? err(makeStoreError("lost")) : result;
  }
}

class MemoryWatch implements Watch {
  readonly #onEvent: (event: WatchEvent) => void;
  readonly #cleanUps: (() => void)[] = [];
  #isClosed = false;

  constructor(onEvent: (event: WatchEvent) => void, onClosed: () => void) {
    this.#onEvent = onEvent;
    this.#cleanUps.push(onClosed);
  }
  addCleanUp(cleanUp: () => void): void {
    if (this.#isClosed) cleanUp();
    else this.#cleanUps.push(cleanUp);
  }
  reportChange(change: StoreChange): void {
    const event: WatchEvent = change.type === "put"
      ? { type: "put", entry: toEntry(change.entry) }
      : change;
    queueMicrotask(() => {
      if (!this.#isClosed) this.#onEvent(event);
    });
  }
  reportLost(message: string): void {
    if (this.#isClosed) return;
    this.close();
    queueMicrotask(() => this.#onEvent({ type: "lost", message }));
  }
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    for (const cleanUp of this.#cleanUps) cleanUp();
  }
}

function toEntry({ key, value, rev }: StoredEntry): Entry {
  return { key, value, rev };
}

function makeStoreError(
  kind: Exclude<StoreError["kind"], "conflict">,
): StoreError {
  return { kind, message: `the store answered: ${kind}` };
}
