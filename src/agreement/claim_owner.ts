/**
 * The owner of a shard. It answers claims from its index and commits them in groups. During a store outage it grants
 * claims from memory as long as its witnesses hold the grants and their promises are valid.
 *
 * @module
 */

import type { Entry, StoreError } from "../adapters/mod.ts";
import type { Random } from "../base/mod.ts";
import type { Result } from "neverthrow";
import type { ShardKeys, StoredHead } from "./claim_batch.ts";
import type { ShardHead } from "./claim_head.ts";
import { ClaimCommitter, type CommitOutcome } from "./claim_commit.ts";
import {
  type LogEntry,
  type Ticket,
  UncommittedLog,
} from "./uncommitted_log.ts";
import type {
  ClaimChange,
  Now,
  Outbox,
  ShardLimits,
  ShardReply,
  ShardView,
} from "./claim_machine.ts";
import { WitnessTracker } from "./witness_tracker.ts";
import {
  type ClaimEvent,
  ClaimIndex,
  type ClaimRequest,
  type KeyStatus,
  type VmRef,
} from "./claim_record.ts";
import { makeChangeEvent, toReply, truncateAnswer } from "./claim_step.ts";
import { isGone, type OwnedShard } from "./claim_takeover.ts";

/** Retry delay for a caller that finds the queue full. */
const QUEUE_RETRY_MS = 1000;
/** Retry delay for a caller that finds neither the store nor valid promises. */
const OUTAGE_RETRY_MS = 2000;

/** The state machine of a shard's owner. */
export class ClaimOwner {
  protected readonly limits: ShardLimits;
  protected readonly index = new ClaimIndex();
  protected readonly log = new UncommittedLog();
  readonly #me: VmRef;
  readonly #outbox: Outbox;
  readonly #tracker: WitnessTracker;
  readonly #committer: ClaimCommitter;
  #view: ShardView;
  /** Lookups that wait for a write made after they arrived, and those that the batch in progress will answer. */
  #lookups: Ticket[] = [];
  #batchLookups: Ticket[] = [];
  #nextN: number;
  #isStopping = false;
  #hasEnded = false;

  constructor(
    me: VmRef,
    keys: ShardKeys,
    limits: ShardLimits,
    random: Random,
    outbox: Outbox,
    view: ShardView,
    owned: OwnedShard,
    committer = new ClaimCommitter(me, keys, limits, random, outbox, owned),
  ) {
    this.#me = me;
    this.limits = limits;
    this.#outbox = outbox;
    this.#view = view;
    this.#committer = committer;
    this.#tracker = new WitnessTracker(limits);
    for (const event of owned.segments.flat()) this.index.apply(event);
    for (const event of owned.storedHead.head.open) this.index.apply(event);
    this.#nextN = owned.storedHead.head.nextN;
  }

  get storedHead(): StoredHead {
    return this.#committer.storedHead;
  }
  /** The newest head that this VM wrote. */
  get newestHead(): ShardHead {
    return this.#committer.newestHead;
  }
  /** Whether another VM owns the shard now, or this VM has released it. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }
  get isStopping(): boolean {
    return this.#isStopping;
  }
  /** Maximum size of one answer, so that the log still fits into one write. */
  get #maxAnswerBytes(): number {
    return (this.limits.logBytes / 2 - this.log.bytes) / 8;
  }

  state(): Record<string, unknown> {
    return {
      claims: this.index.size,
      notInStore: this.log.size,
      waiting: this.log.waitingCount,
      failures: this.#committer.failures,
      storeOkMonoMs: this.#committer.storeOkMonoMs,
      promisedUntilMonoMs: this.#tracker.promisedUntilMonoMs,
    };
  }

  /** Handles a claim request. The reply follows once the claim is settled. */
  claim(now: Now, request: ClaimRequest, ticket: Ticket): void {
    const pending = this.log.pendingClaim(request.key);
    if (pending) {
      pending.waiters.push({ request, ticket });
      return;
    }
    const status = this.#keyStatus(now, request);
    if (status.type === "free") return this.#tryToAdmit(now, request, ticket);
    if (status.type === "mine") {
      return this.#grant(now, request.claimId, ticket);
    }
    this.reply(ticket, toReply(status));
  }

  /**
   * Handles a state change of a granted claim. The reply follows once it is durable. A change with another claim id has
   * no effect.
   */
  change(now: Now, change: ClaimChange, ticket: Ticket): void {
    const pending = this.log.pendingClaim(change.key)?.event;
    const known = pending ?? this.index.get(change.key);
    const bounded = truncateAnswer(change, this.#maxAnswerBytes);
    const event = makeChangeEvent(known, bounded, now.nowMs, this.#nextN);
    if (event) this.#nextN++;
    else return this.reply(ticket, { type: "done" });
    // Applied before it is durable: if it is lost, the key is "running" or "unknown" again, never free.
    if (!pending) this.index.apply(event);
    this.log.add(event, ticket, now.nowMs + this.limits.callerRetryMs);
  }

  /**
   * Looks up the status of a key without claiming it. "none" means that the call did not run. It is sent only after the
   * next write, because an owner that was replaced while it was paused would otherwise deny a claim that its successor
   * granted.
   */
  lookup(now: Now, key: string, ticket: Ticket): void {
    if (this.log.pendingClaim(key)) {
      return this.reply(ticket, { type: "running" });
    }
    const body = this.index.get(key)?.body ?? "";
    const status = this.#keyStatus(now, { key, body, claimId: "" });
    if (status.type !== "free" && status.type !== "spent") {
      return this.reply(ticket, toReply(status));
    }
    if (this.#committer.isFailing(now) && !this.#canGrantFromMemory(now)) {
      const retryAtMs = now.nowMs + OUTAGE_RETRY_MS;
      return this.reply(ticket, { type: "unavailable", retryAtMs });
    }
    if (this.canDenyWithoutWrite()) return this.reply(ticket, { type: "none" });
    this.#lookups.push(ticket);
  }

  /** Sends what is due. Called regularly and after each change. */
  advance(now: Now, view: ShardView): void {
    this.#view = view;
    if (this.#hasEnded) return;
    this.index.expire(now.nowMs - this.limits.retentionMs);
    if (this.#committer.isInOutage(now)) this.#advanceOutage(now);
    this.#refuseExpired(now);
    const urgent = this.#lookups.length > 0;
    if (this.#committer.flush(now, view, this.log, urgent, this.#isStopping)) {
      this.#batchLookups = this.#lookups.splice(0);
    }
  }

  /** Accepts no more claims and releases the shard once all events are in the store. */
  stop(): void {
    this.#isStopping = true;
  }

  onWritten(now: Now, result: Result<number, StoreError>): void {
    this.#onOutcome(now, this.#committer.onWritten(now, result));
  }

  onRead(now: Now, result: Result<Entry | undefined, StoreError>): void {
    this.#onOutcome(now, this.#committer.onRead(now, result));
  }

  onReplicaAnswer(
    from: VmRef,
    accepted: boolean,
    sent: { readonly uptoN: number; readonly sentMonoMs: number },
  ): void {
    this.#tracker.recordAnswer(from, accepted, sent.uptoN, sent.sentMonoMs);
  }

  /** Queues a claim until it may be granted. */
  protected admit(now: Now, request: ClaimRequest, ticket: Ticket): void {
    const { key, body, claimId, claimer, deadlineMs } = request;
    const n = this.#nextN++;
    const atMs = now.nowMs;
    this.log.add(
      { n, key, body, claimId, claimer, state: "claimed", atMs },
      ticket,
      deadlineMs,
    );
  }

  /** Whether the witnesses' promises allow grants from memory now. */
  protected arePromisesValid(now: Now): boolean {
    return this.#tracker.promisedUntilMonoMs > now.monoMs;
  }

  /** All witnesses hold all events up to this number. */
  protected replicatedN(): number {
    return this.#tracker.replicatedN;
  }

  /** Whether a lookup may be answered "none" without a write. */
  protected canDenyWithoutWrite(): boolean {
    return false;
  }

  protected reply(ticket: Ticket | undefined, reply: ShardReply): void {
    if (ticket !== undefined) {
      this.#outbox.push({ type: "reply", ticket, reply });
    }
  }

  #keyStatus(
    now: Now,
    request: Pick<ClaimRequest, "key" | "body" | "claimId">,
  ): KeyStatus {
    const live = [...this.#view.live, this.#me];
    const status = this.index.keyStatus(
      request,
      (event) => this.#isClaimerGone(now, event, live),
    );
    // This includes a released key: a grant that was lost may have followed the release.
    const isInDoubt = now.nowMs < this.#committer.storedHead.head.doubtUntilMs;
    if (status.type === "free" && isInDoubt) return { type: "unknown" };
    return status;
  }

  #isClaimerGone(now: Now, event: ClaimEvent, live: readonly VmRef[]): boolean {
    if (event.claimer.region === this.#view.region) {
      return isGone(event.claimer, live);
    }
    return now.nowMs - event.atMs > this.limits.remoteRunMs;
  }

  #tryToAdmit(now: Now, request: ClaimRequest, ticket: Ticket): void {
    if (this.#isStopping) {
      return this.reply(ticket, { type: "notOwner" });
    }
    const retryAtMs = this.#findRetryAtMs(now, request.deadlineMs);
    if (retryAtMs === undefined) return this.admit(now, request, ticket);
    this.reply(ticket, { type: "unavailable", retryAtMs });
  }

  /** When to retry if a claim with this deadline can't be granted in time; it is then refused at once, not queued. */
  #findRetryAtMs(now: Now, deadlineMs: number): number | undefined {
    const { queueLimit, logBytes } = this.limits;
    if (this.log.waitingCount >= queueLimit || this.log.bytes >= logBytes / 2) {
      return now.nowMs + QUEUE_RETRY_MS;
    }
    if (!this.#committer.isFailing(now)) return undefined;
    if (!this.#canGrantFromMemory(now)) return now.nowMs + OUTAGE_RETRY_MS;
    const waitMs = this.#committer.storeOkMonoMs + this.limits.outageAfterMs -
      now.monoMs;
    const grantsFromMs = now.nowMs + Math.max(0, waitMs);
    return grantsFromMs >= deadlineMs ? grantsFromMs + 100 : undefined;
  }

  /** Whether claims can be granted from memory while the store is unavailable. */
  #canGrantFromMemory(now: Now): boolean {
    const endMonoMs = this.#committer.storeOkMonoMs + this.limits.outageLimitMs;
    const hasWitnesses = this.#tracker.setWitnessLists(
      this.#committer.witnessLists,
      this.#view.live,
      now.monoMs,
    );
    return hasWitnesses && now.monoMs < endMonoMs &&
      !this.#tracker.hasLapsedPromise(now.monoMs);
  }

  #advanceOutage(now: Now): void {
    const canGrant = this.#canGrantFromMemory(now);
    const { head, rev } = this.storedHead;
    for (const { vm, fromN } of this.#tracker.due(this.log.lastN, now.monoMs)) {
      const events = this.log.events(fromN, this.limits.batch);
      this.#tracker.recordSent(vm, now.monoMs);
      this.#outbox.push({
        type: "replicate",
        to: vm,
        message: {
          epoch: head.epoch,
          headRev: rev,
          nextN: head.nextN,
          events,
        },
        uptoN: events.at(-1)?.n ?? fromN - 1,
        sentMonoMs: now.monoMs,
      });
    }
    if (!canGrant) return this.#refuseAll(now, now.nowMs + OUTAGE_RETRY_MS);
    if (!this.arePromisesValid(now)) return;
    this.#settle(now, this.log.unsettled(this.replicatedN()));
    this.#answerLookups({ type: "none" });
  }

  #onOutcome(now: Now, outcome: CommitOutcome): void {
    if (outcome === "open") return;
    if (outcome === "replaced") return this.#endOwnership();
    this.#tracker.reset();
    for (const ticket of this.#batchLookups.splice(0)) {
      this.reply(ticket, { type: "none" });
    }
    const { head } = this.storedHead;
    this.#settle(now, this.log.dropStored(head.nextN));
    if (!head.owner) this.#endOwnership();
  }

  /** Refers waiting callers to the next owner, which recognizes a claim already in the store by its claim id. */
  #endOwnership(): void {
    this.#hasEnded = true;
    const reply: ShardReply = { type: "notOwner" };
    for (const entry of this.log.clear()) this.#refuse(entry, reply);
    this.#answerLookups(reply);
  }

  #answerLookups(reply: ShardReply): void {
    const tickets = [...this.#batchLookups.splice(0), ...this.#lookups];
    this.#lookups = [];
    for (const ticket of tickets) this.reply(ticket, reply);
  }

  /** Applies events to the index and grants the claims among them. */
  #settle(now: Now, entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.log.settle(entry);
      this.index.apply(entry.event);
      if (entry.event.state !== "claimed") {
        this.reply(entry.ticket, { type: "done" });
        continue;
      }
      this.#grant(now, entry.event.claimId, entry.ticket);
      for (const { request, ticket } of entry.waiters) {
        this.claim(now, request, ticket);
      }
    }
  }

  #grant(now: Now, claimId: string, ticket: Ticket | undefined): void {
    const dispatchBeforeMonoMs = now.monoMs + this.limits.dispatchMs;
    this.reply(ticket, { type: "granted", claimId, dispatchBeforeMonoMs });
  }

  #refuseExpired(now: Now): void {
    const expired = this.log.unsettled().filter((entry) =>
      entry.event.state === "claimed" && entry.deadlineMs <= now.nowMs
    );
    for (const entry of expired) this.#withdraw(now, entry, now.nowMs + 1000);
  }

  #refuseAll(now: Now, retryAtMs: number): void {
    this.#answerLookups({ type: "unavailable", retryAtMs });
    for (const entry of this.log.unsettled()) {
      if (entry.event.state === "claimed") {
        this.#withdraw(now, entry, retryAtMs);
      }
    }
  }

  /** Refuses a claim that may be on its way to the store. A release follows it there, so that the key becomes free. */
  #withdraw(now: Now, entry: LogEntry, retryAtMs: number): void {
    this.#refuse(entry, { type: "unavailable", retryAtMs });
    const { event } = entry;
    const n = this.#nextN++;
    const release: ClaimEvent = {
      ...event,
      n,
      state: "released",
      atMs: now.nowMs,
    };
    this.index.apply(release);
    this.log.addSettled(release);
  }

  #refuse(entry: LogEntry, reply: ShardReply): void {
    this.log.settle(entry);
    this.reply(entry.ticket, reply);
    for (const { ticket } of entry.waiters) this.reply(ticket, reply);
  }
}
