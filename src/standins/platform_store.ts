/**
 * The state of the platform's key-value service: revisions, compare-and-swap transactions, leases and watches. The
 * stand-in servers and {@link MemoryKeyValue} share it, so that all behave the same.
 *
 * @module
 */

/** A stored value with the revision of its last change and its lease, if it has one. */
export interface StoredEntry {
  readonly key: string;
  readonly value: string;
  readonly rev: number;
  readonly leaseId?: string;
}

/** A condition that holds if the key's revision is `rev`; 0 stands for a missing key. */
export interface Compare {
  readonly key: string;
  readonly rev: number;
}

/** One write of a transaction. */
export type StoreWrite =
  | {
    readonly type: "put";
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string;
  }
  | { readonly type: "delete"; readonly key: string };

/** A change as a watch reports it. */
export type StoreChange =
  | { readonly type: "put"; readonly rev: number; readonly entry: StoredEntry }
  | { readonly type: "delete"; readonly rev: number; readonly key: string };

/** Result of a transaction. */
export type TransactionResult =
  | { readonly type: "done"; readonly rev: number }
  | { readonly type: "conflict"; readonly key: string }
  | { readonly type: "leaseGone" }
  | { readonly type: "tooLarge" };

/** A copy of all entries of the store, which tests restore later. */
export interface StoreCopy {
  readonly rev: number;
  readonly entries: readonly StoredEntry[];
  readonly nextLeaseId: number;
}

interface Lease {
  readonly ttlMs: number;
  expiresAtMs: number;
}

interface Watcher {
  readonly prefix: string;
  readonly onChange: (change: StoreChange) => void;
  readonly onLost: (message: string) => void;
}

/** Limits of a {@link PlatformStore}. */
export interface StoreLimits {
  /** Maximum size of a value. */
  readonly maxValueBytes: number;
  /** Number of changes kept for watches that start in the past. */
  readonly historyLength: number;
}

const DEFAULT_LIMITS: StoreLimits = {
  maxValueBytes: 1024 * 1024,
  historyLength: 20_000,
};

/** An in-memory key-value store. It reads the time from `nowMs`, so that a test can control it. */
export class PlatformStore {
  readonly limits: StoreLimits;
  readonly #nowMs: () => number;
  readonly #watchers = new Set<Watcher>();
  readonly #leases = new Map<string, Lease>();
  #entries = new Map<string, StoredEntry>();
  #sortedKeys: string[] | undefined;
  #history: StoreChange[] = [];
  #compactedRev = 0;
  #rev = 1;
  #nextLeaseId = 1;
  /** How often it came back from an older copy. */
  generation = 0;

  constructor(nowMs: () => number, limits: Partial<StoreLimits> = {}) {
    this.#nowMs = nowMs;
    this.limits = { ...DEFAULT_LIMITS, ...limits };
  }

  /** The revision of the last change. */
  get rev(): number {
    return this.#rev;
  }
  /** The number of open watches. */
  get watchCount(): number {
    return this.#watchers.size;
  }

  get(key: string): StoredEntry | undefined {
    this.expireLeases();
    return this.#entries.get(key);
  }

  /** Entries with `fromKey` <= key < `endKey`, in key order. */
  range(
    fromKey: string,
    endKey: string,
    limit: number,
  ): { readonly entries: StoredEntry[]; readonly more: boolean } {
    this.expireLeases();
    const keys = this.#getSortedKeys();
    const entries: StoredEntry[] = [];
    for (let i = lowerBound(keys, fromKey); i < keys.length; i++) {
      if (keys[i] >= endKey) break;
      if (entries.length === limit) return { entries, more: true };
      entries.push(this.#entries.get(keys[i])!);
    }
    return { entries, more: false };
  }

  /** Applies all writes under one new revision if every condition holds. */
  transact(
    compares: readonly Compare[],
    writes: readonly StoreWrite[],
  ): TransactionResult {
    this.expireLeases();
    for (const { key, rev } of compares) {
      if ((this.#entries.get(key)?.rev ?? 0) !== rev) {
        return { type: "conflict", key };
      }
    }
    for (const write of writes) {
      if (write.type !== "put") continue;
      if (Buffer.byteLength(write.value) > this.limits.maxValueBytes) {
        return { type: "tooLarge" };
      }
      if (write.leaseId && !this.#leases.has(write.leaseId)) {
        return { type: "leaseGone" };
      }
    }
    this.#rev++;
    for (const write of writes) this.#applyWrite(write);
    return { type: "done", rev: this.#rev };
  }

  grant(ttlMs: number): string {
    const id = String(this.#nextLeaseId++);
    this.#leases.set(id, { ttlMs, expiresAtMs: this.#nowMs() + ttlMs });
    return id;
  }

  /** Renews a lease; returns false if it has expired. */
  keepAlive(id: string): boolean {
    this.expireLeases();
    const lease = this.#leases.get(id);
    if (lease) lease.expiresAtMs = this.#nowMs() + lease.ttlMs;
    return lease !== undefined;
  }

  /** Ends a lease and deletes its keys; returns false if it has expired. */
  revoke(id: string): boolean {
    if (!this.#leases.delete(id)) return false;
    this.#deleteKeysOf(id);
    return true;
  }

  /** Removes expired leases and deletes their keys. */
  expireLeases(): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs > this.#nowMs()) continue;
      this.#leases.delete(id);
      this.#deleteKeysOf(id);
    }
  }

  /** Reports changes of keys with `prefix`, starting at `fromRev`; returns a function that ends the watch. */
  watch(
    prefix: string,
    fromRev: number,
    onChange: (change: StoreChange) => void,
    onLost: (message: string) => void,
  ): () => void {
    if (fromRev <= this.#compactedRev || fromRev > this.#rev + 1) {
      onLost(`history from ${this.#compactedRev} to ${this.#rev}`);
      return () => {};
    }
    for (const change of this.#history) {
      if (change.rev >= fromRev && getKey(change).startsWith(prefix)) {
        onChange(change);
      }
    }
    const watcher = { prefix, onChange, onLost };
    this.#watchers.add(watcher);
    return () => void this.#watchers.delete(watcher);
  }

  /** Discards the history up to `rev`; a watch that starts there or earlier gets `onLost`. */
  compact(rev: number): void {
    this.#compactedRev = Math.max(this.#compactedRev, rev);
    this.#history = this.#history.filter((change) => change.rev > rev);
  }

  copy(): StoreCopy {
    return {
      rev: this.#rev,
      entries: [...this.#entries.values()],
      nextLeaseId: this.#nextLeaseId,
    };
  }

  /**
   * Replaces the state by an old copy, as a restore from a backup does: the revision goes back, watches break, and leases
   * that were granted since are gone. Their ids are given out again.
   */
  restore(copy: StoreCopy): void {
    this.generation++;
    this.#nextLeaseId = copy.nextLeaseId;
    for (const id of this.#leases.keys()) {
      if (Number(id) >= copy.nextLeaseId) this.#leases.delete(id);
    }
    this.#rev = copy.rev;
    this.#entries = new Map(
      copy.entries.filter(({ leaseId }) =>
        leaseId === undefined || this.#leases.has(leaseId)
      ).map((entry) => [entry.key, entry]),
    );
    this.#sortedKeys = undefined;
    this.#history = [];
    this.#compactedRev = copy.rev;
    for (const watcher of [...this.#watchers]) {
      this.#watchers.delete(watcher);
      watcher.onLost("the store was restored");
    }
  }

  #applyWrite(write: StoreWrite): void {
    if (write.type === "delete") {
      if (!this.#entries.delete(write.key)) return;
      this.#sortedKeys = undefined;
      this.#recordChange({ type: "delete", rev: this.#rev, key: write.key });
      return;
    }
    const { key, value, leaseId } = write;
    const entry = { key, value, rev: this.#rev, leaseId };
    if (!this.#entries.has(key)) this.#insertKey(key);
    this.#entries.set(key, entry);
    this.#recordChange({ type: "put", rev: this.#rev, entry });
  }

  #deleteKeysOf(leaseId: string): void {
    const keys = [...this.#entries.values()]
      .filter((entry) => entry.leaseId === leaseId)
      .map((entry) => entry.key);
    if (keys.length === 0) return;
    this.#rev++;
    for (const key of keys) this.#applyWrite({ type: "delete", key });
  }

  #recordChange(change: StoreChange): void {
    this.#history.push(change);
    if (this.#history.length > 2 * this.limits.historyLength) {
      this.compact(this.#history[this.limits.historyLength].rev);
    }
    const key = getKey(change);
    for (const watcher of this.#watchers) {
      if (key.startsWith(watcher.prefix)) watcher.onChange(change);
    }
  }

  #getSortedKeys(): string[] {
    this.#sortedKeys ??= [...this.#entries.keys()].sort();
    return this.#sortedKeys;
  }

  #insertKey(key: string): void {
    this.#sortedKeys?.splice(lowerBound(this.#sortedKeys, key), 0, key);
  }
}

function getKey(change: StoreChange): string {
  return change.type === "put" ? change.entry.key : change.key;
}

function lowerBound(keys: readonly string[], key: string): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (keys[middle] < key) low = middle + 1;
    else high = middle;
  }
  return low;
}
