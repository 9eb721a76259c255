/**
 * Writes an owner's events to the store: group commits under compare-and-swap, one at a time and at a bounded rate. The
 * outcome of each is known before the next one is built.
 *
 * @module
 */

import type { Entry, StoreError } from "../adapters/mod.ts";
import { backoffMs, type Random } from "../base/mod.ts";
import type { Result } from "neverthrow";
import {
  type CommitBatch,
  makeBatch,
  type ShardKeys,
  type StoredHead,
} from "./claim_batch.ts";
import { parseHead, type ShardHead } from "./claim_head.ts";
import type { UncommittedLog } from "./uncommitted_log.ts";
import type { Now, Outbox, ShardLimits, ShardView } from "./claim_machine.ts";
import { sameVm, type VmRef } from "./claim_record.ts";
import type { OwnedShard } from "./claim_takeover.ts";

/** Maximum number of segments deleted in one write. */
const MAX_EXPIRED_SEGMENTS = 8;

/** Outcome of a store call: the batch is committed, another VM owns the shard, or neither is known yet. */
export type CommitOutcome = "committed" | "replaced" | "open";

/** Commits an owner's events, one batch at a time. */
export class ClaimCommitter {
  readonly #me: VmRef;
  readonly #keys: ShardKeys;
  readonly #limits: ShardLimits;
  readonly #random: Random;
  readonly #outbox: Outbox;
  #storedHead: StoredHead;
  #newestHead: ShardHead;
  #openBytes: number;
  #storeOkMonoMs: number;
  #batch: CommitBatch | undefined;
  #busySinceMonoMs: number | undefined;
  #failures = 0;
  #retryAtMonoMs = 0;
  #nextWriteMonoMs = 0;
  /** Wall-clock time of the newest event in each stored segment. */
  readonly #segmentNewestMs: number[];

  constructor(
    me: VmRef,
    keys: ShardKeys,
    limits: ShardLimits,
    random: Random,
    outbox: Outbox,
    owned: OwnedShard,
  ) {
    this.#me = me;
    this.#keys = keys;
    this.#limits = limits;
    this.#random = random;
    this.#outbox = outbox;
    this.#storedHead = owned.storedHead;
    this.#newestHead = owned.storedHead.head;
    this.#openBytes = owned.openBytes;
    this.#storeOkMonoMs = owned.storeOkMonoMs;
    this.#segmentNewestMs = owned.segments.map((events) =>
      Math.max(0, ...events.map((event) => event.atMs))
    );
  }

  /** The head as last written, or as found after another VM took over. */
  get storedHead(): StoredHead {
    return this.#storedHead;
  }
  /** The newest head that this VM has written. */
  get newestHead(): ShardHead {
    return this.#newestHead;
  }
  /** When the last write that took effect was sent, on the monotonic clock. */
  get storeOkMonoMs(): number {
    return this.#storeOkMonoMs;
  }
  get failures(): number {
    return this.#failures;
  }
  /** The witness lists of all heads that may be in the store. */
  get witnessLists(): (readonly VmRef[])[] {
    const lists = [this.#storedHead.head.witnesses];
    if (this.#batch) lists.push(this.#batch.head.witnesses);
    return lists;
  }

  isFailing(now: Now): boolean {
    const busyMs = now.monoMs - (this.#busySinceMonoMs ?? now.monoMs);
    return this.#failures > 0 || busyMs >= this.#limits.slowMs ||
      this.isInOutage(now);
  }

  isInOutage(now: Now): boolean {
    return now.monoMs - this.#storeOkMonoMs >= this.#limits.outageAfterMs;
  }

  /**
   * Sends the next write if one is due. `isUrgent` requests a write even if the log is empty; `isReleasing` releases
   * the shard with the write that empties the log. Returns whether a new batch was built.
   */
  flush(
    now: Now,
    view: ShardView,
    log: UncommittedLog,
    isUrgent: boolean,
    isReleasing: boolean,
  ): boolean {
    if (this.#busySinceMonoMs !== undefined) return false;
    if (now.monoMs < this.#retryAtMonoMs) return false;
    const isNewBatch = !this.#batch;
    if (isNewBatch) {
      const isDue = isUrgent || isReleasing || log.size > 0 ||
        this.#isTouchDue(now) ||
        this.#haveWitnessesChanged(view);
      if (!isDue || now.monoMs < this.#nextWriteMonoMs) return false;
      this.#batch = this.#makeBatch(now, view, log, isReleasing);
    }
    this.#nextWriteMonoMs = now.monoMs + 1000 / view.writesPerS;
    this.#busySinceMonoMs = now.monoMs;
    this.#outbox.push({ type: "write", writes: this.#batch!.writes });
    return isNewBatch;
  }

  /**
   * Handles the answer to a write. After a failure or a lost answer the batch is resent unchanged. If the first attempt
   * took effect, the second conflicts with a head that has the batch's own commit number, which proves that the batch
   * is committed.
   */
  onWritten(now: Now, result: Result<number, StoreError>): CommitOutcome {
    this.#busySinceMonoMs = undefined;
    if (result.isOk()) return this.#onCommitted(now, result.value);
    if (result.error.kind !== "conflict") return this.#scheduleRetry(now);
    if (result.error.current) {
      return this.#onConflictingHead(now, result.error.current);
    }
    this.#busySinceMonoMs = now.monoMs;
    this.#outbox.push({ type: "read" });
    return "open";
  }

  /** Handles the answer to the read that follows a conflict whose answer did not include the current head. */
  onRead(
    now: Now,
    result: Result<Entry | undefined, StoreError>,
  ): CommitOutcome {
    this.#busySinceMonoMs = undefined;
    if (result.isErr()) return this.#scheduleRetry(now);
    return this.#onConflictingHead(now, result.value);
  }

  /** Discards the write in progress. Only the broken variants in tests call it. */
  protected dropBatch(): void {
    this.#batch = undefined;
  }

  #isTouchDue(now: Now): boolean {
    return now.monoMs - this.#storeOkMonoMs >= this.#limits.touchMs;
  }

  #haveWitnessesChanged(view: ShardView): boolean {
    const listed = this.#storedHead.head.witnesses;
    return listed.length !== view.witnesses.length ||
      listed.some((vm) => !view.witnesses.some((other) => sameVm(vm, other)));
  }

  #makeBatch(
    now: Now,
    view: ShardView,
    log: UncommittedLog,
    isReleasing: boolean,
  ): CommitBatch {
    const events = log.events(0, this.#limits.batch);
    const emptiesLog = events.length === log.size;
    return makeBatch({
      keys: this.#keys,
      base: this.#storedHead,
      baseOpenBytes: this.#openBytes,
      events,
      owner: isReleasing && emptiesLog ? undefined : this.#me,
      witnesses: view.witnesses,
      nowMs: now.nowMs,
      monoMs: now.monoMs,
      expiredSegments: this.#countExpired(now),
      segmentBytes: this.#limits.segmentBytes,
    });
  }

  #countExpired(now: Now): number {
    const beforeMs = now.nowMs - this.#limits.retentionMs;
    const times = this.#segmentNewestMs.slice(0, MAX_EXPIRED_SEGMENTS);
    const firstKept = times.findIndex((newestMs) => newestMs >= beforeMs);
    return firstKept < 0 ? times.length : firstKept;
  }

  #onCommitted(now: Now, rev: number): CommitOutcome {
    const batch = this.#batch;
    if (!batch) return "open";
    const before = this.#storedHead.head;
    this.#storedHead = { head: batch.head, rev };
    this.#newestHead = batch.head;
    this.#openBytes = batch.openBytes;
    this.#storeOkMonoMs = batch.firstSentMonoMs;
    this.#failures = 0;
    this.#batch = undefined;
    this.#segmentNewestMs.splice(
      0,
      batch.head.firstSegment - before.firstSegment,
    );
    if (batch.head.nextSegment > before.nextSegment) {
      this.#segmentNewestMs.push(now.nowMs);
    }
    return "committed";
  }

  /**
   * Handles the head that is stored in place of the expected one: the batch's own if it took effect, else another VM's.
   */
  #onConflictingHead(now: Now, entry: Entry | undefined): CommitOutcome {
    const head = entry && parseHead(entry.value).unwrapOr(undefined);
    const isSameWrite = (other: ShardHead | undefined) =>
      head && other && head.epoch === other.epoch &&
      head.commit === other.commit;
    if (entry && isSameWrite(this.#batch?.head)) {
      return this.#onCommitted(now, entry.rev);
    }
    if (head) this.#storedHead = { head, rev: entry!.rev };
    return "replaced";
  }

  #scheduleRetry(now: Now): CommitOutcome {
    const { backoff } = this.#limits;
    this.#retryAtMonoMs = now.monoMs +
      backoffMs(this.#failures++, backoff, this.#random);
    return "open";
  }
}
