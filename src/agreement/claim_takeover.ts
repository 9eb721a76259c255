/**
 * How a VM comes to own a shard: it reads the head, weighs {@link mayTake}, swaps the head for one with its own name
 * and a higher epoch, and loads the claims. From the swap on, every write of the old owner fails.
 *
 * @module
 */

import type { Entry, StoreError, Write } from "../adapters/mod.ts";
import { backoffMs, type Random } from "../base/mod.ts";
import type { Result } from "neverthrow";
import {
  eventsBytes,
  type HeadAt,
  putHead,
  putSegment,
  type ShardKeys,
  splitEvents,
} from "./claim_batch.ts";
import {
  isReplaced,
  mayTake,
  parseHead,
  type ShardHead,
  type TakeDecision,
} from "./claim_head.ts";
import type { Now, Outbox, ShardLimits, ShardView } from "./claim_machine.ts";
import { type ClaimEvent, sameVm, type VmRef } from "./claim_record.ts";
import type { ClaimWitness } from "./claim_witness.ts";

/** What a VM starts to own a shard with. */
export interface Owned {
  readonly at: HeadAt;
  readonly openBytes: number;
  /** Monotonic time at which the write that made this VM the owner was sent. */
  readonly okMonoMs: number;
  /** The segments' events, oldest first. */
  readonly segments: readonly (readonly ClaimEvent[])[];
}

/** Places after which VMs no longer wait longer. */
const mostPlaces = 4;

type Phase = "watching" | "taking" | "loading";

/** A VM that does not own the shard. */
export class ClaimTakeover {
  readonly #me: VmRef;
  readonly #keys: ShardKeys;
  readonly #limits: ShardLimits;
  readonly #random: Random;
  readonly #witness: ClaimWitness;
  readonly #out: Outbox;
  #phase: Phase = "watching";
  #known = false;
  #at: HeadAt | undefined;
  /** The newest head that this VM has seen; the store must not go back behind it. */
  #newest: ShardHead | undefined;
  #unchangedSinceMonoMs = 0;
  #wanted: ShardHead | undefined;
  #writes: readonly Write[] = [];
  #busySinceMonoMs: number | undefined;
  #sentMonoMs = 0;
  #failures = 0;
  #nextMonoMs = 0;
  #goneSinceMonoMs: number | undefined;

  constructor(
    me: VmRef,
    keys: ShardKeys,
    limits: ShardLimits,
    random: Random,
    witness: ClaimWitness,
    out: Outbox,
  ) {
    this.#me = me;
    this.#keys = keys;
    this.#limits = limits;
    this.#random = random;
    this.#witness = witness;
    this.#out = out;
  }

  /** The head as last read. */
  get at(): HeadAt | undefined {
    return this.#at;
  }

  get phase(): Phase {
    return this.#phase;
  }

  /** Starts over from a head, after this VM's ownership has ended. */
  reset(at: HeadAt, newest: ShardHead, now: Now): void {
    this.#newest = newest;
    this.#phase = "watching";
    this.#known = true;
    this.#wanted = undefined;
    this.#seeHead(at, now);
  }

  /** Reads the head again soon: the VM that it names said that it is not the owner. */
  recheck(): void {
    this.#known = false;
  }

  tick(now: Now, view: ShardView): void {
    if (this.#busySinceMonoMs !== undefined || now.monoMs < this.#nextMonoMs) {
      return;
    }
    if (this.#phase === "loading") this.#load(now);
    else if (this.#phase === "taking") this.#sendTake(now);
    else if (!this.#known || this.#isTurn(now, view)) this.#read(now);
  }

  /** The answer to a `read`. */
  onRead(
    now: Now,
    view: ShardView,
    result: Result<Entry | undefined, StoreError>,
  ): void {
    this.#busySinceMonoMs = undefined;
    if (result.isErr()) return this.#fail(now);
    this.#failures = 0;
    this.#known = true;
    this.#nextMonoMs = now.monoMs + this.#limits.rankDelayMs / 2;
    this.#onHead(now, view, result.value);
  }

  /** The answer to the write of a take-over. */
  onWritten(
    now: Now,
    view: ShardView,
    result: Result<number, StoreError>,
  ): void {
    this.#busySinceMonoMs = undefined;
    if (result.isOk() && this.#wanted) {
      return this.#startLoading(now, { head: this.#wanted, rev: result.value });
    }
    if (result.isOk()) return;
    if (result.error.kind !== "conflict") return this.#fail(now);
    if (result.error.current) this.#onHead(now, view, result.error.current);
    else this.#read(now);
  }

  /** The answer to a `load`; the shard is owned once it succeeds. */
  onLoaded(
    now: Now,
    result: Result<readonly (readonly ClaimEvent[])[], StoreError>,
  ): Owned | undefined {
    this.#busySinceMonoMs = undefined;
    if (result.isErr() || !this.#at) {
      this.#fail(now);
      return undefined;
    }
    return {
      at: this.#at,
      openBytes: eventsBytes(this.#at.head.open),
      okMonoMs: this.#sentMonoMs,
      segments: result.value,
    };
  }

  #onHead(now: Now, view: ShardView, entry: Entry | undefined): void {
    const parsed = entry && parseHead(entry.value);
    if (parsed?.isErr()) {
      this.#log("error", "claim head unreadable", parsed.error);
      return this.#fail(now);
    }
    const at = entry && parsed?.isOk()
      ? { head: parsed.value, rev: entry.rev }
      : undefined;
    if (this.#phase === "taking" && at && this.#isOwnTake(at.head)) {
      return this.#startLoading(now, at);
    }
    this.#phase = "watching";
    this.#seeHead(at, now);
    const decision = this.#decide(now, view);
    if (decision !== "no") this.#take(now, view, decision);
  }

  /** Whether the stored head is the one of this VM's own take-over, whose answer was lost. */
  #isOwnTake(head: ShardHead): boolean {
    return head.owner !== undefined && sameVm(head.owner, this.#me) &&
      head.epoch === this.#wanted?.epoch;
  }

  #seeHead(at: HeadAt | undefined, now: Now): void {
    if (at?.rev !== this.#at?.rev) this.#unchangedSinceMonoMs = now.monoMs;
    this.#at = at;
    if (this.#hasRegressed()) {
      const detail =
        `store has epoch=${at?.head.epoch} commit=${at?.head.commit}`;
      this.#log("error", "claim shard regressed", detail);
    } else if (at) this.#newest = at.head;
  }

  /**
   * Whether the store holds an older head than this VM has seen: it was restored from a copy, and the claims since then
   * are gone. Taking the shard over is lossy then, and an alarm.
   */
  #hasRegressed(): boolean {
    const newest = this.#newest;
    const head = this.#at?.head;
    if (!newest || !head) return newest !== undefined;
    return head.epoch < newest.epoch ||
      (head.epoch === newest.epoch && head.commit < newest.commit);
  }

  /** Whether it is time to read the head with a view to taking over. */
  #isTurn(now: Now, view: ShardView): boolean {
    const owner = this.#at?.head.owner;
    const alive = owner !== undefined &&
      view.live.some((vm) => sameVm(vm, owner));
    if (alive) {
      this.#goneSinceMonoMs = undefined;
      return false;
    }
    this.#goneSinceMonoMs ??= now.monoMs;
    const waitMs = this.#place(view) * this.#limits.rankDelayMs;
    return now.monoMs >= this.#goneSinceMonoMs + waitMs;
  }

  /** How many are to try before this VM does: their writes would only conflict with each other. */
  #place(view: ShardView): number {
    const alive = (this.#at?.head.witnesses ?? []).filter((vm) =>
      sameVm(vm, this.#me) || view.live.some((other) => sameVm(vm, other))
    );
    const listed = alive.findIndex((vm) => sameVm(vm, this.#me));
    return listed >= 0 ? listed : Math.min(view.rank, mostPlaces);
  }

  /**
   * Whether the owner shows in the store that it is alive, though this VM does not see it. Two VMs that cannot see each
   * other but both reach the store would otherwise take the shard from each other for ever.
   */
  #isTouched(now: Now, view: ShardView, head: ShardHead): boolean {
    if (!head.owner || isReplaced(head.owner, [...view.live, this.#me])) {
      return false;
    }
    const silentMs = 1.5 * this.#limits.touchMs;
    return now.nowMs - head.touchedAtMs < silentMs &&
      now.monoMs - this.#unchangedSinceMonoMs < silentMs;
  }

  #decide(now: Now, view: ShardView): TakeDecision {
    if (!this.#isTurn(now, view)) return "no";
    const head = this.#at?.head;
    if (head && this.#isTouched(now, view, head)) {
      this.#nextMonoMs = now.monoMs + this.#limits.rankDelayMs;
      return "no";
    }
    if (head && head.shardCount !== this.#limits.shardCount) {
      this.#log("error", "claim shard count differs", `${head.shardCount}`);
      this.#fail(now);
      return "no";
    }
    const decision = mayTake(head, {
      me: this.#me,
      live: view.live,
      nowMs: now.nowMs,
      monoMs: now.monoMs,
      promisedUntilMonoMs: this.#witness.promisedUntilMonoMs,
      unchangedSinceMonoMs: this.#unchangedSinceMonoMs,
    }, this.#limits);
    if (decision === "no") {
      const waitMs = this.#limits.rankDelayMs * (1 + view.rank);
      this.#nextMonoMs = now.monoMs + waitMs;
    }
    return decision;
  }

  #take(now: Now, view: ShardView, decision: TakeDecision): void {
    const old = this.#at?.head;
    const isLossy = decision === "lossy" || this.#hasRegressed();
    const doubtUntilMs = isLossy
      ? now.nowMs + this.#limits.callerRetryMs
      : old?.doubtUntilMs ?? 0;
    const carried = old ? this.#witness.missing(old.epoch, old.nextN) : [];
    const segments = splitEvents(carried, this.#limits.batch.bytes);
    const nextSegment = old?.nextSegment ?? 0;
    const head: ShardHead = {
      format: 1,
      shardCount: this.#limits.shardCount,
      epoch: (old?.epoch ?? 0) + 1,
      commit: (old?.commit ?? 0) + 1,
      owner: this.#me,
      witnesses: [...view.witnesses],
      nextN: Math.max(old?.nextN ?? 0, (carried.at(-1)?.n ?? -1) + 1),
      firstSegment: old?.firstSegment ?? 0,
      nextSegment: nextSegment + segments.length,
      touchedAtMs: now.nowMs,
      doubtUntilMs,
      open: old?.open ?? [],
    };
    this.#wanted = head;
    // The old owner's grants go in with the same write: a VM that replaces this one before its first commit would
    // find them nowhere, and grant their keys again.
    this.#writes = [
      putHead(this.#keys, head, this.#at?.rev ?? 0),
      ...segments.map((events, i) =>
        putSegment(this.#keys, nextSegment + i, events)
      ),
    ];
    const kind = isLossy ? "lossy" : "complete";
    this.#log("info", "claim shard take-over", kind);
    this.#phase = "taking";
    // The first sending: the write may take effect from here on, and `touchedAtMs` states this moment.
    this.#sentMonoMs = now.monoMs;
    this.#sendTake(now);
  }

  #sendTake(now: Now): void {
    if (!this.#wanted) return;
    const rev = this.#at?.rev ?? 0;
    // In the same step as the check of the promise: from here on this VM gives none for this head.
    this.#witness.startTake(rev);
    this.#busySinceMonoMs = now.monoMs;
    this.#out.push({ type: "write", writes: this.#writes });
  }

  #startLoading(now: Now, at: HeadAt): void {
    this.#phase = "loading";
    this.#at = at;
    this.#failures = 0;
    this.#load(now);
  }

  #load(now: Now): void {
    this.#busySinceMonoMs = now.monoMs;
    const { firstSegment, nextSegment } = this.#at!.head;
    this.#out.push({ type: "load", from: firstSegment, to: nextSegment });
  }

  #read(now: Now): void {
    this.#busySinceMonoMs = now.monoMs;
    this.#out.push({ type: "read" });
  }

  #fail(now: Now): void {
    const waitMs = backoffMs(
      this.#failures++,
      this.#limits.backoff,
      this.#random,
    );
    this.#nextMonoMs = now.monoMs + waitMs;
  }

  #log(
    level: "info" | "error",
    event: string,
    detail: string,
  ): void {
    this.#out.push({ type: "log", level, event, detail });
  }
}

/** Whether a VM is known to be over, or is not seen alive. */
export function isGone(vm: VmRef, live: readonly VmRef[]): boolean {
  return isReplaced(vm, live) || !live.some((other) => sameVm(other, vm));
}
