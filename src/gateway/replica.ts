/**
 * The entries under a prefix of the store as one VM knows them, whole up to a revision.
 *
 * Four ways bring word of a key: listings, changes, and other VMs' news, in full or in part. They overtake each other. Each
 * says up to which revision it holds; whatever holds no further than what is known already is old word and changes nothing.
 *
 * @module
 */

import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";

/** A key that is gone, and the revision at which it surely was. */
export interface DeletedKey {
  readonly key: string;
  readonly rev: number;
}

/** What changed under a prefix since a revision, as one VM tells another. */
export interface News {
  /** Entries that said something new since. */
  readonly entries: readonly Entry[];
  /** Keys that ended since, as far as the teller remembers. */
  readonly deleted: readonly DeletedKey[];
  /** All keys there are, if the teller does not remember all that ended since. */
  readonly present?: readonly string[];
  /** The store's revision that the teller had got to. */
  readonly rev: number;
  /** Revision of the teller's last news. */
  readonly newsRev: number;
  /** Since when the store answers the teller again after an outage, in ms before the telling; absent if it never failed. */
  readonly recoveredAgoMs?: number;
}

/** Options of {@link Replica}. */
export interface ReplicaOptions {
  /** Whether an entry says anything that the one before did not; what does not is not told to other VMs. */
  readonly isNews: (entry: Entry) => boolean;
  /**
   * Whether entries are renewed again and again without news, so that all of a first listing looks new. Saying so would
   * make each VM of the region ask this one for everything.
   */
  readonly isRenewed: boolean;
  readonly onPut: (entry: Entry) => void;
  readonly onDelete: (key: string) => void;
}

/** What came of taking something in. */
export interface ApplyResult {
  /** Whether it was looked at; what holds no further than what is known is not. */
  readonly isNewer: boolean;
  /** Keys of which it said what is no longer so. */
  readonly staleKeys: readonly string[];
}

/** Ends that are remembered to be told; a VM that is further behind is told which keys there are. */
const MAX_DELETED_KEYS = 500;

/** An entry with the revision at which it last said something new. */
interface HeldEntry {
  readonly entry: Entry;
  readonly newsRev: number;
}

/** See the module. */
export class Replica {
  readonly #options: ReplicaOptions;
  readonly #entries = new Map<string, HeldEntry>();
  /** Keys that are gone, with the revision of their end. */
  readonly #deletedRevs = new Map<string, number>();
  /** Ends up to this revision may not be remembered. */
  #forgottenRev = 0;
  /** Last news of a first listing of renewed entries, in which nothing tells what is new. */
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

  /** Revision of the last change that said anything and is known for sure: whoever says a higher one knows more. */
  get newsRev(): number {
    return Math.min(this.#newsRev, this.#rev);
  }

  /** What this VM says of its news to others. */
  get announcedRev(): number {
    return this.newsRev > this.#firstNewsRev
      ? this.newsRev
      : Math.min(1, this.newsRev);
  }

  /** What another VM that is at the news `sinceNewsRev` lacks. */
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

  /** Takes in a listing of all entries. */
  applyListing({ entries, rev }: Listing): ApplyResult {
    if (rev < this.#rev) return { isNewer: false, staleKeys: [] };
    const isFirst = this.#rev === 0;
    this.#deleteMissing(entries.map(({ key }) => key), rev);
    for (const entry of entries) this.#put(entry);
    this.#rev = rev;
    // A key that came and went between two listings is in neither of them.
    this.#forgottenRev = rev;
    this.#newsRev = Math.max(this.#newsRev, 1);
    if (isFirst && this.#options.isRenewed) {
      this.#firstNewsRev = this.newsRev;
    }
    return { isNewer: true, staleKeys: [] };
  }

  /** Takes in all changes up to a revision. */
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

  /** Takes in what another VM told. */
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

  /** A VM that tells of entries which are gone has missed their ends, and whoever told it may be gone too: say it anew. */
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

  /** Remembers an end also of a key that was never held: another VM may hold it. */
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
