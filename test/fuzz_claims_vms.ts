/**
 * The VMs of a claims simulation: state machines with clocks that differ, and a store and links with faults.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { StoreError } from "../src/adapters/mod.ts";
import {
  ClaimOwner,
  ClaimShard,
  ClaimWitness,
  DEFAULT_SHARD_LIMITS,
  type Effect,
  type Now,
  sameVm,
  shardKeys,
  type ShardLimits,
  type ShardReply,
  type VmRef,
} from "../src/agreement/mod.ts";
import { Random } from "../src/base/mod.ts";
import { FuzzLinks } from "./fuzz_claims_links.ts";
import { FuzzStore } from "./fuzz_claims_store.ts";

/** A deliberate fault of the state machines or the store, which the checker must find. */
export interface Variant {
  readonly makeOwner?: (
    ...args: ConstructorParameters<typeof ClaimOwner>
  ) => ClaimOwner;
  readonly makeWitness?: () => ClaimWitness;
  /** Whether the store writes without comparing revisions. */
  readonly ignoresRev?: boolean;
}

/** Limits of the shard, shorter than the defaults. */
export const LIMITS: ShardLimits = {
  ...DEFAULT_SHARD_LIMITS,
  touchMs: 500,
  slowMs: 300,
  outageAfterMs: 2000,
  outageLimitMs: 20_000,
  clockSkewMs: 600,
  promiseMs: 3000,
  promiseMarginMs: 300,
  dispatchMs: 5000,
  rankDelayMs: 100,
  segmentBytes: 900,
  backoff: { firstMs: 50, maxMs: 400 },
};
const KEYS = shardKeys("r", 0);
/** Interval between two ticks of the state machines. */
export const TICK_MS = 100;
/** Ids of the VMs, by index. */
export const VM_IDS = ["a", "b", "c"];

/** A VM that has been started. */
export interface Vm {
  readonly index: number;
  readonly ref: VmRef;
  readonly shard: ClaimShard;
  readonly clockRate: number;
  readonly skewMs: number;
  isPaused: boolean;
  hasEnded: boolean;
}

/** Runs the state machines of three VMs: performs their effects on a store and links with faults. */
export abstract class FuzzVms {
  /** The events of the run, one line each, to read a failing schedule. */
  readonly trace: string[] = [];
  protected timeMs = 0;
  protected readonly vms: (Vm | undefined)[] = [
    undefined,
    undefined,
    undefined,
  ];
  protected readonly links = new FuzzLinks();
  protected readonly store: FuzzStore;
  protected nextTicket = 0;
  readonly #variant: Variant;
  readonly #incarnations = [0, 0, 0];
  readonly #replyHandlers = new Map<number, (reply: ShardReply) => void>();

  constructor(variant: Variant) {
    this.#variant = variant;
    this.store = new FuzzStore(KEYS, variant.ignoresRev ?? false);
    for (let index = 0; index < VM_IDS.length; index++) this.start(index);
  }

  protected start(index: number): void {
    const incarnation = ++this.#incarnations[index];
    const ref = { id: VM_IDS[index], incarnation };
    const { makeOwner, makeWitness } = this.#variant;
    this.vms[index] = {
      index,
      ref,
      clockRate: [1, 1.02, 0.98][index],
      skewMs: [0, 250, -250][index],
      isPaused: false,
      hasEnded: false,
      shard: new ClaimShard({
        me: ref,
        keys: KEYS,
        limits: LIMITS,
        random: new Random(index * 1000 + incarnation),
        makeOwner,
        witness: makeWitness?.(),
      }),
    };
    this.addTrace(`${ref.id} starts, incarnation ${incarnation}`);
  }

  protected crash(vm: Vm): void {
    vm.hasEnded = true;
    this.vms[vm.index] = undefined;
    this.addTrace(`${vm.ref.id} crashes`);
  }

  protected runningVms(): Vm[] {
    return this.vms.filter((vm): vm is Vm => !!vm && !vm.isPaused);
  }

  protected viewOf(vm: Vm) {
    const others = this.runningVms()
      .filter((v) => v !== vm && !this.links.isCut(v.index, vm.index))
      .map((v) => v.ref);
    return {
      region: "r",
      live: others,
      witnesses: others.slice(0, 2),
      rank: vm.index,
      writesPerS: 20,
    };
  }

  protected nowOf(vm: Vm): Now {
    const monoMs = this.timeMs * vm.clockRate + vm.index * 7777;
    return { monoMs, nowMs: 1_000_000 + this.timeMs + vm.skewMs };
  }

  protected runShard(vm: Vm, action: (now: Now) => Effect[]): void {
    if (vm.hasEnded) return;
    for (const effect of action(this.nowOf(vm))) {
      this.#performEffect(vm, effect);
    }
    if (vm.shard.isStopped) this.crash(vm);
  }

  #performEffect(vm: Vm, effect: Effect): void {
    switch (effect.type) {
      case "read":
        return this.#callStore(
          vm,
          () => this.store.readHead(),
          (r) => vm.shard.onRead(this.nowOf(vm), r),
        );
      case "load":
        return this.#callStore(
          vm,
          () => this.store.load(effect.from, effect.to),
          (r) => vm.shard.onLoaded(this.nowOf(vm), r),
        );
      case "write":
        return this.#callStore(
          vm,
          () => this.store.write(effect.writes),
          (r) => vm.shard.onWritten(this.nowOf(vm), r),
        );
      case "replicate":
        return this.#replicate(vm, effect);
      case "reply":
        this.#replyHandlers.get(effect.ticket)?.(effect.reply);
        this.#replyHandlers.delete(effect.ticket);
        return;
      case "log":
        return this.addTrace(`${vm.ref.id}: ${effect.event} ${effect.detail}`);
    }
  }

  #callStore<T>(
    vm: Vm,
    operation: () => Result<T, StoreError>,
    onResult: (result: Result<T, StoreError>) => Effect[],
  ): void {
    const result = this.store.call(vm.index, operation);
    this.links.sendAnswer(
      vm.index,
      () => this.runShard(vm, () => onResult(result)),
    );
  }

  protected applyDelayedWrite(): void {
    const tookEffect = this.store.applyDelayedWrite();
    if (tookEffect !== undefined) {
      this.addTrace(`a delayed write is applied: ${tookEffect}`);
    }
  }

  #replicate(vm: Vm, effect: Extract<Effect, { type: "replicate" }>): void {
    const index = VM_IDS.indexOf(effect.to.id);
    const onAnswer = (accepted: boolean) =>
      this.runShard(
        vm,
        (now) => vm.shard.onReplicaAnswer(now, effect.to, accepted, effect),
      );
    this.links.send(vm.index, index, () => {
      const target = this.vms[index];
      const accepted = !!target && sameVm(target.ref, effect.to) &&
        target.shard.onReplica(this.nowOf(target), effect.message).accepted;
      this.links.send(index, vm.index, () => onAnswer(accepted));
    }, () => onAnswer(false));
  }

  /** Delivers packets. Those for a paused VM wait, and those for a VM that has ended are lost. */
  protected deliver(): void {
    this.links.deliver((index) => this.vms[index]?.isPaused ?? false);
  }

  protected owners(): Vm[] {
    return this.vms.filter((vm): vm is Vm => vm?.shard.isOwner ?? false);
  }

  protected sendRequest(
    vm: Vm,
    action: (ticket: number, now: Now) => Effect[],
    onReply: (reply: ShardReply) => void,
  ): void {
    const ticket = this.nextTicket++;
    this.#replyHandlers.set(ticket, onReply);
    this.runShard(vm, (now) => action(ticket, now));
  }

  protected addTrace(line: string): void {
    this.trace.push(`${this.timeMs} ${line}`);
  }
}
