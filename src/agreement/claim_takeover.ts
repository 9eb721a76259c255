/**
 * How a VM becomes the owner of a shard: it reads the head, checks {@link decideTakeover}, replaces the head with one
 * that names itself and has a higher epoch, and loads the claims. Once the head is replaced, every write of the old
 * owner fails.
 *
 * @module
 */

import type { Entry, StoreError, Write } from "../adapters/mod.ts";
import { backoffMs, type Random } from "../base/mod.ts";
import type { Result } from "neverthrow";
import {
  eventsBytes,
  makeHeadWrite,
  makeSegmentWrite,
  type ShardKeys,
  splitEvents,
  type StoredHead,
} from "./claim_batch.ts";
import {
  decideTakeover,
  isReplaced,
  parseHead,
  type ShardHead,
  type TakeoverDecision,
} from "./claim_head.ts";
import type { Now, Outbox, ShardLimits, ShardView } from "./claim_machine.ts";
import { type ClaimEvent, sameVm, type VmRef } from "./claim_record.ts";
import type { ClaimWitness } from "./claim_witness.ts";

/** The state with which a VM starts to own a shard. */
export interface OwnedShard {
  readonly storedHead: StoredHead;
  readonly openBytes: number;
  /** When the write that made this VM the owner was sent, on the monotonic clock. */
  readonly storeOkMonoMs: number;
  /** The segments' events, oldest first. */
  readonly segments: readonly (readonly ClaimEvent[])[];
}

/** Maximum rank that counts for the delay; VMs of lower priority wait no longer. */
const MAX_RANK = 4;

type Phase = "watching" | "taking" | "loading";

/** The state machine of a VM that does not own the shard. */
export class ClaimTakeover {
  readonly #me: VmRef;
  readonly #keys: ShardKeys;
  readonly #limits: ShardLimits;
  readonly #random: Random;
  readonly #witness: ClaimWitness;
  readonly #outbox: Outbox;
  #phase: Phase = "watching";
  #isHeadKnown = false;
  #storedHead: StoredHead | undefined;
  /** The newest head that this VM has seen. The store must not go back to an older one. */
  #newestHead: ShardHead | undefined;
  #unchangedSinceMonoMs = 0;
  #takeoverHead: ShardHead | undefined;
  #takeoverWrites: readonly Write[] = [];
  #busySinceMonoMs: number | undefined;
  #firstSentMonoMs = 0;
  #failures = 0;
  #nextTryMonoMs = 0;
  #ownerGoneSinceMonoMs: number | undefined;

  constructor(
    me: VmRef,
    keys: ShardKeys,
    limits: ShardLimits,
    random: Random,
    witness: ClaimWitness,
    outbox: Outbox,
  ) {
    this.#me = me;
    this.#keys = keys;
    this.#limits = limits;
    this.#random = random;
    this.#witness = witness;
    this.#outbox = outbox;
  }

  /** The head as last read. */
  get storedHead(): StoredHead | undefined {
    return this.#storedHead;
  }

  get phase(): Phase {
    return this.#phase;
  }

  /** Starts over from the given head after this VM's ownership has ended. */
  reset(stored: StoredHead, newest: ShardHead, now: Now): void {
    this.#newestHead = newest;
    this.#phase = "watching";
    this.#isHeadKnown = true;
    this.#takeoverHead = undefined;
    this.#updateHead(stored, now);
  }

  /** Rereads the head soon, because the VM that it names answered that it is not the owner. */
  recheck(): void {
    this.#isHeadKnown = false;
  }

  tick(now: Now, view: ShardView): void {
    if (
      this.#busySinceMonoMs !== undefined || now.monoMs < this.#nextTryMonoMs
    ) {
      return;
    }
    if (this.#phase === "loading") this.#load(now);
    else if (this.#phase === "taking") this.#sendTakeover(now);
    else if (!this.#isHeadKnown || this.#isTimeToTry(now, view)) {
      this.#read(now);
    }
  }

  /** Handles the answer to a `read`. */
  onRead(
    now: Now,
    view: ShardView,
    result: Result<Entry | undefined, StoreError>,
  ): void {
    this.#busySinceMonoMs = undefined;
    if (result.isErr()) return this.#scheduleRetry(now);
    this.#failures = 0;
    this.#isHeadKnown = true;
    this.#nextTryMonoMs = now.monoMs + this.#limits.rankDelayMs / 2;
    this.#handleHead(now, view, result.value);
  }

  /** Handles the answer to the write of a takeover. */
  onWritten(
    now: Now,
    view: ShardView,
    result: Result<number, StoreError>,
  ): void {
    this.#busySinceMonoMs = undefined;
    if (result.isOk() && this.#takeoverHead) {
      return this.#startLoading(now, {
        head: this.#takeoverHead,
        rev: result.value,
      });
    }
    if (result.isOk()) return;
    if (result.error.kind !== "conflict") return this.#scheduleRetry(now);
    if (result.error.current) this.#handleHead(now, view, result.error.current);
    else this.#read(now);
  }

  /** Handles the answer to a `load`. Once that succeeds, the shard is owned. */
  onLoaded(
    now: Now,
    result: Result<readonly (readonly ClaimEvent[])[], StoreError>,
  ): OwnedShard | undefined {
    this.#busySinceMonoMs = undefined;
    if (result.isErr() || !this.#storedHead) {
      this.#scheduleRetry(now);
      return undefined;
    }
    return {
      storedHead: this.#storedHead,
      openBytes: eventsBytes(this.#storedHead.head.open),
      storeOkMonoMs: this.#firstSentMonoMs,
      segments: result.value,
    };
  }

  #handleHead(now: Now, view: ShardView, entry: Entry | undefined): void {
    const parsed = entry && parseHead(entry.value);
    if (parsed?.isErr()) {
      this.#log("error", "claim head unreadable", parsed.error);
      return this.#scheduleRetry(now);
    }
    const stored = entry && parsed?.isOk()
      ? { head: parsed.value, rev: entry.rev }
      : undefined;
    if (
      this.#phase === "taking" && stored && this.#isOwnTakeover(stored.head)
    ) {
      return this.#startLoading(now, stored);
    }
    this.#phase = "watching";
    this.#updateHead(stored, now);
    const decision = this.#decide(now, view);
    if (decision !== "no") this.#startTakeover(now, view, decision);
  }

  /** Whether the stored head is that of this VM's own takeover, whose answer was lost. */
  #isOwnTakeover(head: ShardHead): boolean {
    return head.owner !== undefined && sameVm(head.owner, this.#me) &&
      head.epoch === this.#takeoverHead?.epoch;
  }

  #updateHead(stored: StoredHead | undefined, now: Now): void {
    if (stored?.rev !== this.#storedHead?.rev) {
      this.#unchangedSinceMonoMs = now.monoMs;
    }
    this.#storedHead = stored;
    if (this.#hasRegressed()) {
      const detail =
        `store has epoch=${stored?.head.epoch} commit=${stored?.head.commit}`;
      this.#log("error", "claim shard regressed", detail);
    } else if (stored) this.#newestHead = stored.head;
  }

  /**
   * Whether the store holds an older head than this VM has seen: it was restored from a backup, and the claims made
   * since then are lost. This is logged as an error, and a takeover is then lossy.
   */
  #hasRegressed(): boolean {
    const newest = this.#newestHead;
    const head = this.#storedHead?.head;
    if (!newest || !head) return newest !== undefined;
    return head.epoch < newest.epoch ||
      (head.epoch === newest.epoch && head.commit < newest.commit);
  }

  /** Whether it is time to read the head in order to take over. */
  #isTimeToTry(now: Now, view: ShardView): boolean {
    const owner = this.#storedHead?.head.owner;
    const alive = owner !== undefined &&
      view.live.some((vm) => sameVm(vm, owner));
    if (alive) {
      this.#ownerGoneSinceMonoMs = undefined;
      return false;
    }
    this.#ownerGoneSinceMonoMs ??= now.monoMs;
    const waitMs = this.#takeoverRank(view) * this.#limits.rankDelayMs;
    return now.monoMs >= this.#ownerGoneSinceMonoMs + waitMs;
  }

  /**
   * Number of VMs that try before this one. They take turns because their writes would only conflict with each other.
   */
  #takeoverRank(view: ShardView): number {
    const alive = (this.#storedHead?.head.witnesses ?? []).filter((vm) =>
      sameVm(vm, this.#me) || view.live.some((other) => sameVm(vm, other))
    );
    const rank = alive.findIndex((vm) => sameVm(vm, this.#me));
    return rank >= 0 ? rank : Math.min(view.rank, MAX_RANK);
  }

  /**
   * Whether the owner's recent writes show that it is alive, although this VM does not see it. Two VMs that cannot see
   * each other but both reach the store would otherwise take the shard from each other forever.
   */
  #isOwnerActive(now: Now, view: ShardView, head: ShardHead): boolean {
    if (!head.owner || isReplaced(head.owner, [...view.live, this.#me])) {
      return false;
    }
    const maxAgeMs = 1.5 * this.#limits.touchMs;
    return now.nowMs - head.touchedAtMs < maxAgeMs &&
      now.monoMs - this.#unchangedSinceMonoMs < maxAgeMs;
  }

  #decide(now: Now, view: ShardView): TakeoverDecision {
    if (!this.#isTimeToTry(now, view)) return "no";
    const head = this.#storedHead?.head;
    if (head && this.#isOwnerActive(now, view, head)) {
      this.#nextTryMonoMs = now.monoMs + this.#limits.rankDelayMs;
      return "no";
    }
    if (head && head.shardCount !== this.#limits.shardCount) {
      this.#log("error", "claim shard count differs", `${head.shardCount}`);
      this.#scheduleRetry(now);
      return "no";
    }
    const decision = decideTakeover(head, {
      me: this.#me,
      live: view.live,
      nowMs: now.nowMs,
      monoMs: now.monoMs,
      promisedUntilMonoMs: this.#witness.promisedUntilMonoMs,
      unchangedSinceMonoMs: this.#unchangedSinceMonoMs,
    }, this.#limits);
    if (decision === "no") {
      const waitMs = this.#limits.rankDelayMs * (1 + view.rank);
      this.#nextTryMonoMs = now.monoMs + waitMs;
    }
    return decision;
  }

  #startTakeover(now: Now, view: ShardView, decision: TakeoverDecision): void {
    const old = this.#storedHead?.head;
    const isLossy = decision === "lossy" || this.#hasRegressed();
    const doubtUntilMs = isLossy
      ? now.nowMs + this.#limits.callerRetryMs
      : old?.doubtUntilMs ?? 0;
    const replicated = old
      ? this.#witness.uncommittedEvents(old.epoch, old.nextN)
      : [];
    const segments = splitEvents(replicated, this.#limits.batch.bytes);
    const nextSegment = old?.nextSegment ?? 0;
    const head: ShardHead = {
      format: 1,
      shardCount: this.#limits.shardCount,
      epoch: (old?.epoch ?? 0) + 1,
      commit: (old?.commit ?? 0) + 1,
      owner: this.#me,
      witnesses: [...view.witnesses],
      nextN: Math.max(old?.nextN ?? 0, (replicated.at(-1)?.n ?? -1) + 1),
      firstSegment: old?.firstSegment ?? 0,
      nextSegment: nextSegment + segments.length,
      touchedAtMs: now.nowMs,
      doubtUntilMs,
      open: old?.open ?? [],
    };
    this.#takeoverHead = head;
    // The old owner's grants are part of the same write. Otherwise a VM that replaces this one before its first commit
    // would not find them and would grant their keys again.
    this.#takeoverWrites = [
      makeHeadWrite(this.#keys, head, this.#storedHead?.rev ?? 0),
      ...segments.map((events, i) =>
        makeSegmentWrite(this.#keys, nextSegment + i, events)
      ),
    ];
    const kind = isLossy ? "lossy" : "complete";
    this.#log("info", "claim shard take-over", kind);
    this.#phase = "taking";
    // The time of the first attempt: the write may take effect from now on, and `touchedAtMs` is this moment.
    this.#firstSentMonoMs = now.monoMs;
    this.#sendTakeover(now);
  }

  #sendTakeover(now: Now): void {
    if (!this.#takeoverHead) return;
    const rev = this.#storedHead?.rev ?? 0;
    // Called in the same step as the check of the promise, so that this VM gives no promise for this head from now on.
    this.#witness.startTakeover(rev);
    this.#busySinceMonoMs = now.monoMs;
    this.#outbox.push({ type: "write", writes: this.#takeoverWrites });
  }

  #startLoading(now: Now, stored: StoredHead): void {
    this.#phase = "loading";
    this.#storedHead = stored;
    this.#failures = 0;
    this.#load(now);
  }

  #load(now: Now): void {
    this.#busySinceMonoMs = now.monoMs;
    const { firstSegment, nextSegment } = this.#storedHead!.head;
    this.#outbox.push({ type: "load", from: firstSegment, to: nextSegment });
  }

  #read(now: Now): void {
    this.#busySinceMonoMs = now.monoMs;
    this.#outbox.push({ type: "read" });
  }

  #scheduleRetry(now: Now): void {
    const waitMs = backoffMs(
      this.#failures++,
      this.#limits.backoff,
      this.#random,
    );
    this.#nextTryMonoMs = now.monoMs + waitMs;
  }

  #log(
    level: "info" | "error",
    event: string,
    detail: string,
  ): void {
    this.#outbox.push({ type: "log", level, event, detail });
  }
}

/** Whether a VM has certainly ended, or is not seen alive. */
export function isGone(vm: VmRef, live: readonly VmRef[]): boolean {
  return isReplaced(vm, live) || !live.some((other) => sameVm(other, vm));
}
