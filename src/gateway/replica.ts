/**
 * One VM's copy of the entries under a prefix of the store, complete up to a revision.
 *
 * Updates of a key come in four ways: listings, changes, and other VMs' news, full or partial. They may arrive out of
 * order. Each states the revision up to which it holds; an update that holds no further than what is already known is
 * stale and changes nothing.
 *
 * @module
 */

import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";

/** A deleted key, and a revision at which it was certainly gone. */
export interface DeletedKey {
  readonly key: string;
  readonly rev: number;
}

/** What changed under a prefix since a revision, as one VM sends it to another. */
export interface News {
  /** Entries whose content changed since. */
  readonly entries: readonly Entry[];
  /** Keys that were deleted since, as far as the sender remembers. */
  readonly deleted: readonly DeletedKey[];
  /** All existing keys, if the sender doesn't remember all deletions since. */
  readonly present?: readonly string[];
  /** The store's revision that the sender had reached. */
  readonly rev: number;
  /** Revision of the sender's latest news. */
  readonly newsRev: number;
  /** Time since the store answered the sender again after an outage, as of the sending; absent if it never failed. */
  readonly recoveredAgoMs?: number;
}

/** Options of {@link Replica}. */
export interface ReplicaOptions {
  /** Whether an entry's content differs from the one before; an entry without a difference is not sent to other VMs. */
  readonly isNews: (entry: Entry) => boolean;
  /**
   * Whether entries are rewritten regularly without a change, so that all of a first listing looks new. Announcing that
   * as news would make each VM of the region ask this one for everything.
   */
  readonly isRenewed: boolean;
  readonly onPut: (entry: Entry) => void;
  readonly onDelete: (key: string) => void;
}

/** Result of applying an update. */
export interface ApplyResult {
  /** Whether it was applied; an update that holds no further than what is known is not. */
  readonly isNewer: boolean;
  /** Keys for which the update held outdated state. */
  readonly staleKeys: readonly string[];
}

/** Most deletions that are remembered for other VMs; one that is further behind is sent all existing keys. */
const MAX_DELETED_KEYS = 500;

/** An entry with the revision at which its content last changed. */
interface HeldEntry {
  readonly entry: Entry;
  readonly newsRev: number;
}

/** Applies updates in any order, and tells other VMs what they lack. */
export class Replica {
  readonly #options: ReplicaOptions;
  readonly #entries = new Map<string, HeldEntry>();
  /** Deleted keys, with the revision of their deletion. */
  readonly #deletedRevs = new Map<string, number>();
  /** Deletions up to this revision may be forgotten. */
  #forgottenRev = 0;
  /** Latest news of a first listing of renewed entries, which doesn't show what is new. */
  #firstNewsRev = 0;
  #newsRev = 0;
  #rev = 0;

  constructor(options: ReplicaOptions) {
    this.#options = options;
  }

  /** The store's revision up to which no change is missing here; 0 if nothing is known. */
  get rev(): number {
    return this.#rev;
  }

  /**
   * Revision of the last change of content that is known for certain; a VM that announces a higher one has newer
   * changes.
   */
  get newsRev(): number {
    return Math.min(this.#newsRev, this.#rev);
  }

  /** The revision of its news that this VM announces to others. */
  get announcedRev(): number {
    return this.newsRev > this.#firstNewsRev
      ? this.newsRev
      : Math.min(1, this.newsRev);
  }

  /** Returns what is new to a VM that has all news up to revision `sinceNewsRev`. */
  newsSince(sinceNewsRev: number): News {
    const held = [...this.#entries.values()];
    const isForgotten = sinceNewsRev < this.#forgottenRev;
    return {
      entries: held.filter(({ newsRev }) => newsRev > sinceNewsRev)
        .map(({ entry }) => entry),
      deleted: [...this.#deletedRevs].filter(([, rev]) => rev > sinceNewsRev)
        .map(([key, rev]) => ({ key, rev })),
      ...(isForgotten ? { present: [...this.#entries.keys()] } : {}),
      rev: this.#rev,
      newsRev: this.newsRev,
    };
  }

  /** Applies a listing of all entries. */
  applyListing({ entries, rev }: Listing): ApplyResult {
    if (rev < this.#rev) return { isNewer: false, staleKeys: [] };
    const isFirst = this.#rev === 0;
    this.#deleteMissing(entries.map(({ key }) => key), rev);
    for (const entry of entries) this.#put(entry);
    this.#rev = rev;
    // A key that was created and deleted between two listings is in neither of them.
    this.#forgottenRev = rev;
    this.#newsRev = Math.max(this.#newsRev, 1);
    if (isFirst && this.#options.isRenewed) {
      this.#firstNewsRev = this.newsRev;
    }
    return { isNewer: true, staleKeys: [] };
  }

  /** Applies all changes up to a revision. */
  applyChanges(events: readonly WatchEvent[], rev: number): ApplyResult {
    const staleKeys: string[] = [];
    for (const event of events) {
      if (event.type === "lost") continue;
      const key = event.type === "put" ? event.entry.key : event.key;
      const eventRev = event.type === "put" ? event.entry.rev : event.rev;
      if (eventRev <= this.#rev) {
        if (this.#contradicts(key, event)) staleKeys.push(key);
      } else if (event.type === "put") this.#put(event.entry);
      else this.#delete(key, eventRev);
    }
    const isNewer = rev > this.#rev;
    this.#rev = Math.max(this.#rev, rev);
    return { isNewer, staleKeys };
  }

  /** Applies news from another VM. */
  adopt(news: News): ApplyResult {
    if (news.rev <= this.#rev) return this.#reannounceDeletions(news);
    for (const { key, rev } of news.deleted) this.#delete(key, rev);
    if (news.present) this.#deleteMissing(news.present, news.rev);
    for (const entry of news.entries) this.#put(entry);
    if (news.present) this.#forgottenRev = news.rev;
    this.#rev = news.rev;
    this.#newsRev = Math.max(this.#newsRev, news.newsRev);
    return { isNewer: true, staleKeys: [] };
  }

  /**
   * Records the deletion of entries that a VM sends although they are gone, and so announces it again: the VM has
   * missed the deletions, and the VMs that could have told it may be gone too.
   */
  #reannounceDeletions({ entries, newsRev }: News): ApplyResult {
    const staleKeys = entries.filter(({ key, rev }) =>
      rev <= this.#rev && !this.#entries.has(key) && !this.#deletedRevs.has(key)
    ).map(({ key }) => key);
    for (const key of staleKeys) this.#delete(key, this.#rev);
    this.#newsRev = Math.max(this.#newsRev, Math.min(newsRev, this.#rev));
    return { isNewer: false, staleKeys };
  }

  #contradicts(key: string, event: WatchEvent): boolean {
    return this.#entries.has(key) !== (event.type === "put");
  }

  #deleteMissing(keys: readonly string[], rev: number): void {
    const present = new Set(keys);
    for (const key of [...this.#entries.keys()]) {
      if (!present.has(key)) this.#delete(key, rev);
    }
  }

  #delete(key: string, rev: number): void {
    const existing = this.#entries.get(key);
    if (existing && existing.entry.rev >= rev) return;
    if ((this.#deletedRevs.get(key) ?? 0) >= rev) return;
    this.#entries.delete(key);
    this.#recordDeletion(key, rev);
    this.#newsRev = Math.max(this.#newsRev, rev);
    if (existing) this.#options.onDelete(key);
  }

  /** Remembers the deletion also of a key that was never held here: another VM may hold it. */
  #recordDeletion(key: string, rev: number): void {
    this.#deletedRevs.delete(key);
    this.#deletedRevs.set(key, rev);
    for (const [oldest, oldestRev] of this.#deletedRevs) {
      if (this.#deletedRevs.size <= MAX_DELETED_KEYS) break;
      this.#deletedRevs.delete(oldest);
      this.#forgottenRev = Math.max(this.#forgottenRev, oldestRev);
    }
  }

  #put(entry: Entry): void {
    const { key, rev } = entry;
    const existing = this.#entries.get(key);
    if (existing && existing.entry.rev >= rev) return;
    const newsRev = existing && !this.#options.isNews(entry)
      ? existing.newsRev
      : rev;
    this.#entries.set(key, { entry, newsRev });
    this.#deletedRevs.delete(key);
    this.#newsRev = Math.max(this.#newsRev, newsRev);
    this.#options.onPut(entry);
  }
}
