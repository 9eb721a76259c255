/**
 * The owner of a shard: it answers claims from its index, commits them in groups, and grants from memory in an outage
 * of the store as long as its witnesses hold the grants and their promises.
 *
 * @module
 */

import type { Entry, StoreError } from "../adapters/mod.ts";
import type { Random } from "../base/mod.ts";
import type { Result } from "neverthrow";
import type { HeadAt, ShardKeys } from "./claim_batch.ts";
import type { ShardHead } from "./claim_head.ts";
import { ClaimCommit, type CommitOutcome } from "./claim_commit.ts";
import { ClaimLog, type LogEntry, type Ticket } from "./claim_log.ts";
import type {
  ClaimChange,
  Now,
  Outbox,
  ShardLimits,
  ShardReply,
  ShardView,
} from "./claim_machine.ts";
import { ClaimOutage } from "./claim_outage.ts";
import {
  type ClaimAsk,
  type ClaimEvent,
  ClaimIndex,
  type Standing,
  type VmRef,
} from "./claim_record.ts";
import { asReply, boundedAnswer, stepEvent } from "./claim_step.ts";
import { isGone, type Owned } from "./claim_takeover.ts";

/** When a caller may come back that found the queue full. */
const queueRetryMs = 1000;
/** When a caller may come back that found the store and the promises away. */
const outageRetryMs = 2000;

/** See the module's comment. */
export class ClaimOwner {
  protected readonly limits: ShardLimits;
  protected readonly index = new ClaimIndex();
  protected readonly log = new ClaimLog();
  readonly #me: VmRef;
  readonly #out: Outbox;
  readonly #outage: ClaimOutage;
  readonly #commit: ClaimCommit;
  #view: ShardView;
  /** Lookups that wait for a write made after they came, and those that the batch under way will answer. */
  #lookups: Ticket[] = [];
  #batchLookups: Ticket[] = [];
  #nextN: number;
  #stopping = false;
  #ended = false;

  constructor(
    me: VmRef,
    keys: ShardKeys,
    limits: ShardLimits,
    random: Random,
    out: Outbox,
    view: ShardView,
    owned: Owned,
    commit = new ClaimCommit(me, keys, limits, random, out, owned),
  ) {
    this.#me = me;
    this.limits = limits;
    this.#out = out;
    this.#view = view;
    this.#commit = commit;
    this.#outage = new ClaimOutage(limits);
    for (const event of owned.segments.flat()) this.index.apply(event);
    for (const event of owned.at.head.open) this.index.apply(event);
    this.#nextN = owned.at.head.nextN;
  }

  get at(): HeadAt {
    return this.#commit.at;
  }
  /** The newest head that this VM wrote. */
  get newest(): ShardHead {
    return this.#commit.newest;
  }
  /** Whether another VM owns the shard now, or the shard was handed over. */
  get ended(): boolean {
    return this.#ended;
  }
  get stopping(): boolean {
    return this.#stopping;
  }
  /** Bytes that one answer may take: the log must stay within one write. */
  get #answerRoom(): number {
    return (this.limits.logBytes / 2 - this.log.bytes) / 8;
  }

  state(): Record<string, unknown> {
    return {
      claims: this.index.size,
      notInStore: this.log.size,
      waiting: this.log.waiting,
      failures: this.#commit.failures,
      storeOkMonoMs: this.#commit.okMonoMs,
      promisedUntilMonoMs: this.#outage.promisedUntilMonoMs,
    };
  }

  /** A claim; replied to once it is settled. */
  ask(now: Now, ask: ClaimAsk, ticket: Ticket): void {
    const pending = this.log.pendingClaim(ask.key);
    if (pending) {
      pending.parked.push({ ask, ticket });
      return;
    }
    const standing = this.#standing(now, ask);
    if (standing.type === "free") return this.#admitOrRefuse(now, ask, ticket);
    if (standing.type === "mine") return this.#grant(now, ask.claimId, ticket);
    this.reply(ticket, asReply(standing));
  }

  /** A step of a granted claim; replied to once it is kept. A step of another claim id changes nothing. */
  change(now: Now, change: ClaimChange, ticket: Ticket): void {
    const pending = this.log.pendingClaim(change.key)?.event;
    const known = pending ?? this.index.get(change.key);
    const bounded = boundedAnswer(change, this.#answerRoom);
    const event = stepEvent(known, bounded, now.nowMs, this.#nextN);
    if (event) this.#nextN++;
    else return this.reply(ticket, { type: "done" });
    // Believed before it is kept: if it is lost, the key stands "running" or "unknown" again, never free.
    if (!pending) this.index.apply(event);
    this.log.add(event, ticket, now.nowMs + this.limits.callerRetryMs);
  }

  /**
   * How a key stands, without claiming it. "none" means that the call was not run, so it is said only after the next
   * write: an owner that was replaced while it was paused would otherwise deny a claim that its successor granted.
   */
  lookup(now: Now, key: string, ticket: Ticket): void {
    if (this.log.pendingClaim(key)) {
      return this.reply(ticket, { type: "running" });
    }
    const body = this.index.get(key)?.body ?? "";
    const standing = this.#standing(now, { key, body, claimId: "" });
    if (standing.type !== "free" && standing.type !== "spent") {
      return this.reply(ticket, asReply(standing));
    }
    if (this.#commit.isFailing(now) && !this.#canOutlast(now)) {
      const retryAtMs = now.nowMs + outageRetryMs;
      return this.reply(ticket, { type: "unavailable", retryAtMs });
    }
    if (this.denies()) return this.reply(ticket, { type: "none" });
    this.#lookups.push(ticket);
  }

  /** Time passes, or something has changed: sends what is due. */
  pump(now: Now, view: ShardView): void {
    this.#view = view;
    if (this.#ended) return;
    this.index.expire(now.nowMs - this.limits.retentionMs);
    if (this.#commit.inOutage(now)) this.#pumpOutage(now);
    this.#refuseLate(now);
    const urgent = this.#lookups.length > 0;
    if (this.#commit.pump(now, view, this.log, urgent, this.#stopping)) {
      this.#batchLookups = this.#lookups.splice(0);
    }
  }

  /** Takes no more claims, and hands the shard over once everything is in the store. */
  stop(): void {
    this.#stopping = true;
  }

  onWritten(now: Now, result: Result<number, StoreError>): void {
    this.#onOutcome(now, this.#commit.onWritten(now, result));
  }

  onRead(now: Now, result: Result<Entry | undefined, StoreError>): void {
    this.#onOutcome(now, this.#commit.onRead(now, result));
  }

  onReplicaAnswer(
    from: VmRef,
    accepted: boolean,
    sent: { readonly uptoN: number; readonly sentMonoMs: number },
  ): void {
    this.#outage.answered(from, accepted, sent.uptoN, sent.sentMonoMs);
  }

  /** Queues a claim until it may be granted. */
  protected admit(now: Now, ask: ClaimAsk, ticket: Ticket): void {
    const { key, body, claimId, claimer, deadlineMs } = ask;
    const n = this.#nextN++;
    const atMs = now.nowMs;
    this.log.add(
      { n, key, body, claimId, claimer, state: "claimed", atMs },
      ticket,
      deadlineMs,
    );
  }

  /** Whether grants may be made from memory at all, in this outage. */
  protected promisesHold(now: Now): boolean {
    return this.#outage.promisedUntilMonoMs > now.monoMs;
  }

  /** Every event up to this is held by all witnesses. */
  protected heldN(): number {
    return this.#outage.heldN;
  }

  /** Whether a lookup may be answered "none" without a write. */
  protected denies(): boolean {
    return false;
  }

  protected reply(ticket: Ticket | undefined, reply: ShardReply): void {
    if (ticket !== undefined) this.#out.push({ type: "reply", ticket, reply });
  }

  #standing(
    now: Now,
    ask: Pick<ClaimAsk, "key" | "body" | "claimId">,
  ): Standing {
    const live = [...this.#view.live, this.#me];
    const standing = this.index.standing(
      ask,
      (event) => this.#isOver(now, event, live),
    );
    // Also for a key that was released: the grant that is not on record may have come after the release.
    const doubted = now.nowMs < this.#commit.at.head.doubtUntilMs;
    if (standing.type === "free" && doubted) return { type: "unknown" };
    return standing;
  }

  #isOver(now: Now, event: ClaimEvent, live: readonly VmRef[]): boolean {
    if (event.claimer.region === this.#view.region) {
      return isGone(event.claimer, live);
    }
    return now.nowMs - event.atMs > this.limits.remoteRunMs;
  }

  #admitOrRefuse(now: Now, ask: ClaimAsk, ticket: Ticket): void {
    if (this.#stopping) {
      return this.reply(ticket, { type: "notOwner" });
    }
    const retryAtMs = this.#refusal(now, ask.deadlineMs);
    if (retryAtMs === undefined) return this.admit(now, ask, ticket);
    this.reply(ticket, { type: "unavailable", retryAtMs });
  }

  /** When to come back, if a claim with this deadline can't be granted in time; refused at once rather than held. */
  #refusal(now: Now, deadlineMs: number): number | undefined {
    const { queueLimit, logBytes } = this.limits;
    if (this.log.waiting >= queueLimit || this.log.bytes >= logBytes / 2) {
      return now.nowMs + queueRetryMs;
    }
    if (!this.#commit.isFailing(now)) return undefined;
    if (!this.#canOutlast(now)) return now.nowMs + outageRetryMs;
    const waitMs = this.#commit.okMonoMs + this.limits.outageAfterMs -
      now.monoMs;
    const fromMs = now.nowMs + Math.max(0, waitMs);
    return fromMs >= deadlineMs ? fromMs + 100 : undefined;
  }

  /** Whether grants from memory are possible while the store is away. */
  #canOutlast(now: Now): boolean {
    const endMonoMs = this.#commit.okMonoMs + this.limits.outageLimitMs;
    const listed = this.#outage.require(
      this.#commit.witnessLists,
      this.#view.live,
      now.monoMs,
    );
    return listed && now.monoMs < endMonoMs &&
      !this.#outage.isHopeless(now.monoMs);
  }

  #pumpOutage(now: Now): void {
    const can = this.#canOutlast(now);
    const { head, rev } = this.at;
    for (const { vm, fromN } of this.#outage.due(this.log.lastN, now.monoMs)) {
      const events = this.log.events(fromN, this.limits.batch);
      this.#outage.sent(vm, now.monoMs);
      this.#out.push({
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
    if (!can) return this.#refuseAll(now, now.nowMs + outageRetryMs);
    if (!this.promisesHold(now)) return;
    this.#settle(now, this.log.unsettled(this.heldN()));
    this.#answerLookups({ type: "none" });
  }

  #onOutcome(now: Now, outcome: CommitOutcome): void {
    if (outcome === "open") return;
    if (outcome === "replaced") return this.#end();
    this.#outage.reset();
    for (const ticket of this.#batchLookups.splice(0)) {
      this.reply(ticket, { type: "none" });
    }
    const { head } = this.at;
    this.#settle(now, this.log.dropBelow(head.nextN));
    if (!head.owner) this.#end();
  }

  /** Who waits is sent to the next owner with the same claim id: a claim that is in the store already is theirs. */
  #end(): void {
    this.#ended = true;
    const reply: ShardReply = { type: "notOwner" };
    for (const entry of this.log.clear()) this.#refuse(entry, reply);
    this.#answerLookups(reply);
  }

  #answerLookups(reply: ShardReply): void {
    const waiting = [...this.#batchLookups.splice(0), ...this.#lookups];
    this.#lookups = [];
    for (const ticket of waiting) this.reply(ticket, reply);
  }

  /** Believes events, and grants the claims among them. */
  #settle(now: Now, entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.log.settle(entry);
      this.index.apply(entry.event);
      if (entry.event.state !== "claimed") {
        this.reply(entry.ticket, { type: "done" });
        continue;
      }
      this.#grant(now, entry.event.claimId, entry.ticket);
      for (const { ask, ticket } of entry.parked) this.ask(now, ask, ticket);
    }
  }

  #grant(now: Now, claimId: string, ticket: Ticket | undefined): void {
    const dispatchBeforeMonoMs = now.monoMs + this.limits.dispatchMs;
    this.reply(ticket, { type: "granted", claimId, dispatchBeforeMonoMs });
  }

  #refuseLate(now: Now): void {
    const late = this.log.unsettled().filter((entry) =>
      entry.event.state === "claimed" && entry.deadlineMs <= now.nowMs
    );
    for (const entry of late) this.#withdraw(now, entry, now.nowMs + 1000);
  }

  #refuseAll(now: Now, retryAtMs: number): void {
    this.#answerLookups({ type: "unavailable", retryAtMs });
    for (const entry of this.log.unsettled()) {
      if (entry.event.state === "claimed") {
        this.#withdraw(now, entry, retryAtMs);
      }
    }
  }

  /** Refuses a claim that may be on its way into the store: a release follows it there, so that the key is free. */
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
    for (const { ticket } of entry.parked) this.reply(ticket, reply);
  }
}
