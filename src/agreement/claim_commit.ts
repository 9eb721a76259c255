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
  type Batch,
  type HeadAt,
  makeBatch,
  type ShardKeys,
} from "./claim_batch.ts";
import { parseHead, type ShardHead } from "./claim_head.ts";
import type { ClaimLog } from "./claim_log.ts";
import type { Now, Outbox, ShardLimits, ShardView } from "./claim_machine.ts";
import { sameVm, type VmRef } from "./claim_record.ts";
import type { Owned } from "./claim_takeover.ts";

/** Most segments deleted in one write. */
const expireSegments = 8;

/** What a call to the store came to: the batch is in, another VM owns the shard, or neither is known yet. */
export type CommitOutcome = "committed" | "replaced" | "open";

/** See the module's comment. */
export class ClaimCommit {
  readonly #me: VmRef;
  readonly #keys: ShardKeys;
  readonly #limits: ShardLimits;
  readonly #random: Random;
  readonly #out: Outbox;
  #at: HeadAt;
  #newest: ShardHead;
  #openBytes: number;
  #okMonoMs: number;
  #batch: Batch | undefined;
  #busySinceMonoMs: number | undefined;
  #failures = 0;
  #retryMonoMs = 0;
  #nextWriteMonoMs = 0;
  /** Wall clock of the newest event of each stored segment. */
  readonly #segmentTimes: number[];

  constructor(
    me: VmRef,
    keys: ShardKeys,
    limits: ShardLimits,
    random: Random,
    out: Outbox,
    owned: Owned,
  ) {
    this.#me = me;
    this.#keys = keys;
    this.#limits = limits;
    this.#random = random;
    this.#out = out;
    this.#at = owned.at;
    this.#newest = owned.at.head;
    this.#openBytes = owned.openBytes;
    this.#okMonoMs = owned.okMonoMs;
    this.#segmentTimes = owned.segments.map((events) =>
      Math.max(0, ...events.map((event) => event.atMs))
    );
  }

  /** The head as last written, or as found when another VM took over. */
  get at(): HeadAt {
    return this.#at;
  }
  /** The newest head that this VM wrote. */
  get newest(): ShardHead {
    return this.#newest;
  }
  /** When the last write that took effect was sent (monotonic). */
  get okMonoMs(): number {
    return this.#okMonoMs;
  }
  get failures(): number {
    return this.#failures;
  }
  /** The witnesses of every head that may stand in the store. */
  get witnessLists(): (readonly VmRef[])[] {
    const lists = [this.#at.head.witnesses];
    if (this.#batch) lists.push(this.#batch.head.witnesses);
    return lists;
  }

  isFailing(now: Now): boolean {
    const busyMs = now.monoMs - (this.#busySinceMonoMs ?? now.monoMs);
    return this.#failures > 0 || busyMs >= this.#limits.slowMs ||
      this.inOutage(now);
  }

  inOutage(now: Now): boolean {
    return now.monoMs - this.#okMonoMs >= this.#limits.outageAfterMs;
  }

  /**
   * Sends what is due. `urgent` asks for a write although the log is empty; `leaving` gives the shard up with the write
   * that empties the log. Returns whether a new batch was made.
   */
  pump(
    now: Now,
    view: ShardView,
    log: ClaimLog,
    urgent: boolean,
    leaving: boolean,
  ): boolean {
    if (this.#busySinceMonoMs !== undefined) return false;
    if (now.monoMs < this.#retryMonoMs) return false;
    const makes = !this.#batch;
    if (makes) {
      const isDue = urgent || leaving || log.size > 0 || this.#isStale(now) ||
        this.#witnessesDiffer(view);
      if (!isDue || now.monoMs < this.#nextWriteMonoMs) return false;
      this.#batch = this.#makeBatch(now, view, log, leaving);
    }
    this.#nextWriteMonoMs = now.monoMs + 1000 / view.writesPerS;
    this.#busySinceMonoMs = now.monoMs;
    this.#out.push({ type: "write", writes: this.#batch!.writes });
    return makes;
  }

  /**
   * The answer to a write. After a failure or a lost answer the batch is sent again unchanged: if the first one took
   * effect, the second conflicts with a head of this batch's own commit number, and that settles it as done.
   */
  onWritten(now: Now, result: Result<number, StoreError>): CommitOutcome {
    this.#busySinceMonoMs = undefined;
    if (result.isOk()) return this.#committed(now, result.value);
    if (result.error.kind !== "conflict") return this.#fail(now);
    if (result.error.current) return this.#onHead(now, result.error.current);
    this.#busySinceMonoMs = now.monoMs;
    this.#out.push({ type: "read" });
    return "open";
  }

  /** The answer to a read after a conflict that did not say what stands there. */
  onRead(
    now: Now,
    result: Result<Entry | undefined, StoreError>,
  ): CommitOutcome {
    this.#busySinceMonoMs = undefined;
    if (result.isErr()) return this.#fail(now);
    return this.#onHead(now, result.value);
  }

  /** Forgets the write under way; only broken variants do. */
  protected dropBatch(): void {
    this.#batch = undefined;
  }

  #isStale(now: Now): boolean {
    return now.monoMs - this.#okMonoMs >= this.#limits.touchMs;
  }

  #witnessesDiffer(view: ShardView): boolean {
    const listed = this.#at.head.witnesses;
    return listed.length !== view.witnesses.length ||
      listed.some((vm) => !view.witnesses.some((other) => sameVm(vm, other)));
  }

  #makeBatch(
    now: Now,
    view: ShardView,
    log: ClaimLog,
    leaving: boolean,
  ): Batch {
    const events = log.events(0, this.#limits.batch);
    const empties = events.length === log.size;
    return makeBatch({
      keys: this.#keys,
      base: this.#at,
      baseOpenBytes: this.#openBytes,
      events,
      owner: leaving && empties ? undefined : this.#me,
      witnesses: view.witnesses,
      nowMs: now.nowMs,
      monoMs: now.monoMs,
      expiredSegments: this.#expired(now),
      segmentBytes: this.#limits.segmentBytes,
    });
  }

  #expired(now: Now): number {
    const beforeMs = now.nowMs - this.#limits.retentionMs;
    const times = this.#segmentTimes.slice(0, expireSegments);
    const kept = times.findIndex((newestMs) => newestMs >= beforeMs);
    return kept < 0 ? times.length : kept;
  }

  #committed(now: Now, rev: number): CommitOutcome {
    const batch = this.#batch;
    if (!batch) return "open";
    const before = this.#at.head;
    this.#at = { head: batch.head, rev };
    this.#newest = batch.head;
    this.#openBytes = batch.openBytes;
    this.#okMonoMs = batch.madeMonoMs;
    this.#failures = 0;
    this.#batch = undefined;
    this.#segmentTimes.splice(0, batch.head.firstSegment - before.firstSegment);
    if (batch.head.nextSegment > before.nextSegment) {
      this.#segmentTimes.push(now.nowMs);
    }
    return "committed";
  }

  /** What stands in the store where another head was expected. */
  #onHead(now: Now, entry: Entry | undefined): CommitOutcome {
    const head = entry && parseHead(entry.value).unwrapOr(undefined);
    const isSame = (other: ShardHead | undefined) =>
      head && other && head.epoch === other.epoch &&
      head.commit === other.commit;
    if (entry && isSame(this.#batch?.head)) {
      return this.#committed(now, entry.rev);
    }
    if (head) this.#at = { head, rev: entry!.rev };
    return "replaced";
  }

  #fail(now: Now): CommitOutcome {
    const { backoff } = this.#limits;
    this.#retryMonoMs = now.monoMs +
      backoffMs(this.#failures++, backoff, this.#random);
    return "open";
  }
}
