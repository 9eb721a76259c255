/**
 * One VM's copy of the entries under a prefix of the store, complete up to a revision.
 *
 * A copy is described by its revision and by a digest of all that it holds. Two copies with the same digest hold the
 * same; of two that differ, the one with the higher revision is right. A VM that is behind is first sent what changed
 * since its revision. If that does not give it the sender's digest, it asks again with a hash of each entry that it
 * holds, and is sent the differences. So no copy stays different for good, whatever was missed before.
 *
 * A store that comes back from an older copy of its own begins a new generation, in which it gives out revisions again.
 * A state of a higher generation is newer, whatever the revisions say, and replaces all that was held of the one before.
 *
 * @module
 */

import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { digest64 } from "../base/mod.ts";
import { compareReplicaStates, type ReplicaState } from "../region/mod.ts";
import type { ConfigOrigin } from "./config_in_force.ts";

/** A question for the differences to another VM's copy. */
export interface NewsRequest {
  /** Generation and revision up to which the asking VM's copy is complete. */
  readonly generation?: number;
  readonly sinceRev: number;
  /** Hash of each entry of that copy, by key; present if all differences are wanted, not only recent changes. */
  readonly heldHashes?: Readonly<Record<string, string>>;
}

/** The answer to a {@link NewsRequest}: what leads from the asking VM's copy to the sender's. */
export interface News {
  /** The sender's copy, which the receiver has to arrive at. */
  readonly state: ReplicaState;
  readonly entries: readonly Entry[];
  /** Keys that the sender does not hold. */
  readonly deleted: readonly string[];
  /** Time since the store answered the sender again after an outage, as of the sending; absent if it never failed. */
  readonly recoveredAgoMs?: number;
  /** Time since the sender learned that the store came back from an older copy; absent if it never did. */
  readonly restoredAgoMs?: number;
  /** Who read the configuration that the sender's copy holds; absent if that one is not in force there. */
  readonly configOrigin?: ConfigOrigin;
}

/** Options of {@link Replica}. The `rev` of a deletion is its revision, or a later one at which the key was gone. */
export interface ReplicaOptions {
  /**
   * The part of an entry in which copies must not differ. It depends on the entry alone. An entry that is written again
   * with the same content is not sent to other VMs.
   */
  readonly contentOf: (entry: Entry) => string;
  readonly onPut: (entry: Entry, cause: ChangeCause) => void;
  readonly onDelete: (key: string, cause: ChangeCause, rev: number) => void;
}

/**
 * Why an entry is reported: somebody wrote or deleted it, or the store came back from an older copy, which holds it or
 * does not. What is missing from that copy may have been lost only, and what it holds may have been deleted since.
 */
export type ChangeCause = "written" | "restored";

/** Result of applying an update from the store. */
export interface ApplyResult {
  /** Keys for which the update held outdated state. */
  readonly staleKeys: readonly string[];
}

/**
 * Result of applying another VM's news.
 * - `applied`: this copy is now the same as the sender's.
 * - `stale`: its revision is not lower than the sender's. Nothing was applied.
 * - `differs`: the news do not lead to the sender's copy. Nothing was applied; the next request asks for all differences.
 */
export type AdoptOutcome = "applied" | "stale" | "differs";

/** Most deletions that are remembered; a VM that is further behind has to ask for all differences. */
const MAX_DELETED_KEYS = 500;

interface HeldEntry {
  readonly entry: Entry;
  readonly content: string;
  /** Hash of key and content. */
  readonly hash: string;
  /** Revision of this copy at which it received the content. */
  readonly changedRev: number;
}

/** Applies updates in any order, and tells other VMs what they lack. */
export class Replica {
  readonly #options: ReplicaOptions;
  readonly #entries = new Map<string, HeldEntry>();
  /** Deleted keys, with the revision of this copy at which they were deleted. */
  readonly #deletedRevs = new Map<string, number>();
  /** All changes after this revision are remembered. */
  #remembersSinceRev = 0;
  /** The hashes of all entries, combined by XOR, so that their order does not matter. */
  #digestBits = 0n;
  /** The same as text; it is compared far more often than it changes. */
  #digest = formatDigest(0n);
  #generation = 0;
  #rev = 0;
  /** See {@link Replica.state}; it is read hundreds of times a second and changes a few times. */
  #state: ReplicaState = { rev: 0, digest: this.#digest };
  #needsComparison = false;
  /** The cause of what is being reported. */
  #cause: ChangeCause = "written";

  constructor(options: ReplicaOptions) {
    this.#options = options;
  }

  /** The store's revision up to which no change is missing here; 0 if nothing is known. */
  get rev(): number {
    return this.#rev;
  }

  /** What this VM announces of its copy. */
  get state(): ReplicaState {
    const { rev, digest, generation = 0 } = this.#state;
    const isSame = rev === this.#rev && digest === this.#digest &&
      generation === this.#generation;
    if (!isSame) {
      this.#state = {
        ...(this.#generation > 0 ? { generation: this.#generation } : {}),
        rev: this.#rev,
        digest: this.#digest,
      };
    }
    return this.#state;
  }

  /** The entries that are held. */
  get entries(): Entry[] {
    return [...this.#entries.values()].map(({ entry }) => entry);
  }

  /** Whether a copy with this state is newer than this one and differs from it. */
  isBehind(state: ReplicaState): boolean {
    return compareReplicaStates(state, this.state) > 0 &&
      state.digest !== this.#digest;
  }

  /** Whether a state is of a later generation than what is held. */
  isRestoredBy({ generation = 0 }: { readonly generation?: number }): boolean {
    return this.#rev > 0 && generation > this.#generation;
  }

  /**
   * Notes the state of another VM's copy. If both hold the same, this one is complete up to the other's revision too.
   * Returns whether they hold the same.
   */
  noteState(state: ReplicaState): boolean {
    if (this.#rev === 0 || state.digest !== this.#digest) return false;
    if (compareReplicaStates(state, this.state) > 0) this.#moveTo(state);
    return true;
  }

  /** The request by which this VM asks for what it lacks. */
  get newsRequest(): NewsRequest {
    const generation = this.#generation;
    const sinceRev = this.#rev;
    if (sinceRev > 0 && !this.#needsComparison) return { generation, sinceRev };
    const hashes = [...this.#entries].map(([key, { hash }]) => [key, hash]);
    return { generation, sinceRev, heldHashes: Object.fromEntries(hashes) };
  }

  /** Answers another VM's request. */
  newsFor({ generation = 0, sinceRev, heldHashes }: NewsRequest): News {
    if (heldHashes) return this.#differencesTo(heldHashes);
    // The changes since then are not all remembered. Without any the other VM does not arrive at this copy's digest,
    // and asks for all differences.
    const isSame = generation === this.#generation;
    if (!isSame || sinceRev < this.#remembersSinceRev) {
      return { state: this.state, entries: [], deleted: [] };
    }
    return {
      state: this.state,
      entries: [...this.#entries.values()]
        .filter(({ changedRev }) => changedRev > sinceRev)
        .map(({ entry }) => entry),
      deleted: [...this.#deletedRevs]
        .filter(([, rev]) => rev > sinceRev)
        .map(([key]) => key),
    };
  }

  /** Applies a listing of all entries. */
  applyListing(listing: Listing): ApplyResult {
    const { entries, rev, generation = this.#generation } = listing;
    const state = { generation, rev };
    if (compareReplicaStates(state, this.state) < 0) return { staleKeys: [] };
    if (this.isRestoredBy(state)) {
      this.#restore(state, () => this.#replaceAll(entries, rev));
      return { staleKeys: [] };
    }
    this.#generation = generation;
    // What changed before the first listing is not known.
    if (this.#rev === 0) this.#remembersSinceRev = rev;
    const present = new Set(entries.map(({ key }) => key));
    for (const key of [...this.#entries.keys()]) {
      if (!present.has(key)) this.#applyDeletion(key, rev, rev);
    }
    for (const entry of entries) this.#applyPut(entry, rev);
    this.#rev = rev;
    this.#needsComparison = false;
    return { staleKeys: [] };
  }

  /**
   * Applies all changes up to a revision. Those of an earlier generation are outdated; those of a later one don't say
   * what else has changed, and the next listing does. If the question was asked in an earlier generation, the changes
   * begin at a revision of that one.
   */
  applyChanges(
    events: readonly WatchEvent[],
    rev: number,
    generation = this.#generation,
    askedInGeneration = generation,
  ): ApplyResult {
    const staleKeys: string[] = [];
    const isComparable = generation === this.#generation &&
      askedInGeneration === this.#generation;
    if (!isComparable) return { staleKeys };
    const nextRev = Math.max(this.#rev, rev);
    for (const event of events) {
      if (event.type === "lost") continue;
      const key = event.type === "put" ? event.entry.key : event.key;
      const eventRev = event.type === "put" ? event.entry.rev : event.rev;
      if (eventRev <= this.#rev) {
        if (this.#contradicts(key, event)) staleKeys.push(key);
      } else if (event.type === "put") this.#applyPut(event.entry, nextRev);
      else this.#applyDeletion(key, eventRev, nextRev);
    }
    this.#rev = nextRev;
    return { staleKeys };
  }

  /** Applies news from another VM, if they lead to its copy. */
  adopt(news: News): AdoptOutcome {
    const { rev, digest } = news.state;
    if (compareReplicaStates(news.state, this.state) <= 0) return "stale";
    if (formatDigest(this.#digestBitsWith(news)) !== digest) {
      this.#needsComparison = true;
      return "differs";
    }
    const apply = () => {
      for (const key of news.deleted) this.#delete(key, rev);
      for (const entry of news.entries) this.#put(entry, rev);
    };
    if (this.isRestoredBy(news.state)) this.#restore(news.state, apply);
    else {
      apply();
      if (this.#rev === 0) this.#remembersSinceRev = rev;
      this.#moveTo(news.state);
    }
    this.#needsComparison = false;
    return "applied";
  }

  /** Replaces all entries, whatever their revisions. */
  #replaceAll(entries: readonly Entry[], rev: number): void {
    const present = new Set(entries.map(({ key }) => key));
    for (const key of [...this.#entries.keys()]) {
      if (!present.has(key)) this.#delete(key, rev);
    }
    for (const entry of entries) this.#put(entry, rev);
    this.#needsComparison = false;
  }

  /** Applies a state of a later generation, and reports its changes as such. */
  #restore(
    state: { readonly generation?: number; readonly rev: number },
    apply: () => void,
  ): void {
    this.#cause = "restored";
    try {
      apply();
    } finally {
      this.#cause = "written";
    }
    this.#moveTo(state);
  }

  /** Notes that this copy is complete up to a state. Of another generation, no earlier change is remembered. */
  #moveTo(
    { generation = 0, rev }: {
      readonly generation?: number;
      readonly rev: number;
    },
  ): void {
    this.#rev = rev;
    if (generation === this.#generation) return;
    this.#generation = generation;
    this.#remembersSinceRev = rev;
    this.#deletedRevs.clear();
    for (const [key, held] of this.#entries) {
      // An entry that was not sent again, as it is the same, has a revision of the generation before.
      const entry = { ...held.entry, rev: Math.min(held.entry.rev, rev) };
      this.#entries.set(key, { ...held, entry, changedRev: rev });
    }
  }

  #differencesTo(heldHashes: Readonly<Record<string, string>>): News {
    return {
      state: this.state,
      entries: [...this.#entries]
        .filter(([key, { hash }]) => heldHashes[key] !== hash)
        .map(([, { entry }]) => entry),
      deleted: Object.keys(heldHashes).filter((key) => !this.#entries.has(key)),
    };
  }

  /** The digest that this copy would have after the news. */
  #digestBitsWith({ entries, deleted }: News): bigint {
    const hashes = new Map<string, string | undefined>();
    for (const key of deleted) hashes.set(key, undefined);
    for (const entry of entries) {
      hashes.set(entry.key, hashOf(entry.key, this.#options.contentOf(entry)));
    }
    let digest = this.#digestBits;
    for (const [key, hash] of hashes) {
      digest ^= toBits(this.#entries.get(key)?.hash) ^ toBits(hash);
    }
    return digest;
  }

  #contradicts(key: string, event: WatchEvent): boolean {
    return this.#entries.has(key) !== (event.type === "put");
  }

  /**
   * Applies a deletion that the store reports. A long listing is no snapshot: it may hold an entry that was written
   * again after this deletion.
   */
  #applyDeletion(key: string, deletedRev: number, copyRev: number): void {
    const existing = this.#entries.get(key);
    if (existing && existing.entry.rev >= deletedRev) return;
    this.#delete(key, copyRev, deletedRev);
  }

  /** Applies an entry that the store reports; the same holds as for a deletion. */
  #applyPut(entry: Entry, copyRev: number): void {
    const existing = this.#entries.get(entry.key);
    if (existing && existing.entry.rev >= entry.rev) return;
    this.#put(entry, copyRev);
  }

  #delete(key: string, copyRev: number, deletedRev = copyRev): void {
    const existing = this.#entries.get(key);
    // Another VM may hold a key that was never held here.
    this.#recordDeletion(key, copyRev);
    if (!existing) return;
    this.#entries.delete(key);
    this.#changeDigest(toBits(existing.hash));
    this.#options.onDelete(key, this.#cause, deletedRev);
  }

  #recordDeletion(key: string, copyRev: number): void {
    this.#deletedRevs.delete(key);
    this.#deletedRevs.set(key, copyRev);
    for (const [oldest, oldestRev] of this.#deletedRevs) {
      if (this.#deletedRevs.size <= MAX_DELETED_KEYS) break;
      this.#deletedRevs.delete(oldest);
      this.#remembersSinceRev = Math.max(this.#remembersSinceRev, oldestRev);
    }
  }

  #put(entry: Entry, copyRev: number): void {
    const { key } = entry;
    const existing = this.#entries.get(key);
    const content = this.#options.contentOf(entry);
    if (existing?.content === content) {
      this.#entries.set(key, { ...existing, entry });
    } else {
      const hash = hashOf(key, content);
      this.#changeDigest(toBits(existing?.hash) ^ toBits(hash));
      this.#entries.set(key, { entry, content, hash, changedRev: copyRev });
      this.#deletedRevs.delete(key);
    }
    this.#options.onPut(entry, this.#cause);
  }

  /** Adds or removes the hashes that are combined in `bits`. */
  #changeDigest(bits: bigint): void {
    this.#digestBits ^= bits;
    this.#digest = formatDigest(this.#digestBits);
  }
}

function hashOf(key: string, content: string): string {
  return digest64([key, content]);
}

function toBits(hash: string | undefined): bigint {
  return hash === undefined ? 0n : BigInt(`0x${hash}`);
}

function formatDigest(bits: bigint): string {
  return bits.toString(36);
}
