/**
 * Follows the keys under a prefix of the store: lists them, then asks for what changes, and lists anew after a gap. While
 * other VMs do that, it takes their news.
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
import {
  type ApplyResult,
  type News,
  Replica,
  type ReplicaOptions,
} from "./replica.ts";

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

/** Who is told of changes. */
export interface FollowerOptions extends ReplicaOptions {
  readonly store: FollowedStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Log;
  /** How long one question for changes waits at the store. */
  readonly waitMs: number;
  /** Pause after changes, so that many small ones are taken together and cost one call. */
  readonly pauseMs: number;
  /** Whether this VM asks the store now; if not, it lives on what other VMs tell it. */
  readonly isReader: () => boolean;
  /** What is kept of an entry that the store tells, and told to other VMs. */
  readonly seal?: (entry: Entry) => Entry;
}

/** First and longest wait after a failed call: an outage costs four calls a second and VM at most. */
const RETRY = { firstMs: 150, maxMs: 500 };

/** How often a VM that does not ask looks whether it should; a lead that is gone is found in twice this time. */
const READER_CHECK_MS = 500;
/** Keys that one log line names. */
const MAX_LOGGED_KEYS = 8;

/** See the module. */
export class Follower {
  readonly #options: FollowerOptions;
  readonly #replica: Replica;
  readonly #random = new Random(process.pid);
  #isOpen = true;
  #failures = 0;
  #answeredMonoMs = -Infinity;
  #failingSinceMonoMs: number | undefined;
  #recoveredMonoMs = -Infinity;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#replica = new Replica(options);
  }

  /** Starts to follow; never throws. */
  start(): void {
    void this.#run();
  }

  close(): void {
    this.#isOpen = false;
  }

  /** Whether the last call failed. */
  get isFailing(): boolean {
    return this.#failures > 0 || this.#replica.rev === 0;
  }

  /** When the store answered last, on the monotonic clock. */
  get answeredMonoMs(): number {
    return this.#answeredMonoMs;
  }

  /** When the store answered again after failures, on the monotonic clock; `-Infinity` if it never failed. */
  get recoveredMonoMs(): number {
    return this.#recoveredMonoMs;
  }

  /** See {@link Replica.newsRev}. */
  get newsRev(): number {
    return this.#replica.newsRev;
  }

  /** See {@link Replica.announcedRev}. */
  get announcedRev(): number {
    return this.#replica.announcedRev;
  }

  /** What another VM that is at the news `sinceNewsRev` lacks. */
  newsSince(sinceNewsRev: number): News {
    const recoveredAgoMs = this.#options.clock.monoMs() -
      this.#recoveredMonoMs;
    return {
      ...this.#replica.newsSince(sinceNewsRev),
      ...(recoveredAgoMs < Infinity ? { recoveredAgoMs } : {}),
    };
  }

  /** Takes in what the VM `from` told, if it is news. Returns whether it was. */
  adopt(news: News, from: string): boolean {
    // An outage has to be known of before the entries that lapsed in it are.
    if (news.recoveredAgoMs !== undefined && news.rev > this.#replica.rev) {
      this.#recoveredMonoMs = Math.max(
        this.#recoveredMonoMs,
        this.#options.clock.monoMs() - news.recoveredAgoMs,
      );
    }
    const result = this.#replica.adopt(news);
    this.#logStaleKeys(result, news.rev, from);
    return result.isNewer;
  }

  async #run(): Promise<void> {
    let hasListed = false;
    while (this.#isOpen) {
      // The first listing is every VM's own: it must not wait for others to be found.
      if (this.#replica.rev > 0 && !this.#options.isReader()) {
        this.#failures = 0;
        this.#failingSinceMonoMs = undefined;
        hasListed = true;
        await this.#options.clock.sleep(READER_CHECK_MS);
        continue;
      }
      hasListed = hasListed ? await this.#pollChanges() : await this.#listAll();
      if (hasListed) continue;
      const waitMs = this.#failures === 0
        ? 0
        : backoffMs(this.#failures - 1, RETRY, this.#random);
      await this.#options.clock.sleep(waitMs);
    }
  }

  async #listAll(): Promise<boolean> {
    const { store, prefix } = this.#options;
    const askedAtRev = this.#replica.rev;
    const listing = await store.list(prefix, {}, "table");
    if (!this.#isOpen) return false;
    if (listing.isErr()) {
      this.#noteFailure(listing.error);
      return false;
    }
    this.#noteAnswer();
    const { entries, rev, more } = listing.value;
    if (rev < askedAtRev) this.#logRegression(rev);
    this.#replica.applyListing({
      entries: entries.map((entry) => this.#sealEntry(entry)),
      rev,
      more,
    });
    return true;
  }

  async #pollChanges(): Promise<boolean> {
    const { store, prefix, waitMs, pauseMs, clock } = this.#options;
    const afterRev = this.#replica.rev;
    const changes = await store.changes(prefix, afterRev, waitMs, "table");
    if (!this.#isOpen) return false;
    if (changes.isErr()) {
      if (changes.error.kind !== "compacted") this.#noteFailure(changes.error);
      return false;
    }
    this.#noteAnswer();
    const { events, rev } = changes.value;
    const result = this.#replica.applyChanges(
      events.map((event) => this.#sealEvent(event)),
      rev,
    );
    this.#logStaleKeys(result, rev, "store");
    if (pauseMs > 0) await clock.sleep(pauseMs);
    return true;
  }

  #sealEntry(entry: Entry): Entry {
    return this.#options.seal?.(entry) ?? entry;
  }

  #sealEvent(event: WatchEvent): WatchEvent {
    return event.type === "put"
      ? { type: "put", entry: this.#sealEntry(event.entry) }
      : event;
  }

  /** Without this line nothing shows that a VM was told what is no longer so, nor by whom. */
  #logStaleKeys({ staleKeys }: ApplyResult, rev: number, from: string): void {
    if (staleKeys.length === 0) return;
    this.#options.log.info("old word left out", {
      prefix: this.#options.prefix,
      from,
      rev,
      knownRev: this.#replica.rev,
      keys: staleKeys.slice(0, MAX_LOGGED_KEYS).join(),
      count: staleKeys.length,
    });
  }

  /** Nothing of a store that starts its revisions anew can be told from old word: VMs have to start anew too. */
  #logRegression(rev: number): void {
    this.#options.log.error("store went back", {
      prefix: this.#options.prefix,
      rev,
      knownRev: this.#replica.rev,
    });
  }

  #noteAnswer(): void {
    const nowMs = this.#options.clock.monoMs();
    this.#answeredMonoMs = nowMs;
    this.#failures = 0;
    if (this.#failingSinceMonoMs === undefined) return;
    this.#options.log.info("store regained", {
      prefix: this.#options.prefix,
      awayMs: Math.round(nowMs - this.#failingSinceMonoMs),
    });
    this.#failingSinceMonoMs = undefined;
    this.#recoveredMonoMs = nowMs;
  }

  #noteFailure(error: { kind: string; message: string }): void {
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
