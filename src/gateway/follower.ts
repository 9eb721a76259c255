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

/** What changed under a prefix since a revision, as one VM tells another. */
export interface News {
  /** What must be taken in; whatever is missing here holds on, unless `whole`. */
  readonly entries: readonly Entry[];
  readonly deleted: readonly { readonly key: string; readonly rev: number }[];
  /** Whether `entries` are all there are. */
  readonly whole: boolean;
  /** The store's revision that the teller had got to. */
  readonly rev: number;
  /** Revision of the teller's last news. */
  readonly newsRev: number;
  /** Since when the store answers the teller again after an outage, in ms before the telling; absent if it never failed. */
  readonly recoveredAgoMs?: number;
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
  /** Whether this VM asks the store now; if not, it lives on what other VMs tell it. */
  readonly isReader: () => boolean;
  /** Whether an entry says anything that the one before did not; what does not is not told to other VMs. */
  readonly isNews: (entry: Entry) => boolean;
  /** What is kept of an entry that the store tells, and told to other VMs. */
  readonly seal?: (entry: Entry) => Entry;
  readonly onPut: (entry: Entry) => void;
  readonly onDelete: (key: string) => void;
}

/** First and longest wait after a failed call: an outage costs four calls a second and VM at most. */
const RETRY = { firstMs: 150, mostMs: 500 };

/** How often a VM that does not ask looks whether it should; a lead that is gone is found in twice this time. */
const LOOK_MS = 500;
/** Deletions that are remembered to be told; a VM that is further behind is told all entries. */
const MOST_DELETED = 500;

/** An entry with the revision at which it last said something new. */
interface Held {
  readonly entry: Entry;
  readonly newsRev: number;
}

/** See the module. */
export class Follower {
  readonly #options: FollowerOptions;
  readonly #entries = new Map<string, Held>();
  /** Keys that are gone, with the revision of their end, oldest first. */
  readonly #deleted = new Map<string, number>();
  /** Deletions before this revision are not remembered. */
  #deletedFromRev = 0;
  /** Last news of the first listing, in which nothing tells what is new. */
  #firstNewsRev = 0;
  #newsRev = 0;
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

  /** Revision of the last change that said anything: whoever says a higher one knows more. */
  get newsRev(): number {
    return this.#newsRev;
  }

  /**
   * What this VM says of its news to others. After its first listing all looks new to it; saying so would make each VM
   * of the region ask it for everything, so it says only that it knows something.
   */
  get saidRev(): number {
    return this.#newsRev > this.#firstNewsRev
      ? this.#newsRev
      : Math.min(1, this.#newsRev);
  }

  /** What another VM that is at the news `sinceNewsRev` lacks. */
  newsSince(sinceNewsRev: number): News {
    const whole = sinceNewsRev < this.#deletedFromRev;
    const held = [...this.#entries.values()];
    const recoveredAgoMs = this.#options.clock.monoMs() -
      this.#recoveredMonoMs;
    return {
      entries: held.filter(({ newsRev }) => whole || newsRev > sinceNewsRev)
        .map(({ entry }) => entry),
      deleted: [...this.#deleted].filter(([, rev]) => rev > sinceNewsRev)
        .map(([key, rev]) => ({ key, rev })),
      whole,
      rev: this.#rev,
      newsRev: this.#newsRev,
      ...(recoveredAgoMs < Infinity ? { recoveredAgoMs } : {}),
    };
  }

  /** Takes in what another VM told, if it is news. Returns whether it was. */
  adopt(news: News): boolean {
    if (news.newsRev <= this.#newsRev) return false;
    if (news.recoveredAgoMs !== undefined) {
      this.#recoveredMonoMs = Math.max(
        this.#recoveredMonoMs,
        this.#options.clock.monoMs() - news.recoveredAgoMs,
      );
    }
    if (news.whole) this.#replace(news);
    else {
      for (const { key, rev } of news.deleted) this.#delete(key, rev);
      for (const entry of news.entries) this.#put(entry);
    }
    // Another VM knows only what was news: from its revision on nothing is missing, before it nothing that matters.
    this.#rev = Math.max(this.#rev, news.rev);
    this.#newsRev = Math.max(this.#newsRev, news.newsRev);
    return true;
  }

  async #run(): Promise<void> {
    let listed = false;
    while (this.#open) {
      // The first listing is every VM's own: it must not wait for others to be found.
      if (this.#rev > 0 && !this.#options.isReader()) {
        this.#failures = 0;
        this.#failingSinceMonoMs = undefined;
        listed = true;
        await this.#options.clock.sleep(LOOK_MS);
        continue;
      }
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
    const isFirst = this.#rev === 0;
    if (listing.value.rev >= this.#rev) {
      const { entries, rev } = listing.value;
      this.#replace({ entries: entries.map((it) => this.#seal(it)), rev });
    }
    // What was deleted before the first listing is not known: whoever is older must take all.
    if (isFirst) {
      this.#deletedFromRev = this.#newsRev;
      this.#firstNewsRev = this.#newsRev;
    }
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

  #seal(entry: Entry): Entry {
    return this.#options.seal?.(entry) ?? entry;
  }

  #apply(event: WatchEvent): void {
    if (event.type === "put") this.#put(this.#seal(event.entry));
    else if (
      event.type === "delete"
    ) this.#delete(event.key, event.rev);
  }

  #delete(key: string, rev: number): void {
    if ((this.#entries.get(key)?.entry.rev ?? Infinity) >= rev) return;
    this.#entries.delete(key);
    this.#deleted.delete(key);
    this.#deleted.set(key, rev);
    for (const [oldest, oldestRev] of this.#deleted) {
      if (this.#deleted.size <= MOST_DELETED) break;
      this.#deleted.delete(oldest);
      this.#deletedFromRev = oldestRev;
    }
    this.#newsRev = Math.max(this.#newsRev, rev);
    this.#options.onDelete(key);
  }

  #put(entry: Entry): void {
    const before = this.#entries.get(entry.key);
    if (before && before.entry.rev >= entry.rev) return;
    const newsRev = before && !this.#options.isNews(entry)
      ? before.newsRev
      : entry.rev;
    this.#entries.set(entry.key, { entry, newsRev });
    this.#deleted.delete(entry.key);
    this.#newsRev = Math.max(this.#newsRev, newsRev);
    this.#options.onPut(entry);
  }

  #replace(
    { entries, rev }: { entries: readonly Entry[]; rev: number },
  ): void {
    const present = new Set(entries.map(({ key }) => key));
    for (const key of [...this.#entries.keys()]) {
      if (!present.has(key)) this.#delete(key, rev);
    }
    for (const entry of entries) this.#put(entry);
    this.#rev = Math.max(this.#rev, rev);
    this.#newsRev = Math.max(this.#newsRev, 1);
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
