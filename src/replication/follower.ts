/**
 * Follows the keys under a prefix of the store: lists them, then polls for changes, and lists again after a gap. While
 * other VMs do that, it applies their news.
 *
 * @module
 */

import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { backoffMs, Random } from "../base/mod.ts";
import { compareReplicaStates, type ReplicaState } from "../region/mod.ts";
import {
  type AdoptOutcome,
  type ApplyResult,
  type News,
  type NewsRequest,
  Replica,
} from "./replica.ts";
import type { FollowerOptions } from "./follower_options.ts";

/** First and longest backoff after failed calls; an outage costs at most four calls per second and VM. */
const RETRY = { firstMs: 150, maxMs: 500 };

/** How often a VM that doesn't poll checks whether it has to; the loss of a lead is found within twice this time. */
const READER_CHECK_MS = 500;
/**
 * A VM that differs from those that the store answers for this long lists the store itself, whatever the cause: it may
 * run another version of the program, which compares other parts of an entry.
 */
const MAX_DIFFERENCE_MS = 10_000;
/** Most keys that one log line names. */
const MAX_LOGGED_KEYS = 8;

/** Keeps a {@link Replica} of a prefix current. */
export class Follower {
  readonly #options: FollowerOptions;
  readonly #replica: Replica;
  readonly #random = new Random(process.pid);
  #isOpen = true;
  /** Whether the store has been asked since this VM began to read. */
  #hasAsked = false;
  #failures = 0;
  #answeredMonoMs = -Infinity;
  #failingSinceMonoMs: number | undefined;
  #recoveredMonoMs = -Infinity;
  #restoredMonoMs = -Infinity;
  #agreedMonoMs = -Infinity;
  /** The newest state that a VM which the store answers announced. */
  #heardState: ReplicaState | undefined;
  /** What was logged last of a store that went back; it answers many calls with the same state. */
  #loggedRegression = "";
  /** Since when this VM differs from those that the store answers, on the monotonic clock. */
  #differsSinceMonoMs: number | undefined;

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

  /** Whether the store answers this VM's polls. */
  get isAnswered(): boolean {
    const { clock, maxAnswerAgeMs } = this.#options;
    return this.#failures === 0 && this.#replica.rev > 0 &&
      clock.monoMs() - this.#answeredMonoMs < maxAnswerAgeMs;
  }

  /** When the store answered last, on the monotonic clock. */
  get answeredMonoMs(): number {
    return this.#answeredMonoMs;
  }

  /** When the store answered again after failures, on the monotonic clock; `-Infinity` if it never failed. */
  get recoveredMonoMs(): number {
    return this.#recoveredMonoMs;
  }

  /** When the store is known to have come back from an older copy, on the monotonic clock; `-Infinity` if it never did. */
  get restoredMonoMs(): number {
    return this.#restoredMonoMs;
  }

  /**
   * When this VM's copy was last known to be the store's, on the monotonic clock: the store answered, or a VM that the
   * store answers announced the same copy.
   */
  get agreedMonoMs(): number {
    return Math.max(this.#agreedMonoMs, this.#answeredMonoMs);
  }

  /** See {@link Replica.state}. */
  get state(): ReplicaState {
    return this.#replica.state;
  }

  /** See {@link Replica.entries}. */
  get entries(): Entry[] {
    return this.#replica.entries;
  }

  /** See {@link Replica.newsRequest}. */
  get newsRequest(): NewsRequest {
    return this.#replica.newsRequest;
  }

  /**
   * Notes the state that another VM announced; `isServed` tells whether the store answers that VM. Returns whether the
   * other VM has newer entries.
   */
  notePeer(state: ReplicaState, isServed: boolean): boolean {
    const isSame = this.#replica.noteState(state);
    const isAhead = this.#replica.isBehind(state);
    if (isServed && isSame) this.#noteAgreement();
    if (isServed) this.#noteHeard(state);
    if (isServed && isAhead) {
      this.#differsSinceMonoMs ??= this.#options.clock.monoMs();
    }
    return isAhead;
  }

  /** Whether a VM that the store answers is known to hold something newer than this one. */
  get isBehind(): boolean {
    return this.#heardState !== undefined &&
      this.#replica.isBehind(this.#heardState);
  }

  /** Answers another VM's request. */
  newsFor(request: NewsRequest): News {
    const nowMs = this.#options.clock.monoMs();
    const recoveredAgoMs = nowMs - this.#recoveredMonoMs;
    const restoredAgoMs = nowMs - this.#restoredMonoMs;
    return {
      ...this.#replica.newsFor(request),
      ...(recoveredAgoMs < Infinity ? { recoveredAgoMs } : {}),
      ...(restoredAgoMs < Infinity ? { restoredAgoMs } : {}),
    };
  }

  /** Applies another VM's news. */
  adopt(news: News): AdoptOutcome {
    // The outage has to be known before the deletion of entries that lapsed in it is applied.
    const isNewer = compareReplicaStates(news.state, this.state) > 0;
    if (isNewer && this.#replica.isRestoredBy(news.state)) {
      this.#noteRestored(news.state, "peer", news.restoredAgoMs);
    }
    if (news.recoveredAgoMs !== undefined && isNewer) {
      this.#recoveredMonoMs = Math.max(
        this.#recoveredMonoMs,
        this.#options.clock.monoMs() - news.recoveredAgoMs,
      );
    }
    return this.#replica.adopt(news);
  }

  /** Asks the store now. Returns whether this copy was the store's at a moment since the call. */
  async refresh(): Promise<boolean> {
    if (this.#replica.rev === 0) return false;
    const outcome = await this.#askChanges(0);
    return outcome === "gap" ? await this.#listAll() : outcome === "applied";
  }

  async #run(): Promise<void> {
    let hasListed = false;
    while (this.#isOpen) {
      // Every VM makes the first listing itself: it must not wait until it has found other VMs.
      if (this.#replica.rev > 0 && !this.#options.isReader()) {
        this.#failures = 0;
        this.#failingSinceMonoMs = undefined;
        this.#hasAsked = false;
        hasListed = true;
        if (this.#hasDifferedTooLong()) await this.#listAll();
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

  #hasDifferedTooLong(): boolean {
    const sinceMs = this.#differsSinceMonoMs ?? Infinity;
    return this.#options.clock.monoMs() - sinceMs >= MAX_DIFFERENCE_MS;
  }

  async #listAll(): Promise<boolean> {
    const { store, prefix } = this.#options;
    this.#differsSinceMonoMs = undefined;
    this.#hasAsked = true;
    const askedAtRev = this.#replica.rev;
    const listing = await store.list(prefix, {}, "table");
    if (!this.#isOpen) return false;
    if (listing.isErr()) {
      this.#noteFailure(listing.error);
      return false;
    }
    this.#noteAnswer();
    const { entries, rev, generation } = listing.value;
    const isRestored = this.#replica.isRestoredBy(listing.value);
    if (isRestored) this.#noteRestored({ rev, generation }, "store");
    else if (rev < askedAtRev) return this.#noteRegression(listing.value);
    if (askedAtRev === 0) {
      this.#options.log.info("store listed first", { prefix, rev, generation });
    }
    this.#replica.applyListing({
      ...listing.value,
      entries: entries.map((entry) => this.#redact(entry)),
    });
    return true;
  }

  async #pollChanges(): Promise<boolean> {
    const { pauseMs, clock } = this.#options;
    // The first answer shows other VMs that the store answers this one, so it does not wait for a change.
    const waitMs = this.#hasAsked ? this.#options.waitMs : 0;
    this.#hasAsked = true;
    if (await this.#askChanges(waitMs) !== "applied") return false;
    if (pauseMs > 0) await clock.sleep(pauseMs);
    return true;
  }

  /** Asks for changes and applies them. After a `gap` all keys have to be listed. */
  async #askChanges(waitMs: number): Promise<"applied" | "gap" | "failed"> {
    const { store, prefix } = this.#options;
    const { rev: afterRev, generation: askedInGeneration = 0 } = this.state;
    const changes = await store.changes(prefix, afterRev, waitMs, "table");
    if (!this.#isOpen) return "failed";
    if (changes.isErr()) {
      if (changes.error.kind === "compacted") return "gap";
      this.#noteFailure(changes.error);
      return "failed";
    }
    this.#noteAnswer();
    const { events, rev, generation } = changes.value;
    // The changes of a later generation don't say what was lost; a listing does.
    if (this.#replica.isRestoredBy({ generation: generation ?? 0 })) {
      return "gap";
    }
    const result = this.#replica.applyChanges(
      events.map((event) => this.#redactEvent(event)),
      rev,
      generation,
      askedInGeneration,
    );
    this.#logStaleKeys(result, rev);
    return "applied";
  }

  #redact(entry: Entry): Entry {
    return this.#options.redact?.(entry) ?? entry;
  }

  #redactEvent(event: WatchEvent): WatchEvent {
    return event.type === "put"
      ? { type: "put", entry: this.#redact(event.entry) }
      : event;
  }

  /** Logs outdated state in an answer of the store that came late; nothing else would show that. */
  #logStaleKeys({ staleKeys }: ApplyResult, rev: number): void {
    if (staleKeys.length === 0) return;
    this.#options.log.info("old word left out", {
      prefix: this.#options.prefix,
      from: "store",
      rev,
      knownRev: this.#replica.rev,
      keys: staleKeys.slice(0, MAX_LOGGED_KEYS).join(),
      count: staleKeys.length,
    });
  }

  /** Notes that the store came back from an older copy, as `from` says or has answered. */
  #noteRestored(
    { rev, generation }: { readonly rev: number; readonly generation?: number },
    from: "store" | "peer",
    agoMs = 0,
  ): void {
    this.#restoredMonoMs = Math.max(
      this.#restoredMonoMs,
      this.#options.clock.monoMs() - agoMs,
    );
    this.#options.log.warn("store restored", {
      prefix: this.#options.prefix,
      from,
      generation,
      rev,
      knownGeneration: this.state.generation ?? 0,
      knownRev: this.#replica.rev,
      agoMs: Math.round(agoMs),
    });
  }

  /**
   * Notes a store whose revisions went back without a later generation. Its answers can't be distinguished from stale
   * ones, so they are not used, and it is asked at the pace of a failing store. Returns whether the copy is current.
   */
  #noteRegression({ rev, generation }: Listing): false {
    this.#failures++;
    const regression = `${generation}/${rev}`;
    if (regression === this.#loggedRegression) return false;
    this.#loggedRegression = regression;
    this.#options.log.error("store went back", {
      generation,
      prefix: this.#options.prefix,
      rev,
      knownRev: this.#replica.rev,
    });
    return false;
  }

  #noteHeard(state: ReplicaState): void {
    const isNewest = !this.#heardState ||
      compareReplicaStates(state, this.#heardState) > 0;
    if (isNewest) this.#heardState = state;
  }

  #noteAgreement(): void {
    this.#agreedMonoMs = this.#options.clock.monoMs();
    this.#differsSinceMonoMs = undefined;
    this.#options.onAgreed?.();
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
