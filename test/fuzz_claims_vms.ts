/**
 * The VMs of a claims world: machines with clocks that differ, a store and links with faults.
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

/** A fault put into the machines on purpose, which the checker must find. */
export interface Variant {
  readonly makeOwner?: (
    ...args: ConstructorParameters<typeof ClaimOwner>
  ) => ClaimOwner;
  readonly makeWitness?: () => ClaimWitness;
  /** The store writes without comparing. */
  readonly ignoresRev?: boolean;
}

/** Limits of the shard, shorter than by default. */
export const limits: ShardLimits = {
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
const keys = shardKeys("r", 0);
/** Time from one tick of the machines to the next. */
export const TICK_MS = 100;
/** Ids of the VMs. */
export const NAMES = ["a", "b", "c"];

/** A VM that runs. */
export interface Vm {
  readonly slot: number;
  readonly ref: VmRef;
  readonly shard: ClaimShard;
  readonly speed: number;
  readonly skewMs: number;
  paused: boolean;
  over: boolean;
}

/** See the module. */
export abstract class FuzzVms {
  /** What happened, one line each, for a person who reads a failing schedule. */
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
  readonly #tickets = new Map<number, (reply: ShardReply) => void>();

  constructor(variant: Variant) {
    this.#variant = variant;
    this.store = new FuzzStore(keys, variant.ignoresRev ?? false);
    for (let slot = 0; slot < NAMES.length; slot++) this.start(slot);
  }

  protected start(slot: number): void {
    const incarnation = ++this.#incarnations[slot];
    const ref = { id: NAMES[slot], incarnation };
    const { makeOwner, makeWitness } = this.#variant;
    this.vms[slot] = {
      slot,
      ref,
      speed: [1, 1.02, 0.98][slot],
      skewMs: [0, 250, -250][slot],
      paused: false,
      over: false,
      shard: new ClaimShard({
        me: ref,
        keys,
        limits,
        random: new Random(slot * 1000 + incarnation),
        makeOwner,
        witness: makeWitness?.(),
      }),
    };
    this.note(`${ref.id} starts, incarnation ${incarnation}`);
  }

  protected crash(vm: Vm): void {
    vm.over = true;
    this.vms[vm.slot] = undefined;
    this.note(`${vm.ref.id} crashes`);
  }

  protected running(): Vm[] {
    return this.vms.filter((vm): vm is Vm => !!vm && !vm.paused);
  }

  protected viewOf(vm: Vm) {
    const others = this.running()
      .filter((v) => v !== vm && !this.links.isCut(v.slot, vm.slot))
      .map((v) => v.ref);
    return {
      region: "r",
      live: others,
      witnesses: others.slice(0, 2),
      rank: vm.slot,
      writesPerS: 20,
    };
  }

  protected nowOf(vm: Vm): Now {
    const monoMs = this.timeMs * vm.speed + vm.slot * 7777;
    return { monoMs, nowMs: 1_000_000 + this.timeMs + vm.skewMs };
  }

  protected do(vm: Vm, run: (now: Now) => Effect[]): void {
    if (vm.over) return;
    for (const effect of run(this.nowOf(vm))) this.#perform(vm, effect);
    if (vm.shard.isStopped) this.crash(vm);
  }

  #perform(vm: Vm, effect: Effect): void {
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
        this.#tickets.get(effect.ticket)?.(effect.reply);
        this.#tickets.delete(effect.ticket);
        return;
      case "log":
        return this.note(`${vm.ref.id}: ${effect.event} ${effect.detail}`);
    }
  }

  #callStore<T>(
    vm: Vm,
    act: () => Result<T, StoreError>,
    then: (result: Result<T, StoreError>) => Effect[],
  ): void {
    const result = this.store.call(vm.slot, act);
    this.links.answer(vm.slot, () => this.do(vm, () => then(result)));
  }

  protected landLateWrite(): void {
    const landed = this.store.landLateWrite();
    if (landed !== undefined) this.note(`a late write lands: ${landed}`);
  }

  #replicate(vm: Vm, effect: Extract<Effect, { type: "replicate" }>): void {
    const slot = NAMES.indexOf(effect.to.id);
    const back = (accepted: boolean) =>
      this.do(
        vm,
        (now) => vm.shard.onReplicaAnswer(now, effect.to, accepted, effect),
      );
    this.links.post(vm.slot, slot, () => {
      const to = this.vms[slot];
      const accepted = !!to && sameVm(to.ref, effect.to) &&
        to.shard.onReplica(this.nowOf(to), effect.message).accepted;
      this.links.post(slot, vm.slot, () => back(accepted));
    }, () => back(false));
  }

  /** What is for a paused VM waits, what is for a VM that is gone is lost. */
  protected deliver(): void {
    this.links.deliver((slot) => this.vms[slot]?.paused ?? false);
  }

  protected owners(): Vm[] {
    return this.vms.filter((vm): vm is Vm => vm?.shard.isOwner ?? false);
  }

  protected send(
    vm: Vm,
    run: (ticket: number, now: Now) => Effect[],
    then: (reply: ShardReply) => void,
  ): void {
    const ticket = this.nextTicket++;
    this.#tickets.set(ticket, then);
    this.do(vm, (now) => run(ticket, now));
  }

  protected note(line: string): void {
    this.trace.push(`${this.timeMs} ${line}`);
  }
}
