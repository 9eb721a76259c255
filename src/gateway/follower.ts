/**
 * Follows the keys under a prefix of the store: lists them, then asks for what changes, and lists anew after a gap.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  Entry,
  Listing,
  StoreError,
  StorePurpose,
  WatchEvent,
} from "../adapters/mod.ts";
import { backoffMs, type Clock, Random } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";

/** What a follower needs of the store. */
export interface FollowedStore {
  list(
    prefix: string,
    options: Record<string, never>,
    purpose: StorePurpose,
  ): Promise<Result<Listing, StoreError>>;
  changes(
    prefix: string,
    afterRev: number,
    waitMs: number,
    purpose: StorePurpose,
  ): Promise<
    Result<
      { readonly events: readonly WatchEvent[]; readonly rev: number },
      { readonly kind: string; readonly message: string }
    >
  >;
}

/** The keys under a prefix at a revision. */
export interface Snapshot {
  readonly entries: readonly Entry[];
  readonly rev: number;
}

/** Who is told of changes. */
export interface FollowerOptions {
  readonly store: FollowedStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Log;
  /** How long one question for changes waits at the store. */
  readonly waitMs: number;
  /** Pause after changes, so that many small ones are taken together and cost one call. */
  readonly pauseMs: number;
  readonly onPut: (entry: Entry) => void;
  readonly onDelete: (key: string) => void;
}

/** First and longest wait after a failed call: an outage costs four calls a second and VM at most. */
const RETRY = { firstMs: 150, mostMs: 500 };

/** See the module. */
export class Follower {
  readonly #options: FollowerOptions;
  readonly #entries = new Map<string, Entry>();
  readonly #random = new Random(process.pid);
  #rev = 0;
  #open = true;
  #failures = 0;
  #heardMonoMs = -Infinity;
  #failingSinceMonoMs: number | undefined;
  #recoveredMonoMs = -Infinity;

  constructor(options: FollowerOptions) {
    this.#options = options;
  }

  /** Starts to follow; never throws. */
  start(): void {
    void this.#run();
  }

  close(): void {
    this.#open = false;
  }

  /** The store's revision that the entries are known to hold at; 0 before the first listing. */
  get rev(): number {
    return this.#rev;
  }

  /** Whether the last call failed. */
  get isFailing(): boolean {
    return this.#failures > 0 || this.#rev === 0;
  }

  /** When the store answered last, on the monotonic clock. */
  get heardMonoMs(): number {
    return this.#heardMonoMs;
  }

  /** When the store answered again after failures, on the monotonic clock; `-Infinity` if it never failed. */
  get recoveredMonoMs(): number {
    return this.#recoveredMonoMs;
  }

  snapshot(): Snapshot {
    return { entries: [...this.#entries.values()], rev: this.#rev };
  }

  /** Takes in what another VM read, if it is newer. Returns whether it was. */
  adopt(snapshot: Snapshot): boolean {
    if (snapshot.rev <= this.#rev) return false;
    this.#replace(snapshot);
    return true;
  }

  async #run(): Promise<void> {
    let listed = false;
    while (this.#open) {
      listed = listed ? await this.#follow() : await this.#list();
      if (listed) continue;
      const waitMs = this.#failures === 0
        ? 0
        : backoffMs(this.#failures - 1, RETRY, this.#random);
      await this.#options.clock.sleep(waitMs);
    }
  }

  async #list(): Promise<boolean> {
    const { store, prefix } = this.#options;
    const listing = await store.list(prefix, {}, "table");
    if (!this.#open) return false;
    if (listing.isErr()) {
      this.#failed(listing.error);
      return false;
    }
    this.#heard();
    if (listing.value.rev >= this.#rev) this.#replace(listing.value);
    return true;
  }

  async #follow(): Promise<boolean> {
    const { store, prefix, waitMs, pauseMs, clock } = this.#options;
    const changes = await store.changes(prefix, this.#rev, waitMs, "table");
    if (!this.#open) return false;
    if (changes.isErr()) {
      if (changes.error.kind !== "compacted") this.#failed(changes.error);
      return false;
    }
    this.#heard();
    for (const event of changes.value.events) this.#apply(event);
    this.#rev = Math.max(this.#rev, changes.value.rev);
    if (pauseMs > 0) await clock.sleep(pauseMs);
    return true;
  }

  #apply(event: WatchEvent): void {
    if (event.type === "put") this.#put(event.entry);
    else if (
      event.type === "delete" &&
      (this.#entries.get(event.key)?.rev ?? Infinity) < event.rev
    ) {
      this.#entries.delete(event.key);
      this.#options.onDelete(event.key);
    }
  }

  #put(entry: Entry): void {
    const before = this.#entries.get(entry.key);
    if (before && before.rev >= entry.rev) return;
    this.#entries.set(entry.key, entry);
    this.#options.onPut(entry);
  }

  #replace({ entries, rev }: Snapshot): void {
    const present = new Set(entries.map(({ key }) => key));
    for (const key of [...this.#entries.keys()]) {
      if (present.has(key)) continue;
      this.#entries.delete(key);
      this.#options.onDelete(key);
    }
    for (const entry of entries) this.#put(entry);
    this.#rev = rev;
  }

  #heard(): void {
    const nowMs = this.#options.clock.monoMs();
    this.#heardMonoMs = nowMs;
    this.#failures = 0;
    if (this.#failingSinceMonoMs === undefined) return;
    this.#options.log.info("store regained", {
      prefix: this.#options.prefix,
      awayMs: Math.round(nowMs - this.#failingSinceMonoMs),
    });
    this.#failingSinceMonoMs = undefined;
    this.#recoveredMonoMs = nowMs;
  }

  #failed(error: { kind: string; message: string }): void {
    this.#failures++;
    if (this.#failingSinceMonoMs !== undefined) return;
    this.#failingSinceMonoMs = this.#options.clock.monoMs();
    this.#options.log.warn("store lost", {
      prefix: this.#options.prefix,
      kind: error.kind,
      reason: error.message,
    });
  }
}
