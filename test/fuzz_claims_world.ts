/**
 * A small world for the claim machines: VMs with clocks that differ, a store and links with faults, and entry VMs that
 * dispatch what they are granted. It is driven by a schedule of numbers, so a failure is replayed by its schedule.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import type { Entry, StoreError, Write } from "../src/adapters/mod.ts";
import {
  type ClaimAsk,
  type ClaimChange,
  ClaimOwner,
  ClaimShard,
  ClaimWitness,
  defaultShardLimits,
  type Effect,
  type Now,
  parseSegment,
  sameVm,
  segmentKey,
  shardKeys,
  type ShardLimits,
  type ShardReply,
  type VmRef,
} from "../src/agreement/mod.ts";
import { Random } from "../src/base/mod.ts";

/** A fault put into the machines on purpose, which the checker must find. */
export interface Variant {
  readonly makeOwner?: (
    ...args: ConstructorParameters<typeof ClaimOwner>
  ) => ClaimOwner;
  readonly makeWitness?: () => ClaimWitness;
  /** The store writes without comparing. */
  readonly ignoresRev?: boolean;
}

/** One step of a schedule: what happens, and two numbers that say to whom. */
export type Step = readonly [op: number, a: number, b: number];

const limits: ShardLimits = {
  ...defaultShardLimits,
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
  backoff: { firstMs: 50, mostMs: 400 },
};
const keys = shardKeys("r", 0);
const TICK_MS = 100;
const NAMES = ["a", "b", "c"];

interface Attempt {
  readonly ask: ClaimAsk;
  readonly by: Vm;
  readonly askedMonoMs: number;
  state: "asked" | "granted" | "dispatched" | "over";
}

interface Packet {
  readonly from: number;
  readonly to: number;
  readonly run: () => void;
}

interface Vm {
  readonly slot: number;
  readonly ref: VmRef;
  readonly shard: ClaimShard;
  readonly speed: number;
  readonly skewMs: number;
  paused: boolean;
  over: boolean;
}

/** See the module's comment. */
export class ClaimsWorld {
  readonly violations: string[] = [];
  /** What happened, one line each, for a person who reads a failing schedule. */
  readonly trace: string[] = [];
  readonly #variant: Variant;
  #timeMs = 0;
  #vms: (Vm | undefined)[] = [undefined, undefined, undefined];
  #incarnations = [0, 0, 0];
  #packets: Packet[] = [];
  #held: Packet[] = [];
  #cut = new Set<string>();
  #holding = new Set<string>();
  #store = new Map<string, Entry>();
  #rev = 0;
  #storeDown = false;
  #storeCut = new Set<number>();
  #loseAnswers = 0;
  #delayWrites = 0;
  #lateWrites: (readonly Write[])[] = [];
  #attempts: Attempt[] = [];
  #tickets = new Map<number, (reply: ShardReply) => void>();
  #nextTicket = 0;
  #ran = new Map<string, string>();

  constructor(variant: Variant = {}) {
    this.#variant = variant;
    for (let slot = 0; slot < NAMES.length; slot++) this.#start(slot);
  }

  /** Runs one step. */
  step([op, a, b]: Step): void {
    const slot = a % NAMES.length;
    const other = b % NAMES.length;
    const vm = this.#vms[slot];
    switch (op) {
      case 0:
        return this.advance(TICK_MS);
      case 1:
        return this.advance(TICK_MS * (1 + (a % 16)));
      case 2:
        return this.advance(2000 + (a % 8) * 1000);
      case 3:
      case 4:
        return this.#ask(slot, b);
      case 5:
        return this.#cutOffOwner(a);
      case 6:
        return this.#deliver();
      case 7:
        if (vm) this.#crash(vm);
        else this.#start(slot);
        return;
      case 8:
        if (!vm) return;
        vm.paused = !vm.paused;
        return this.#note(`${vm.ref.id} paused=${vm.paused}`);
      case 9:
        this.#storeDown = !this.#storeDown;
        return this.#note(`store down=${this.#storeDown}`);
      case 10:
        toggle(this.#storeCut, slot);
        return this.#note(`store cut off=${[...this.#storeCut]}`);
      case 11:
        toggle(this.#cut, link(slot, other));
        return this.#note(`links cut=${[...this.#cut]}`);
      case 12:
        this.#loseAnswers = 1 + (a % 3);
        return this.#note(`store answers to be lost=${this.#loseAnswers}`);
      case 13:
        this.#delayWrites = 1;
        return this.#note("next write is delayed");
      case 14:
        return this.#landLateWrite();
      case 15:
        toggle(this.#holding, `${slot}>${other}`);
        return this.#releaseHeld();
      case 16:
        return this.#finish(a, b);
      case 17:
        return this.#lookup(a, b);
      case 18:
        return this.#askAgain(a, other);
      case 19:
        if (vm && !vm.paused) this.#do(vm, (now) => vm.shard.stop(now));
        return;
      case 20:
        return this.heal();
      case 21:
        return this.#freezeOwner(a, b);
    }
  }

  /** Lets time pass: everything that may move is delivered, all running VMs tick. */
  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.#timeMs += TICK_MS;
      this.#deliver();
      for (const vm of this.#running()) {
        vm.shard.setView(this.#viewOf(vm));
        this.#do(vm, (now) => vm.shard.tick(now));
      }
      this.#deliver();
    }
  }

  /** Ends all faults. */
  heal(): void {
    this.#storeDown = false;
    this.#storeCut.clear();
    this.#cut.clear();
    this.#holding.clear();
    this.#loseAnswers = 0;
    this.#delayWrites = 0;
    for (const vm of this.#vms) if (vm) vm.paused = false;
    this.#vms.forEach((vm, slot) => vm || this.#start(slot));
    this.#releaseHeld();
    this.#note("all healed");
  }

  /** Whether, with all faults ended, a new key is settled within a minute. */
  checkProgress(): void {
    this.heal();
    this.advance(10_000);
    // Starts those that were still leaving.
    this.heal();
    this.advance(30_000);
    let reply: ShardReply | undefined;
    for (const vm of this.#running()) {
      if (!vm.shard.isOwner) continue;
      const ask = this.#newAsk(vm, "last");
      this.#send(vm, (ticket, now) => vm.shard.ask(now, ask, ticket), (r) => {
        reply = r;
      });
    }
    this.advance(3000);
    const settled = reply?.type === "granted" || reply?.type === "unknown";
    if (!settled) this.violations.push(`stuck: ${JSON.stringify(reply)}`);
  }

  #start(slot: number): void {
    const incarnation = ++this.#incarnations[slot];
    const ref = { id: NAMES[slot], incarnation };
    const { makeOwner, makeWitness } = this.#variant;
    this.#vms[slot] = {
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
    this.#note(`${ref.id} starts, incarnation ${incarnation}`);
  }

  #crash(vm: Vm): void {
    vm.over = true;
    this.#vms[vm.slot] = undefined;
    this.#note(`${vm.ref.id} crashes`);
  }

  #running(): Vm[] {
    return this.#vms.filter((vm): vm is Vm => !!vm && !vm.paused);
  }

  #viewOf(vm: Vm) {
    const others = this.#running()
      .filter((v) => v !== vm && !this.#cut.has(link(v.slot, vm.slot)))
      .map((v) => v.ref);
    return {
      region: "r",
      live: others,
      witnesses: others.slice(0, 2),
      rank: vm.slot,
      writesPerS: 20,
    };
  }

  #nowOf(vm: Vm): Now {
    const monoMs = this.#timeMs * vm.speed + vm.slot * 7777;
    return { monoMs, nowMs: 1_000_000 + this.#timeMs + vm.skewMs };
  }

  #do(vm: Vm, run: (now: Now) => Effect[]): void {
    if (vm.over) return;
    for (const effect of run(this.#nowOf(vm))) this.#perform(vm, effect);
    if (vm.shard.isStopped) this.#crash(vm);
  }

  #perform(vm: Vm, effect: Effect): void {
    switch (effect.type) {
      case "read":
        return this.#callStore(
          vm,
          () => ok(this.#store.get(keys.head)),
          (r) => vm.shard.onRead(this.#nowOf(vm), r),
        );
      case "load":
        return this.#callStore(
          vm,
          () => this.#load(effect.from, effect.to),
          (r) => vm.shard.onLoaded(this.#nowOf(vm), r),
        );
      case "write":
        return this.#callWrite(vm, effect.writes);
      case "replicate":
        return this.#replicate(vm, effect);
      case "reply":
        this.#tickets.get(effect.ticket)?.(effect.reply);
        this.#tickets.delete(effect.ticket);
        return;
      case "log":
        return this.#note(`${vm.ref.id}: ${effect.event} ${effect.detail}`);
    }
  }

  #callStore<T>(
    vm: Vm,
    act: () => Result<T, StoreError>,
    then: (result: Result<T, StoreError>) => Effect[],
  ): void {
    const away = this.#storeDown || this.#storeCut.has(vm.slot);
    const result = away ? err(failed("unavailable")) : act();
    this.#packets.push({
      from: vm.slot,
      to: vm.slot,
      run: () => this.#do(vm, () => then(result)),
    });
  }

  #callWrite(vm: Vm, writes: readonly Write[]): void {
    const act = (): Result<number, StoreError> => {
      if (this.#delayWrites > 0) {
        this.#delayWrites--;
        this.#lateWrites.push(writes);
        return err(failed("lost"));
      }
      const result = this.#transact(writes);
      if (this.#loseAnswers === 0) return result;
      this.#loseAnswers--;
      return err(failed("lost"));
    };
    this.#callStore(vm, act, (r) => vm.shard.onWritten(this.#nowOf(vm), r));
  }

  #transact(writes: readonly Write[]): Result<number, StoreError> {
    for (const { key, ifRev } of writes) {
      const current = this.#store.get(key);
      if (ifRev === undefined || this.#variant.ignoresRev) continue;
      if ((current?.rev ?? 0) !== ifRev) {
        return err({ kind: "conflict", message: "", current });
      }
    }
    const rev = ++this.#rev;
    for (const write of writes) {
      const { key } = write;
      if (write.type === "delete") this.#store.delete(key);
      else this.#store.set(key, { key, value: write.value, rev });
    }
    return ok(rev);
  }

  #landLateWrite(): void {
    const writes = this.#lateWrites.shift();
    if (!writes) return;
    this.#note(`a late write lands: ${this.#transact(writes).isOk()}`);
  }

  #load(from: number, to: number) {
    const found = [];
    for (let segment = from; segment < to; segment++) {
      const entry = this.#store.get(segmentKey(keys, segment));
      const events = entry && parseSegment(entry.value).unwrapOr(undefined);
      if (!events) return err(failed("unavailable"));
      found.push(events);
    }
    return ok(found);
  }

  #replicate(vm: Vm, effect: Extract<Effect, { type: "replicate" }>): void {
    const slot = NAMES.indexOf(effect.to.id);
    const back = (accepted: boolean) =>
      this.#do(
        vm,
        (now) => vm.shard.onReplicaAnswer(now, effect.to, accepted, effect),
      );
    this.#post(vm.slot, slot, () => {
      const to = this.#vms[slot];
      const accepted = !!to && sameVm(to.ref, effect.to) &&
        to.shard.onReplica(this.#nowOf(to), effect.message).accepted;
      this.#post(slot, vm.slot, () => back(accepted));
    }, () => back(false));
  }

  #post(from: number, to: number, run: () => void, lost?: () => void): void {
    if (this.#cut.has(link(from, to))) return lost?.();
    const packet = { from, to, run };
    if (this.#holding.has(`${from}>${to}`)) this.#held.push(packet);
    else this.#packets.push(packet);
  }

  /** The owner loses the store long enough to go on from memory, and sometimes a witness with it. */
  #cutOffOwner(a: number): void {
    const [owner] = this.#owners();
    if (!owner) return;
    this.#storeCut.add(owner.slot);
    this.#note(`owner ${owner.ref.id} loses the store`);
    this.advance(limits.outageAfterMs + TICK_MS * (a % 16));
    const other = (owner.slot + 1 + (a >> 5)) % NAMES.length;
    if (a % 4 === 0) this.#cut.add(link(owner.slot, other));
  }

  /** The owner is frozen while others go on, and wakes. */
  #freezeOwner(a: number, b: number): void {
    const [owner] = this.#owners();
    if (!owner || owner.paused) return;
    owner.paused = true;
    this.#note(`${owner.ref.id} is frozen`);
    this.advance(3000 + TICK_MS * (a % 16));
    this.#ask((owner.slot + 1) % NAMES.length, b);
    this.advance(3 * TICK_MS);
    owner.paused = false;
    this.#note(`${owner.ref.id} wakes`);
  }

  #releaseHeld(): void {
    const free = this.#held.filter((p) =>
      !this.#holding.has(`${p.from}>${p.to}`)
    );
    this.#held = this.#held.filter((p) => !free.includes(p));
    this.#packets.push(...free);
  }

  /** Delivers in order; what is for a paused VM waits, what is for a VM that is gone is lost. */
  #deliver(): void {
    for (let round = 0; round < 4; round++) {
      const packets = this.#packets;
      this.#packets = [];
      for (const packet of packets) {
        if (this.#vms[packet.to]?.paused) this.#packets.push(packet);
        else packet.run();
      }
    }
  }

  #newAsk(by: Vm, key: string): ClaimAsk {
    const claimId = `${by.ref.id}.${by.ref.incarnation}.${this.#nextTicket++}`;
    return {
      key,
      body: "body",
      claimId,
      claimer: { ...by.ref, region: "r" },
      deadlineMs: this.#nowOf(by).nowMs + 6000,
    };
  }

  #ask(slot: number, b: number): void {
    const by = this.#vms[slot];
    if (!by || by.paused) return;
    const ask = this.#newAsk(by, `k${b % 4}`);
    const attempt: Attempt = {
      ask,
      by,
      askedMonoMs: this.#nowOf(by).monoMs,
      state: "asked",
    };
    this.#attempts.push(attempt);
    this.#sendAsk(attempt, this.#target(b));
  }

  /** Most of the time a VM that takes itself for the owner, of which there may be two; any VM otherwise. */
  #target(b: number): number {
    const owners = this.#owners();
    return owners.length > 0 && b % 5 !== 0
      ? owners[(b >> 2) % owners.length].slot
      : (b >> 3) % NAMES.length;
  }

  #owners(): Vm[] {
    return this.#vms.filter((vm): vm is Vm => vm?.shard.isOwner ?? false);
  }

  #askAgain(a: number, target: number): void {
    const asked = this.#attempts.filter((at) => !at.by.over);
    if (asked.length > 0) this.#sendAsk(asked[a % asked.length], target);
  }

  #sendAsk(attempt: Attempt, target: number): void {
    const { ask, by } = attempt;
    this.#post(by.slot, target, () => {
      const owner = this.#vms[target];
      if (!owner) return;
      this.#send(owner, (ticket, now) => owner.shard.ask(now, ask, ticket), (
        reply,
      ) => {
        const validForMs = reply.type === "granted"
          ? reply.dispatchBeforeMonoMs - this.#nowOf(owner).monoMs
          : 0;
        this.#post(
          target,
          by.slot,
          () => this.#onReply(attempt, reply, validForMs),
        );
      });
    });
  }

  #send(
    vm: Vm,
    run: (ticket: number, now: Now) => Effect[],
    then: (reply: ShardReply) => void,
  ): void {
    const ticket = this.#nextTicket++;
    this.#tickets.set(ticket, then);
    this.#do(vm, (now) => run(ticket, now));
  }

  /** The entry VM's part: it dispatches once, in time, or gives the claim up. */
  #onReply(attempt: Attempt, reply: ShardReply, validForMs: number): void {
    const { by, ask } = attempt;
    if (by.over || attempt.state !== "asked") return;
    if (reply.type === "answered") {
      const ran = this.#ran.get(ask.key);
      if (ran !== reply.answer.bodyBase64) {
        this.violations.push(`wrong answer for ${ask.key}: ran ${ran}`);
      }
    }
    if (reply.type !== "granted") {
      if (reply.type !== "notOwner") attempt.state = "over";
      if (reply.type === "unavailable") this.#change(attempt, "released", 0);
      return;
    }
    if (this.#nowOf(by).monoMs >= attempt.askedMonoMs + validForMs) {
      attempt.state = "over";
      return this.#change(attempt, "released", 0);
    }
    attempt.state = "dispatched";
    const earlier = this.#ran.get(ask.key);
    this.#note(`${ask.claimId} runs ${ask.key}`);
    if (earlier !== undefined) {
      this.violations.push(`${ask.key} ran as ${earlier} and ${ask.claimId}`);
    }
    this.#ran.set(ask.key, ask.claimId);
  }

  #finish(a: number, b: number): void {
    const open = this.#attempts.filter((at) =>
      at.state === "dispatched" && !at.by.over && !at.by.paused
    );
    if (open.length === 0) return;
    const attempt = open[a % open.length];
    attempt.state = "over";
    this.#change(attempt, b % 4 === 0 ? "abandoned" : "finished", b);
  }

  #change(attempt: Attempt, state: ClaimChange["state"], b: number): void {
    const { key, claimId } = attempt.ask;
    const answer = state === "finished"
      ? {
        httpStatus: 200,
        contentType: "",
        bodyBase64: claimId,
        truncated: false,
      }
      : undefined;
    const target = this.#target(b + 1);
    this.#post(attempt.by.slot, target, () => {
      const owner = this.#vms[target];
      const change = { key, claimId, state, answer };
      if (!owner) return;
      this.#send(
        owner,
        (ticket, now) => owner.shard.change(now, change, ticket),
        () => {},
      );
    });
  }

  #lookup(a: number, b: number): void {
    const vm = this.#vms[this.#target(a)];
    if (!vm || vm.paused) return;
    const key = `k${b % 4}`;
    const ranBefore = this.#ran.get(key);
    this.#send(vm, (ticket, now) => vm.shard.lookup(now, key, ticket), (r) => {
      if (r.type === "none" && ranBefore !== undefined) {
        this.violations.push(`${key} was denied, but ran as ${ranBefore}`);
      }
    });
  }

  #note(line: string): void {
    this.trace.push(`${this.#timeMs} ${line}`);
  }
}

function toggle<T>(set: Set<T>, value: T): void {
  if (!set.delete(value)) set.add(value);
}

function link(a: number, b: number): string {
  return a < b ? `${a}-${b}` : `${b}-${a}`;
}

function failed(kind: "unavailable" | "lost"): StoreError {
  return { kind, message: kind };
}
