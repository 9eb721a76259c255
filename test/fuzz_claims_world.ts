/**
 * A small world for the claim machines: VMs with clocks that differ, a store and links with faults, and entry VMs that
 * dispatch what they are granted. It is driven by a schedule of numbers, so a failure is replayed by its schedule.
 *
 * @module
 */

import type {
  ClaimChange,
  ClaimRequest,
  ShardReply,
} from "../src/agreement/mod.ts";
import { toggle } from "./fuzz_claims_links.ts";
import {
  FuzzVms,
  limits,
  NAMES,
  TICK_MS,
  type Variant,
  type Vm,
} from "./fuzz_claims_vms.ts";

/** One step of a schedule: what happens, and two numbers that say to whom. */
export type Step = readonly [op: number, a: number, b: number];

interface Attempt {
  readonly ask: ClaimRequest;
  readonly by: Vm;
  readonly askedMonoMs: number;
  state: "asked" | "granted" | "dispatched" | "over";
}

/** See the module's comment. */
export class ClaimsWorld extends FuzzVms {
  readonly violations: string[] = [];
  #attempts: Attempt[] = [];
  #ran = new Map<string, string>();

  constructor(variant: Variant = {}) {
    super(variant);
  }

  /** Runs one step. */
  step([op, a, b]: Step): void {
    const slot = a % NAMES.length;
    const other = b % NAMES.length;
    const vm = this.vms[slot];
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
        return this.deliver();
      case 7:
        if (vm) this.crash(vm);
        else this.start(slot);
        return;
      case 8:
        if (!vm) return;
        vm.paused = !vm.paused;
        return this.note(`${vm.ref.id} paused=${vm.paused}`);
      case 9:
        this.store.isDown = !this.store.isDown;
        return this.note(`store down=${this.store.isDown}`);
      case 10:
        toggle(this.store.cutOff, slot);
        return this.note(`store cut off=${[...this.store.cutOff]}`);
      case 11:
        this.links.toggleCut(slot, other);
        return this.note(`links cut=${this.links.cutLinks}`);
      case 12:
        this.store.loseAnswers = 1 + (a % 3);
        return this.note(
          `store answers to be lost=${this.store.loseAnswers}`,
        );
      case 13:
        this.store.delayWrites = 1;
        return this.note("next write is delayed");
      case 14:
        return this.landLateWrite();
      case 15:
        this.links.toggleHolding(slot, other);
        return this.links.release();
      case 16:
        return this.#finish(a, b);
      case 17:
        return this.#lookup(a, b);
      case 18:
        return this.#askAgain(a, other);
      case 19:
        if (vm && !vm.paused) this.do(vm, (now) => vm.shard.stop(now));
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
      this.timeMs += TICK_MS;
      this.deliver();
      for (const vm of this.running()) {
        vm.shard.setView(this.viewOf(vm));
        this.do(vm, (now) => vm.shard.tick(now));
      }
      this.deliver();
    }
  }

  /** Ends all faults. */
  heal(): void {
    this.store.heal();
    this.links.heal();
    for (const vm of this.vms) if (vm) vm.paused = false;
    this.vms.forEach((vm, slot) => vm || this.start(slot));
    this.links.release();
    this.note("all healed");
  }

  /** Whether, with all faults ended, a new key is settled within a minute. */
  checkProgress(): void {
    this.heal();
    this.advance(10_000);
    // Starts those that were still leaving.
    this.heal();
    this.advance(30_000);
    let reply: ShardReply | undefined;
    for (const vm of this.running()) {
      if (!vm.shard.isOwner) continue;
      const ask = this.#newAsk(vm, "last");
      this.send(vm, (ticket, now) => vm.shard.claim(now, ask, ticket), (r) => {
        reply = r;
      });
    }
    this.advance(3000);
    const settled = reply?.type === "granted" || reply?.type === "unknown";
    if (!settled) this.violations.push(`stuck: ${JSON.stringify(reply)}`);
  }

  /** The owner loses the store long enough to go on from memory, and sometimes a witness with it. */
  #cutOffOwner(a: number): void {
    const [owner] = this.owners();
    if (!owner) return;
    this.store.cutOff.add(owner.slot);
    this.note(`owner ${owner.ref.id} loses the store`);
    this.advance(limits.outageAfterMs + TICK_MS * (a % 16));
    const other = (owner.slot + 1 + (a >> 5)) % NAMES.length;
    if (a % 4 === 0) this.links.cut(owner.slot, other);
  }

  /** The owner is frozen while others go on, and wakes. */
  #freezeOwner(a: number, b: number): void {
    const [owner] = this.owners();
    if (!owner || owner.paused) return;
    owner.paused = true;
    this.note(`${owner.ref.id} is frozen`);
    this.advance(3000 + TICK_MS * (a % 16));
    this.#ask((owner.slot + 1) % NAMES.length, b);
    this.advance(3 * TICK_MS);
    owner.paused = false;
    this.note(`${owner.ref.id} wakes`);
  }

  #newAsk(by: Vm, key: string): ClaimRequest {
    const claimId = `${by.ref.id}.${by.ref.incarnation}.${this.nextTicket++}`;
    return {
      key,
      body: "body",
      claimId,
      claimer: { ...by.ref, region: "r" },
      deadlineMs: this.nowOf(by).nowMs + 6000,
    };
  }

  #ask(slot: number, b: number): void {
    const by = this.vms[slot];
    if (!by || by.paused) return;
    const ask = this.#newAsk(by, `k${b % 4}`);
    const attempt: Attempt = {
      ask,
      by,
      askedMonoMs: this.nowOf(by).monoMs,
      state: "asked",
    };
    this.#attempts.push(attempt);
    this.#sendAsk(attempt, this.#target(b));
  }

  /** Most of the time a VM that takes itself for the owner, of which there may be two; any VM otherwise. */
  #target(b: number): number {
    const owners = this.owners();
    return owners.length > 0 && b % 5 !== 0
      ? owners[(b >> 2) % owners.length].slot
      : (b >> 3) % NAMES.length;
  }

  #askAgain(a: number, target: number): void {
    const asked = this.#attempts.filter((at) => !at.by.over);
    if (asked.length > 0) this.#sendAsk(asked[a % asked.length], target);
  }

  #sendAsk(attempt: Attempt, target: number): void {
    const { ask, by } = attempt;
    this.links.post(by.slot, target, () => {
      const owner = this.vms[target];
      if (!owner) return;
      this.send(owner, (ticket, now) => owner.shard.claim(now, ask, ticket), (
        reply,
      ) => {
        const validForMs = reply.type === "granted"
          ? reply.dispatchBeforeMonoMs - this.nowOf(owner).monoMs
          : 0;
        this.links.post(
          target,
          by.slot,
          () => this.#onReply(attempt, reply, validForMs),
        );
      });
    });
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
    if (this.nowOf(by).monoMs >= attempt.askedMonoMs + validForMs) {
      attempt.state = "over";
      return this.#change(attempt, "released", 0);
    }
    attempt.state = "dispatched";
    const earlier = this.#ran.get(ask.key);
    this.note(`${ask.claimId} runs ${ask.key}`);
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
    this.links.post(attempt.by.slot, target, () => {
      const owner = this.vms[target];
      const change = { key, claimId, state, answer };
      if (!owner) return;
      this.send(
        owner,
        (ticket, now) => owner.shard.change(now, change, ticket),
        () => {},
      );
    });
  }

  #lookup(a: number, b: number): void {
    const vm = this.vms[this.#target(a)];
    if (!vm || vm.paused) return;
    const key = `k${b % 4}`;
    const ranBefore = this.#ran.get(key);
    this.send(vm, (ticket, now) => vm.shard.lookup(now, key, ticket), (r) => {
      if (r.type === "none" && ranBefore !== undefined) {
        this.violations.push(`${key} was denied, but ran as ${ranBefore}`);
      }
    });
  }
}
