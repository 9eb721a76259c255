/**
 * An owner's writes: group commits under compare-and-swap, one at a time, at a bounded rate, each settled before the
 * next is made.
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

/** Most segments deleted in one write. */
const MAX_EXPIRED_SEGMENTS = 8;

/** What a call to the store came to: the batch is in, another VM owns the shard, or neither is known yet. */
export type CommitOutcome = "committed" | "replaced" | "open";

/** See the module's comment. */
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
  /** Wall clock of the newest event of each stored segment. */
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

  /** The head as last written, or as found when another VM took over. */
  get storedHead(): StoredHead {
    return this.#storedHead;
  }
  /** The newest head that this VM wrote. */
  get newestHead(): ShardHead {
    return this.#newestHead;
  }
  /** When the last write that took effect was sent (monotonic). */
  get storeOkMonoMs(): number {
    return this.#storeOkMonoMs;
  }
  get failures(): number {
    return this.#failures;
  }
  /** The witnesses of every head that may stand in the store. */
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
   * Sends what is due. `urgent` asks for a write although the log is empty; `leaving` gives the shard up with the write
   * that empties the log. Returns whether a new batch was made.
   */
  sendDue(
    now: Now,
    view: ShardView,
    log: UncommittedLog,
    isUrgent: boolean,
    leaving: boolean,
  ): boolean {
    if (this.#busySinceMonoMs !== undefined) return false;
    if (now.monoMs < this.#retryAtMonoMs) return false;
    const isNewBatch = !this.#batch;
    if (isNewBatch) {
      const isDue = isUrgent || leaving || log.size > 0 ||
        this.#isTouchDue(now) ||
        this.#haveWitnessesChanged(view);
      if (!isDue || now.monoMs < this.#nextWriteMonoMs) return false;
      this.#batch = this.#makeBatch(now, view, log, leaving);
    }
    this.#nextWriteMonoMs = now.monoMs + 1000 / view.writesPerS;
    this.#busySinceMonoMs = now.monoMs;
    this.#outbox.push({ type: "write", writes: this.#batch!.writes });
    return isNewBatch;
  }

  /**
   * The answer to a write. After a failure or a lost answer the batch is sent again unchanged: if the first one took
   * effect, the second conflicts with a head of this batch's own commit number, and that settles it as done.
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

  /** The answer to a read after a conflict that did not say what stands there. */
  onRead(
    now: Now,
    result: Result<Entry | undefined, StoreError>,
  ): CommitOutcome {
    this.#busySinceMonoMs = undefined;
    if (result.isErr()) return this.#scheduleRetry(now);
    return this.#onConflictingHead(now, result.value);
  }

  /** Forgets the write under way; only broken variants do. */
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
    leaving: boolean,
  ): CommitBatch {
    const events = log.events(0, this.#limits.batch);
    const emptiesLog = events.length === log.size;
    return makeBatch({
      keys: this.#keys,
      base: this.#storedHead,
      baseOpenBytes: this.#openBytes,
      events,
      owner: leaving && emptiesLog ? undefined : this.#me,
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

  /** What stands in the store where another head was expected. */
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
