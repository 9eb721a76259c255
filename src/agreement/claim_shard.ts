/**
 * One VM's part in one shard of claims, as a pure state machine: owner, witness or onlooker. Time, messages and the
 * store's answers come in as arguments; what is to be done goes out as {@link Effect}s.
 *
 * A claim is granted only once it is in the store under compare-and-swap, or, while the store cannot be reached, once
 * every witness holds it and has promised not to take the shard over. docs/design/claims.md gives the argument.
 *
 * @module
 */

import type { Entry, StoreError } from "../adapters/mod.ts";
import type { Random } from "../base/mod.ts";
import type { Result } from "neverthrow";
import type { ShardKeys } from "./claim_batch.ts";
import type { Ticket } from "./uncommitted_log.ts";
import {
  type ClaimChange,
  type Effect,
  type Now,
  Outbox,
  type ShardLimits,
  type ShardView,
} from "./claim_machine.ts";
import { ClaimOwner } from "./claim_owner.ts";
import type { ClaimEvent, ClaimRequest, VmRef } from "./claim_record.ts";
import { ClaimTakeover, type OwnedShard } from "./claim_takeover.ts";
import {
  ClaimWitness,
  type ReplicaAnswer,
  type ReplicaMessage,
} from "./claim_witness.ts";

/** Makes an owner of what a take-over brought. */
export type OwnerFactory = (
  ...args: ConstructorParameters<typeof ClaimOwner>
) => ClaimOwner;

/** What a {@link ClaimShard} is made of. */
export interface ShardOptions {
  readonly me: VmRef;
  readonly keys: ShardKeys;
  readonly limits: ShardLimits;
  readonly random: Random;
  /** Tests put faulty ones here. */
  readonly witness?: ClaimWitness;
  readonly makeOwner?: OwnerFactory;
}

/** See the module's comment. */
export class ClaimShard {
  readonly #options: ShardOptions;
  readonly #outbox = new Outbox();
  readonly #witness: ClaimWitness;
  readonly #takeover: ClaimTakeover;
  #owner: ClaimOwner | undefined;
  #isStopping = false;
  #view: ShardView = {
    region: "",
    live: [],
    witnesses: [],
    rank: 0,
    writesPerS: 20,
  };

  constructor(options: ShardOptions) {
    this.#options = options;
    this.#witness = options.witness ?? new ClaimWitness();
    const { me, keys, limits, random } = options;
    this.#takeover = new ClaimTakeover(
      me,
      keys,
      limits,
      random,
      this.#witness,
      this.#outbox,
    );
  }

  /** Whether this VM owns the shard and takes claims. */
  get isOwner(): boolean {
    return this.#owner !== undefined && !this.#owner.isStopping;
  }
  /** The owner as far as this VM knows. */
  get owner(): VmRef | undefined {
    return this.#owner
      ? this.#options.me
      : this.#takeover.storedHead?.head.owner;
  }
  /** Whether this VM has nothing left to hand over. */
  get isStopped(): boolean {
    return this.#isStopping && !this.#owner;
  }

  /** For dumps. */
  state(): Record<string, unknown> {
    const stored = this.#owner?.storedHead ?? this.#takeover.storedHead;
    return {
      role: this.#owner ? "owner" : this.#takeover.phase,
      owner: this.owner,
      epoch: stored?.head.epoch,
      commit: stored?.head.commit,
      witnesses: stored?.head.witnesses,
      doubtUntilMs: stored?.head.doubtUntilMs,
      heldForOwner: this.#witness.size,
      promisedUntilMonoMs: this.#witness.promisedUntilMonoMs,
      ...this.#owner?.state(),
    };
  }

  setView(view: ShardView): void {
    this.#view = view;
  }

  /** A claim. Replied to once it is settled. */
  claim(now: Now, ask: ClaimRequest, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.claim(now, ask, ticket);
    else this.#redirect(ticket);
    return this.#advance(now);
  }

  /** A step of a granted claim; replied to with "done" once it is kept. */
  change(now: Now, change: ClaimChange, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.change(now, change, ticket);
    else this.#redirect(ticket);
    return this.#advance(now);
  }

  /** How a key stands, without claiming it. */
  lookup(now: Now, key: string, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.lookup(now, key, ticket);
    else this.#redirect(ticket);
    return this.#advance(now);
  }

  /** The VM that this one took for the owner said that it is not. */
  recheck(): void {
    this.#takeover.recheck();
  }

  /** Time passes. Call it every 100 ms or so. */
  tick(now: Now): Effect[] {
    return this.#advance(now);
  }

  /** Hands the shard over once everything is in the store. */
  stop(now: Now): Effect[] {
    this.#isStopping = true;
    this.#owner?.stop();
    return this.#advance(now);
  }

  /** The answer to a `read`. */
  onRead(now: Now, result: Result<Entry | undefined, StoreError>): Effect[] {
    if (this.#owner) this.#owner.onRead(now, result);
    else this.#takeover.onRead(now, this.#view, result);
    return this.#advance(now);
  }

  /** The answer to a `write`. */
  onWritten(now: Now, result: Result<number, StoreError>): Effect[] {
    if (this.#owner) this.#owner.onWritten(now, result);
    else this.#takeover.onWritten(now, this.#view, result);
    return this.#advance(now);
  }

  /** The answer to a `load`: the segments' events, oldest segment first. */
  onLoaded(
    now: Now,
    result: Result<readonly (readonly ClaimEvent[])[], StoreError>,
  ): Effect[] {
    const owned = this.#takeover.onLoaded(now, result);
    if (owned) this.#owner = this.#makeOwner(owned);
    return this.#advance(now);
  }

  /** An owner's grants and its wish for a promise, to this VM as a witness. */
  onReplica(now: Now, message: ReplicaMessage): ReplicaAnswer {
    const { promiseMs } = this.#options.limits;
    return this.#witness.accept(message, now.monoMs, promiseMs);
  }

  /** A witness's answer to a `replicate`; `accepted` is false also when none came. */
  onReplicaAnswer(
    now: Now,
    from: VmRef,
    accepted: boolean,
    sent: { readonly uptoN: number; readonly sentMonoMs: number },
  ): Effect[] {
    this.#owner?.onReplicaAnswer(from, accepted, sent);
    return this.#advance(now);
  }

  #makeOwner(owned: OwnedShard): ClaimOwner {
    const { me, keys, limits, random, makeOwner } = this.#options;
    const make = makeOwner ?? ((...args) => new ClaimOwner(...args));
    return make(me, keys, limits, random, this.#outbox, this.#view, owned);
  }

  #redirect(ticket: Ticket): void {
    const reply = { type: "notOwner", owner: this.owner } as const;
    this.#outbox.push({ type: "reply", ticket, reply });
  }

  #advance(now: Now): Effect[] {
    if (this.#owner && this.#isStopping) this.#owner.stop();
    this.#owner?.advance(now, this.#view);
    if (this.#owner?.hasEnded) {
      this.#takeover.reset(this.#owner.storedHead, this.#owner.newestHead, now);
      this.#owner = undefined;
    }
    if (!this.#owner && !this.#isStopping) this.#takeover.tick(now, this.#view);
    return this.#outbox.drain();
  }
}
