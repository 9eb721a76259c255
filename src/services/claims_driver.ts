/**
 * Runs one {@link ClaimShard}: executes its effects and passes the results back to it.
 *
 * @module
 */

import type { Log } from "../kernel/mod.ts";
import { err, ok, type Result } from "neverthrow";
import type { KeyValue, StoreError } from "../adapters/mod.ts";
import {
  type ClaimChange,
  type ClaimEvent,
  type ClaimRequest,
  ClaimShard,
  type Effect,
  type Now,
  parseSegment,
  type ReplicaAnswer,
  type ReplicaMessage,
  segmentKey,
  type ShardKeys,
  shardKeys,
  type ShardLimits,
  type ShardReply,
  type ShardView,
  type VmRef,
} from "../agreement/mod.ts";
import type { Clock, Random } from "../base/mod.ts";

/** Maximum number of segments read in one store call. */
const MAX_SEGMENTS_PER_READ = 64;

/** A request to the owner of a shard. */
export type DriverRequest =
  | { readonly type: "ask"; readonly ask: ClaimRequest }
  | {
    readonly type: "change";
    readonly change: ClaimChange;
    readonly deadlineMs: number;
  }
  | {
    readonly type: "lookup";
    readonly key: string;
    readonly deadlineMs: number;
  };

/** Options of {@link ClaimsDriver}. */
export interface ClaimsDriverOptions {
  readonly me: VmRef;
  readonly region: string;
  readonly shard: number;
  readonly limits: ShardLimits;
  readonly store: KeyValue;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Sends grants to a witness. Resolves with whether the witness accepted them; never rejects. */
  readonly replicate: (to: VmRef, message: ReplicaMessage) => Promise<boolean>;
}

/** Connects a shard's state machine with the store, the clock and the witnesses. */
export class ClaimsDriver {
  readonly #options: ClaimsDriverOptions;
  readonly #keys: ShardKeys;
  readonly #shard: ClaimShard;
  readonly #pending = new Map<number, (reply: ShardReply) => void>();
  #nextTicket = 0;
  #closed = false;

  constructor(options: ClaimsDriverOptions) {
    this.#options = options;
    this.#keys = shardKeys(options.region, options.shard);
    this.#shard = new ClaimShard({ ...options, keys: this.#keys });
  }

  get isOwner(): boolean {
    return this.#shard.isOwner;
  }
  get owner(): VmRef | undefined {
    return this.#shard.owner;
  }
  get isStopped(): boolean {
    return this.#shard.isStopped;
  }
  state(): Record<string, unknown> {
    return this.#shard.state();
  }

  setView(view: ShardView): void {
    this.#shard.setView(view);
  }
  /** See {@link ClaimShard.recheck}. */
  recheck(): void {
    this.#shard.recheck();
  }
  tick(): void {
    this.#perform(this.#shard.tick(this.#now()));
  }
  /** Starts to hand the shard over; {@link ClaimsDriver.isStopped} becomes true when that is done. */
  stop(): void {
    this.#perform(this.#shard.stop(this.#now()));
  }

  /** Resolves once the request is settled: the claim is granted or refused, or the change is recorded. */
  send(request: DriverRequest): Promise<ShardReply> {
    const ticket = this.#nextTicket++;
    return new Promise((resolve) => {
      this.#pending.set(ticket, resolve);
      this.#perform(this.#startRequest(request, ticket));
    });
  }

  /** Accepts or refuses an owner's grants, as a witness. */
  acceptReplica(message: ReplicaMessage): ReplicaAnswer {
    return this.#shard.onReplica(this.#now(), message);
  }

  /** Answers all pending requests with `notOwner`, and ignores results that arrive later. */
  close(): void {
    this.#closed = true;
    for (const resolve of this.#pending.values()) resolve({ type: "notOwner" });
    this.#pending.clear();
  }

  #now(): Now {
    const { clock } = this.#options;
    return { nowMs: clock.nowMs(), monoMs: clock.monoMs() };
  }

  #startRequest(request: DriverRequest, ticket: number): Effect[] {
    const now = this.#now();
    switch (request.type) {
      case "ask":
        return this.#shard.claim(now, request.ask, ticket);
      case "change":
        return this.#shard.change(now, request.change, ticket);
      case "lookup":
        return this.#shard.lookup(now, request.key, ticket);
    }
  }

  #perform(effects: readonly Effect[]): void {
    for (const effect of effects) void this.#performOne(effect);
  }

  async #performOne(effect: Effect): Promise<void> {
    const { store } = this.#options;
    switch (effect.type) {
      case "read": {
        const found = await catchErrors(store.get(this.#keys.head, "claims"));
        return this.#continueWith((now) => this.#shard.onRead(now, found));
      }
      case "load": {
        const loaded = await this.#loadSegments(effect.from, effect.to);
        return this.#continueWith((now) => this.#shard.onLoaded(now, loaded));
      }
      case "write": {
        const written = await catchErrors(
          store.transact(effect.writes, "claims"),
        );
        return this.#continueWith((now) => this.#shard.onWritten(now, written));
      }
      case "replicate": {
        const accepted = await this.#options.replicate(
          effect.to,
          effect.message,
        );
        return this.#continueWith((now) =>
          this.#shard.onReplicaAnswer(now, effect.to, accepted, effect)
        );
      }
      case "reply":
        this.#pending.get(effect.ticket)?.(effect.reply);
        this.#pending.delete(effect.ticket);
        return;
      case "log": {
        const { log, region, shard } = this.#options;
        const fields = { region, shard, detail: effect.detail };
        log.log(effect.level, effect.event, fields);
        return;
      }
    }
  }

  #continueWith(step: (now: Now) => Effect[]): void {
    if (!this.#closed) this.#perform(step(this.#now()));
  }

  /** Reads segments `from` up to, but not including, `to`. */
  async #loadSegments(
    from: number,
    to: number,
  ): Promise<Result<ClaimEvent[][], StoreError>> {
    const segments: ClaimEvent[][] = [];
    let next = from;
    while (next < to) {
      const found = await catchErrors(this.#options.store.list(
        this.#keys.segments,
        {
          fromKey: segmentKey(this.#keys, next),
          limit: Math.min(MAX_SEGMENTS_PER_READ, to - next),
        },
        "claims",
      ));
      if (found.isErr()) return err(found.error);
      for (const entry of found.value.entries) {
        const parsed = parseSegment(entry.value);
        if (parsed.isErr()) return err(segmentError(entry.key, parsed.error));
        segments.push(parsed.value);
      }
      // Claims in a missing segment would be lost, and calls with their keys would run again.
      const expected = segmentKey(this.#keys, from + segments.length - 1);
      const last = found.value.entries.at(-1)?.key;
      if (last !== expected) return err(segmentError(expected, "missing"));
      next = from + segments.length;
    }
    return ok(segments);
  }
}

function segmentError(key: string, message: string): StoreError {
  return { kind: "unavailable", message: `segment ${key}: ${message}` };
}

/** Turns an exception into `lost`: a call that throws may have taken effect, as one whose answer was lost may have. */
async function catchErrors<T>(
  call: Promise<Result<T, StoreError>>,
): Promise<Result<T, StoreError>> {
  try {
    return await call;
  } catch (error) {
    return err({ kind: "lost", message: String(error) });
  }
}
