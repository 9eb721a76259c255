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
import type { Ticket } from "./claim_log.ts";
import {
  type ClaimChange,
  type Effect,
  type Now,
  Outbox,
  type ShardLimits,
  type ShardView,
} from "./claim_machine.ts";
import { ClaimOwner } from "./claim_owner.ts";
import type { ClaimAsk, ClaimEvent, VmRef } from "./claim_record.ts";
import { ClaimTakeover, type Owned } from "./claim_takeover.ts";
import {
  ClaimWitness,
  type ReplicaAnswer,
  type ReplicaMessage,
} from "./claim_witness.ts";

/** Makes an owner of what a take-over brought. */
export type MakeOwner = (
  ...args: ConstructorParameters<typeof ClaimOwner>
) => ClaimOwner;

/** What a {@link ClaimShard} is made of. */
export interface ShardParts {
  readonly me: VmRef;
  readonly keys: ShardKeys;
  readonly limits: ShardLimits;
  readonly random: Random;
  /** Tests put faulty ones here. */
  readonly witness?: ClaimWitness;
  readonly makeOwner?: MakeOwner;
}

/** See the module's comment. */
export class ClaimShard {
  readonly #parts: ShardParts;
  readonly #out = new Outbox();
  readonly #witness: ClaimWitness;
  readonly #takeover: ClaimTakeover;
  #owner: ClaimOwner | undefined;
  #stopped = false;
  #view: ShardView = {
    region: "",
    live: [],
    witnesses: [],
    rank: 0,
    writesPerS: 20,
  };

  constructor(parts: ShardParts) {
    this.#parts = parts;
    this.#witness = parts.witness ?? new ClaimWitness();
    const { me, keys, limits, random } = parts;
    this.#takeover = new ClaimTakeover(
      me,
      keys,
      limits,
      random,
      this.#witness,
      this.#out,
    );
  }

  /** Whether this VM owns the shard and takes claims. */
  get isOwner(): boolean {
    return this.#owner !== undefined && !this.#owner.stopping;
  }
  /** The owner as far as this VM knows. */
  get owner(): VmRef | undefined {
    return this.#owner ? this.#parts.me : this.#takeover.at?.head.owner;
  }
  /** Whether this VM has nothing left to hand over. */
  get isStopped(): boolean {
    return this.#stopped && !this.#owner;
  }

  /** For dumps. */
  state(): Record<string, unknown> {
    const at = this.#owner?.at ?? this.#takeover.at;
    return {
      role: this.#owner ? "owner" : this.#takeover.phase,
      owner: this.owner,
      epoch: at?.head.epoch,
      commit: at?.head.commit,
      witnesses: at?.head.witnesses,
      doubtUntilMs: at?.head.doubtUntilMs,
      heldForOwner: this.#witness.size,
      promisedUntilMonoMs: this.#witness.promisedUntilMonoMs,
      ...this.#owner?.state(),
    };
  }

  setView(view: ShardView): void {
    this.#view = view;
  }

  /** A claim. Replied to once it is settled. */
  ask(now: Now, ask: ClaimAsk, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.ask(now, ask, ticket);
    else this.#redirect(ticket);
    return this.#pump(now);
  }

  /** A step of a granted claim; replied to with "done" once it is kept. */
  change(now: Now, change: ClaimChange, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.change(now, change, ticket);
    else this.#redirect(ticket);
    return this.#pump(now);
  }

  /** How a key stands, without claiming it. */
  lookup(now: Now, key: string, ticket: Ticket): Effect[] {
    if (this.#owner) this.#owner.lookup(now, key, ticket);
    else this.#redirect(ticket);
    return this.#pump(now);
  }

  /** The VM that this one took for the owner said that it is not. */
  recheck(): void {
    this.#takeover.recheck();
  }

  /** Time passes. Call it every 100 ms or so. */
  tick(now: Now): Effect[] {
    return this.#pump(now);
  }

  /** Hands the shard over once everything is in the store. */
  stop(now: Now): Effect[] {
    this.#stopped = true;
    this.#owner?.stop();
    return this.#pump(now);
  }

  /** The answer to a `read`. */
  onRead(now: Now, result: Result<Entry | undefined, StoreError>): Effect[] {
    if (this.#owner) this.#owner.onRead(now, result);
    else this.#takeover.onRead(now, this.#view, result);
    return this.#pump(now);
  }

  /** The answer to a `write`. */
  onWritten(now: Now, result: Result<number, StoreError>): Effect[] {
    if (this.#owner) this.#owner.onWritten(now, result);
    else this.#takeover.onWritten(now, this.#view, result);
    return this.#pump(now);
  }

  /** The answer to a `load`: the segments' events, oldest segment first. */
  onLoaded(
    now: Now,
    result: Result<readonly (readonly ClaimEvent[])[], StoreError>,
  ): Effect[] {
    const owned = this.#takeover.onLoaded(now, result);
    if (owned) this.#owner = this.#makeOwner(owned);
    return this.#pump(now);
  }

  /** An owner's grants and its wish for a promise, to this VM as a witness. */
  onReplica(now: Now, message: ReplicaMessage): ReplicaAnswer {
    const { promiseMs } = this.#parts.limits;
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
    return this.#pump(now);
  }

  #makeOwner(owned: Owned): ClaimOwner {
    const { me, keys, limits, random, makeOwner } = this.#parts;
    const make = makeOwner ?? ((...args) => new ClaimOwner(...args));
    return make(me, keys, limits, random, this.#out, this.#view, owned);
  }

  #redirect(ticket: Ticket): void {
    const reply = { type: "notOwner", owner: this.owner } as const;
    this.#out.push({ type: "reply", ticket, reply });
  }

  #pump(now: Now): Effect[] {
    if (this.#owner && this.#stopped) this.#owner.stop();
    this.#owner?.pump(now, this.#view);
    if (this.#owner?.ended) {
      this.#takeover.reset(this.#owner.at, this.#owner.newest, now);
      this.#owner = undefined;
    }
    if (!this.#owner && !this.#stopped) this.#takeover.tick(now, this.#view);
    return this.#out.drain();
  }
}
