/**
 * One VM's role in one claim shard (owner, witness or observer) as a pure state machine. Time, messages and the store's
 * answers are passed in as arguments; the actions to perform are returned as {@link Effect}s.
 *
 * A claim is granted only once it is in the store under compare-and-swap or, while the store cannot be reached, once
 * every witness holds it and has promised not to take over the shard. docs/design/claims.md gives the argument for
 * this.
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

/** Creates an owner from the result of a takeover. */
export type OwnerFactory = (
  ...args: ConstructorParameters<typeof ClaimOwner>
) => ClaimOwner;

/** Options of a {@link ClaimShard}. */
export interface ShardOptions {
  readonly me: VmRef;
  readonly keys: ShardKeys;
  readonly limits: ShardLimits;
  readonly random: Random;
  /** Tests replace these two with faulty ones. */
  readonly witness?: ClaimWitness;
  readonly makeOwner?: OwnerFactory;
}

/** The state machine of one VM for one claim shard. */
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

  /** Whether this VM owns the shard and accepts claims. */
  get isOwner(): boolean {
    return this.#owner !== undefined && !this.#owner.isStopping;
  }
  /** The last known owner. */
  get owner(): VmRef | undefined {
    return this.#owner
      ? this.#options.me
      : this.#takeover.storedHead?.head.owner;
  }
  /** Whether this VM was stopped and has no shard left to release. */
  get isStopped(): boolean {
    return this.#isStopping && !this.#owner;
  }

  /** The state for dumps. */
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

  /** Handles a claim request. The reply follows once the claim is settled. */
  claim(now: Now, request: ClaimRequest, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.claim(now, request, ticket);
    else this.#redirect(ticket);
    return this.#advance(now);
  }

  /** Handles a state change of a granted claim. The reply "done" follows once it is durable. */
  change(now: Now, change: ClaimChange, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.change(now, change, ticket);
    else this.#redirect(ticket);
    return this.#advance(now);
  }

  /** Looks up the status of a key without claiming it. */
  lookup(now: Now, key: string, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.lookup(now, key, ticket);
    else this.#redirect(ticket);
    return this.#advance(now);
  }

  /** Rereads the head soon, because the VM last known as the owner answered that it is not. */
  recheck(): void {
    this.#takeover.recheck();
  }

  /** Performs what is due by now. Call it about every 100 ms. */
  tick(now: Now): Effect[] {
    return this.#advance(now);
  }

  /** Releases the shard once all events are in the store. */
  stop(now: Now): Effect[] {
    this.#isStopping = true;
    this.#owner?.stop();
    return this.#advance(now);
  }

  /** Handles the answer to a `read`. */
  onRead(now: Now, result: Result<Entry | undefined, StoreError>): Effect[] {
    if (this.#owner) this.#owner.onRead(now, result);
    else this.#takeover.onRead(now, this.#view, result);
    return this.#advance(now);
  }

  /** Handles the answer to a `write`. */
  onWritten(now: Now, result: Result<number, StoreError>): Effect[] {
    if (this.#owner) this.#owner.onWritten(now, result);
    else this.#takeover.onWritten(now, this.#view, result);
    return this.#advance(now);
  }

  /** Handles the answer to a `load`: the segments' events, oldest segment first. */
  onLoaded(
    now: Now,
    result: Result<readonly (readonly ClaimEvent[])[], StoreError>,
  ): Effect[] {
    const owned = this.#takeover.onLoaded(now, result);
    if (owned) this.#owner = this.#makeOwner(owned);
    return this.#advance(now);
  }

  /** Handles, as a witness, an owner's grants and its request for a promise. */
  onReplica(now: Now, message: ReplicaMessage): ReplicaAnswer {
    const { promiseMs } = this.#options.limits;
    return this.#witness.accept(message, now.monoMs, promiseMs);
  }

  /** Handles a witness's answer to a `replicate`. `accepted` is also false if no answer came. */
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
