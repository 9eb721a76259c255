/**
 * Keeps suspects in the key-value store: requests that crashed so many upstreams that a restart of all VMs must not
 * forget them, and the permission for a trial run of such a request, which only one VM holds at a time.
 *
 * @module
 */

import {
  type StoredSuspect,
  SuspectRecords,
  type SuspectUpdate,
} from "../suspects/mod.ts";
import type { Entry, KeyValue } from "./key_value.ts";

/** The longest lease that the store grants. A restart of all VMs takes only seconds. */
const RECORD_LEASE_MS = 10 * 60_000;
/**
 * Within this time a trial run has either crashed its upstream or succeeded. If the VM that holds the permission is lost,
 * the next trial run waits this long.
 */
export const TRIAL_LEASE_MS = 15_000;
/**
 * Limits how long a caller waits for a slow store. From another region the two store calls usually take two round trips
 * of 80 ms each way.
 */
const TRIAL_TIMEOUT_MS = 1_000;

/** Maximum number of upstreams in a record. Fewer suffice to reject a request. */
const MAX_RECORD_UPSTREAMS = 16;
/** How often a record is written anew that other VMs write at the same time. */
const MAX_PUT_TRIES = 4;

/** Options of {@link SuspectStore}. */
export interface SuspectStoreOptions {
  readonly store: KeyValue;
  readonly vmId: string;
  /** The monotonic clock. */
  readonly nowMs: () => number;
  /** When the store came back from an older copy, as other VMs say; `-Infinity` if it didn't. */
  readonly restoredMs: () => number;
  /** The shortest lease that the store grants. */
  readonly leastLeaseMs: number;
  /** Key prefix of the suspect records; the request's digest follows it. */
  readonly suspectPrefix: string;
  /** Key prefix of the permissions for trial runs; the request's digest follows it. */
  readonly trialPrefix: string;
}

/** Reads and writes suspect records and acquires permissions for trial runs. */
export class SuspectStore extends SuspectRecords {
  readonly #options: SuspectStoreOptions;
  /** The store's generation as it was known last, and when it changed. */
  #generation: number | undefined;
  #restoredMs = -Infinity;
  #hasLoss = false;
  /** The revisions of this VM's own permissions, by digest. */
  readonly #trialRevs = new Map<string, number>();

  constructor(options: SuspectStoreOptions) {
    super();
    this.#options = options;
  }

  /** Whether the store came back from an older copy since the last call, so that records may be missing. */
  takeLoss(): boolean {
    this.#checkGeneration();
    const hasLoss = this.#hasLoss;
    this.#hasLoss = false;
    return hasLoss;
  }

  async list(): Promise<StoredSuspect[] | undefined> {
    const { store, suspectPrefix } = this.#options;
    const listing = await store.list(suspectPrefix, {}, "other");
    if (listing.isErr()) return undefined;
    return listing.value.entries.flatMap(({ key, value }) => {
      const upstreams = decodeUpstreams(value);
      return upstreams
        ? [{ digest: key.slice(suspectPrefix.length), upstreams }]
        : [];
    });
  }

  async put({ digest, upstreams, past }: SuspectUpdate): Promise<boolean> {
    const key = this.#options.suspectPrefix + digest;
    let current: Entry | undefined;
    for (let tries = 0; tries < MAX_PUT_TRIES; tries++) {
      const stored = current && decodeUpstreams(current.value) || [];
      const merged = [...new Set([...stored, ...upstreams])]
        .filter((upstream) => !past.includes(upstream))
        .slice(-MAX_RECORD_UPSTREAMS);
      const value = JSON.stringify(merged);
      const rev = current?.rev ?? 0;
      const outcome = await this.#putLeased(key, value, RECORD_LEASE_MS, rev);
      if (outcome.type !== "conflict") return outcome.type === "stored";
      current = outcome.current;
    }
    return false;
  }

  /**
   * Acquires the permission for a trial run. While one may be in use that the store has forgotten, nobody gets another.
   */
  async acquireTrial(digest: string): Promise<boolean> {
    if (this.#mayHaveForgottenTrial) return false;
    const acquiring = this.#putLeased(
      this.#options.trialPrefix + digest,
      this.#options.vmId,
      TRIAL_LEASE_MS,
      0,
    ).then((outcome) => {
      if (outcome.type !== "stored") return false;
      this.#trialRevs.set(digest, outcome.rev);
      return true;
    });
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<boolean>((resolve) => {
      timer = setTimeout(() => resolve(false), TRIAL_TIMEOUT_MS);
    });
    const isAcquired = await Promise.race([acquiring, timeout]);
    clearTimeout(timer);
    return isAcquired && !this.#mayHaveForgottenTrial;
  }

  get #mayHaveForgottenTrial(): boolean {
    this.#checkGeneration();
    const { nowMs, restoredMs } = this.#options;
    const latestMs = Math.max(this.#restoredMs, restoredMs());
    return nowMs() - latestMs < TRIAL_LEASE_MS;
  }

  #checkGeneration(): void {
    const { store, nowMs } = this.#options;
    const before = this.#generation;
    this.#generation = store.generation;
    if (before === undefined || before === this.#generation) return;
    this.#restoredMs = nowMs();
    this.#hasLoss = true;
  }

  async releaseTrial(digest: string): Promise<void> {
    const { store, trialPrefix } = this.#options;
    const key = trialPrefix + digest;
    const ifRev = this.#trialRevs.get(digest);
    if (ifRev === undefined) return;
    this.#trialRevs.delete(digest);
    // If it fails, the permission lapses with its lease, or has lapsed and is another VM's by now.
    await store.transact([{ type: "delete", key, ifRev }], "other");
  }

  async delete(digest: string): Promise<boolean> {
    const { store, suspectPrefix, trialPrefix } = this.#options;
    const deleted = await store.transact([
      { type: "delete", key: suspectPrefix + digest },
      { type: "delete", key: trialPrefix + digest },
    ], "other");
    return deleted.isOk();
  }

  async #putLeased(
    key: string,
    value: string,
    leaseMs: number,
    ifRev: number,
  ): Promise<PutOutcome> {
    const { store, leastLeaseMs } = this.#options;
    const lease = await store.grant(
      Math.max(leastLeaseMs, leaseMs),
      "other",
    );
    if (lease.isErr()) return { type: "failed" };
    const put = await store.put(
      key,
      value,
      { leaseId: lease.value, ifRev },
      "other",
    );
    if (put.isOk()) return { type: "stored", rev: put.value };
    void store.revoke(lease.value, "other");
    if (put.error.kind !== "conflict") return { type: "failed" };
    return { type: "conflict", current: put.error.current };
  }
}

/** What came of a write that is made only if the key is as it was. */
type PutOutcome =
  | { readonly type: "stored"; readonly rev: number }
  | { readonly type: "failed" }
  | { readonly type: "conflict"; readonly current: Entry | undefined };

/** Decodes a stored list of upstreams; gives `undefined` for a value that is not such a list. */
function decodeUpstreams(value: string): string[] | undefined {
  try {
    const keys: unknown = JSON.parse(value);
    if (!Array.isArray(keys)) return undefined;
    return keys.filter((key): key is string => typeof key === "string");
  } catch {
    return undefined;
  }
}
