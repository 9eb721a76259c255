/**
 * The interface of the platform's key-value service: compare-and-swap, leases and watches. Each subclass implements one
 * protocol or a stand-in. A test checks the same contract on the etcd client and on the in-memory stand-in.
 *
 * @module
 */

import type { Result } from "neverthrow";

/** A stored value. `rev` is the store-wide revision of its last change; revisions only increase. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  readonly rev: number;
}

/**
 * Why a call failed.
 * - `unavailable`: nothing was sent, or the store refused the call. The call did not take effect.
 * - `lost`: the call was sent and no answer arrived. It may have taken effect, so the caller must read the key again.
 * - `conflict`: the compare failed; `current` is the entry that is stored now.
 * - `limited`: the store's rate limit was exceeded. The call did not take effect.
 * - `tooLarge`: the value exceeds the store's size limit.
 * - `leaseGone`: the lease has expired.
 */
export type StoreError =
  | {
    readonly kind:
      | "unavailable"
      | "lost"
      | "limited"
      | "tooLarge"
      | "leaseGone";
    readonly message: string;
  }
  | {
    readonly kind: "conflict";
    readonly message: string;
    readonly current?: Entry;
  };

/** The condition and the lease of a {@link KeyValue.put}. */
export interface PutOptions {
  /** The write succeeds only if the key has this `rev`; 0 means that the key must not exist. */
  readonly ifRev?: number;
  /** The store deletes the key when this lease expires. */
  readonly leaseId?: string;
}

/** One write of a {@link KeyValue.transact}. */
export type Write =
  | {
    readonly type: "put";
    readonly key: string;
    readonly value: string;
    readonly ifRev?: number;
  }
  | { readonly type: "delete"; readonly key: string; readonly ifRev?: number };

/** An event of a watch. After `lost` the watcher must list the keys again and watch from the listing's revision. */
export type WatchEvent =
  | { readonly type: "put"; readonly entry: Entry }
  | { readonly type: "delete"; readonly key: string; readonly rev: number }
  | { readonly type: "lost"; readonly message: string };

/** A listing and the store revision at which it was read. A watch that continues it starts at `rev + 1`. */
export interface Listing {
  readonly entries: readonly Entry[];
  readonly rev: number;
  /** Whether there are more keys beyond `limit`. */
  readonly more: boolean;
  /**
   * How often the store has come back from an older copy; absent if it does not say. Revisions of different generations
   * can't be compared: the store gives them out again.
   */
  readonly generation?: number | undefined;
}

/** An open watch. */
export interface Watch {
  close(): void;
}

/** The purpose under which a call is counted, so that the use of the store's call budget can be shown by purpose. */
export type StorePurpose =
  | "table"
  | "claims"
  | "fencing"
  | "membership"
  | "other";

/** A connection to the platform's key-value service. */
export abstract class KeyValue {
  readonly #counts: Record<StorePurpose, number> = {
    table: 0,
    claims: 0,
    fencing: 0,
    membership: 0,
    other: 0,
  };

  /**
   * The highest {@link Listing.generation} that any answer named; `undefined` if none did. A lease that was granted in an
   * earlier one may be gone, and its id another VM's.
   */
  get generation(): number | undefined {
    return undefined;
  }

  /** Reads one entry; gives `undefined` if the key does not exist. */
  abstract get(
    key: string,
    purpose: StorePurpose,
  ): Promise<Result<Entry | undefined, StoreError>>;

  /** Reads the entries whose keys start with `prefix`, in key order, beginning at `fromKey`. */
  abstract list(
    prefix: string,
    options: { readonly fromKey?: string; readonly limit?: number },
    purpose: StorePurpose,
  ): Promise<Result<Listing, StoreError>>;

  /** Writes one value and returns its new `rev`. */
  abstract put(
    key: string,
    value: string,
    options: PutOptions,
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>>;

  /** Applies all writes or none, and returns their common `rev`. The store counts a transaction as one write. */
  abstract transact(
    writes: readonly Write[],
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>>;

  /** Grants a lease. The store deletes the keys bound to it when it is not kept alive for `ttlMs`. */
  abstract grant(
    ttlMs: number,
    purpose: StorePurpose,
  ): Promise<Result<string, StoreError>>;

  /** Extends a lease by the `ttlMs` with which it was granted. */
  abstract keepAlive(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>>;

  /** Ends a lease and deletes its keys. */
  abstract revoke(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>>;

  /** Reports the changes of keys that start with `prefix`, in order, from revision `fromRev` until it is closed. */
  abstract watch(
    prefix: string,
    fromRev: number,
    onEvent: (event: WatchEvent) => void,
    purpose: StorePurpose,
  ): Watch;

  /** Returns the number of calls made so far, by purpose. */
  counts(): Readonly<Record<StorePurpose, number>> {
    return { ...this.#counts };
  }

  /** Counts a call. */
  protected countCall(purpose: StorePurpose): void {
    this.#counts[purpose]++;
  }

  abstract close(): Promise<void>;
}

/** Returns the first key after all keys that start with `prefix`, in the byte order of ASCII keys. */
export function prefixEnd(prefix: string): string {
  if (prefix === "") return "\uffff";
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
