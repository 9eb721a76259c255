/**
 * A simulation of a region for the claim state machines: VMs with clocks that differ, a store and links with faults,
 * and entry VMs that dispatch granted claims. A schedule of numbers drives it, so a failure is replayed from its
 * schedule.
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
  LIMITS,
  TICK_MS,
  type Variant,
  type Vm,
  VM_IDS,
} from "./fuzz_claims_vms.ts";

/** One step of a schedule: the operation, and two numbers that select the VMs, keys or durations. */
export type Step = readonly [op: number, a: number, b: number];

/** An entry VM's attempt to run a call. */
interface Attempt {
  readonly request: ClaimRequest;
  readonly sender: Vm;
  readonly sentMonoMs: number;
  state: "asked" | "granted" | "dispatched" | "over";
}

/** Runs a schedule and collects violations of the rules. */
export class ClaimsSimulation extends FuzzVms {
  readonly violations: string[] = [];
  #attempts: Attempt[] = [];
  #dispatched = new Map<string, string>();

  constructor(variant: Variant = {}) {
    super(variant);
  }

  /** Runs one step. */
  runStep([op, a, b]: Step): void {
    const index = a % VM_IDS.length;
    const otherIndex = b % VM_IDS.length;
    const vm = this.vms[index];
    switch (op) {
      case 0:
        return this.advance(TICK_MS);
      case 1:
        return this.advance(TICK_MS * (1 + (a % 16)));
      case 2:
        return this.advance(2000 + (a % 8) * 1000);
      case 3:
      case 4:
        return this.#startClaim(index, b);
      case 5:
        return this.#cutOffOwner(a);
      case 6:
        return this.deliver();
      case 7:
        if (vm) this.crash(vm);
        else this.start(index);
        return;
      case 8:
        if (!vm) return;
        vm.isPaused = !vm.isPaused;
        return this.addTrace(`${vm.ref.id} paused=${vm.isPaused}`);
      case 9:
        this.store.isDown = !this.store.isDown;
        return this.addTrace(`store down=${this.store.isDown}`);
      case 10:
        toggle(this.store.cutOffVms, index);
        return this.addTrace(`store cut off=${[...this.store.cutOffVms]}`);
      case 11:
        this.links.toggleCut(index, otherIndex);
        return this.addTrace(`links cut=${this.links.cutLinks}`);
      case 12:
        this.store.answersToLose = 1 + (a % 3);
        return this.addTrace(
          `store answers to be lost=${this.store.answersToLose}`,
        );
      case 13:
        this.store.writesToDelay = 1;
        return this.addTrace("next write is delayed");
      case 14:
        return this.applyDelayedWrite();
      case 15:
        this.links.toggleHold(index, otherIndex);
        return this.links.release();
      case 16:
        return this.#finishAttempt(a, b);
      case 17:
        return this.#lookup(a, b);
      case 18:
        return this.#resendClaim(a, otherIndex);
      case 19:
        if (vm && !vm.isPaused) this.runShard(vm, (now) => vm.shard.stop(now));
        return;
      case 20:
        return this.endFaults();
      case 21:
        return this.#pauseOwner(a, b);
    }
  }

  /** Advances the time tick by tick. Each tick delivers packets and ticks all running VMs. */
  advance(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.timeMs += TICK_MS;
      this.deliver();
      for (const vm of this.runningVms()) {
        vm.shard.setView(this.viewOf(vm));
        this.runShard(vm, (now) => vm.shard.tick(now));
      }
      this.deliver();
    }
  }

  /** Ends all faults. */
  endFaults(): void {
    this.store.endFaults();
    this.links.endFaults();
    for (const vm of this.vms) if (vm) vm.isPaused = false;
    this.vms.forEach((vm, index) => vm || this.start(index));
    this.links.release();
    this.addTrace("all faults end");
  }

  /** Ends all faults and checks that a claim on a new key is then settled within a minute. */
  checkProgress(): void {
    this.endFaults();
    this.advance(10_000);
    // Starts the VMs that were still stopping at the first call.
    this.endFaults();
    this.advance(30_000);
    let reply: ShardReply | undefined;
    for (const vm of this.runningVms()) {
      if (!vm.shard.isOwner) continue;
      const request = this.#makeRequest(vm, "last");
      this.sendRequest(
        vm,
        (ticket, now) => vm.shard.claim(now, request, ticket),
        (r) => {
          reply = r;
        },
      );
    }
    this.advance(3000);
    const settled = reply?.type === "granted" || reply?.type === "unknown";
    if (!settled) this.violations.push(`no progress: ${JSON.stringify(reply)}`);
  }

  /** Cuts the owner off from the store, long enough that it grants from memory, and sometimes from a witness too. */
  #cutOffOwner(a: number): void {
    const [owner] = this.owners();
    if (!owner) return;
    this.store.cutOffVms.add(owner.index);
    this.addTrace(`owner ${owner.ref.id} loses the store`);
    this.advance(LIMITS.outageAfterMs + TICK_MS * (a % 16));
    const otherIndex = (owner.index + 1 + (a >> 5)) % VM_IDS.length;
    if (a % 4 === 0) this.links.cut(owner.index, otherIndex);
  }

  /** Pauses the owner while the others continue, then resumes it. */
  #pauseOwner(a: number, b: number): void {
    const [owner] = this.owners();
    if (!owner || owner.isPaused) return;
    owner.isPaused = true;
    this.addTrace(`${owner.ref.id} is paused`);
    this.advance(3000 + TICK_MS * (a % 16));
    this.#startClaim((owner.index + 1) % VM_IDS.length, b);
    this.advance(3 * TICK_MS);
    owner.isPaused = false;
    this.addTrace(`${owner.ref.id} resumes`);
  }

  #makeRequest(sender: Vm, key: string): ClaimRequest {
    const claimId = `${sender.ref.id}.${sender.ref.incarnation}.${this
      .nextTicket++}`;
    return {
      key,
      body: "body",
      claimId,
      claimer: { ...sender.ref, region: "r" },
      deadlineMs: this.nowOf(sender).nowMs + 6000,
    };
  }

  #startClaim(index: number, b: number): void {
    const sender = this.vms[index];
    if (!sender || sender.isPaused) return;
    const request = this.#makeRequest(sender, `k${b % 4}`);
    const attempt: Attempt = {
      request,
      sender,
      sentMonoMs: this.nowOf(sender).monoMs,
      state: "asked",
    };
    this.#attempts.push(attempt);
    this.#sendClaim(attempt, this.#pickTarget(b));
  }

  /** Picks, most of the time, a VM that considers itself the owner, of which there may be two; any VM otherwise. */
  #pickTarget(b: number): number {
    const owners = this.owners();
    return owners.length > 0 && b % 5 !== 0
      ? owners[(b >> 2) % owners.length].index
      : (b >> 3) % VM_IDS.length;
  }

  #resendClaim(a: number, target: number): void {
    const attempts = this.#attempts.filter((attempt) =>
      !attempt.sender.hasEnded
    );
    if (attempts.length > 0) {
      this.#sendClaim(attempts[a % attempts.length], target);
    }
  }

  #sendClaim(attempt: Attempt, target: number): void {
    const { request, sender } = attempt;
    this.links.send(sender.index, target, () => {
      const owner = this.vms[target];
      if (!owner) return;
      this.sendRequest(
        owner,
        (ticket, now) => owner.shard.claim(now, request, ticket),
        (
          reply,
        ) => {
          const validForMs = reply.type === "granted"
            ? reply.dispatchBeforeMonoMs - this.nowOf(owner).monoMs
            : 0;
          this.links.send(
            target,
            sender.index,
            () => this.#onReply(attempt, reply, validForMs),
          );
        },
      );
    });
  }

  /** Handles a reply as the entry VM does: dispatches once, in time, or releases the claim. */
  #onReply(attempt: Attempt, reply: ShardReply, validForMs: number): void {
    const { sender, request } = attempt;
    if (sender.hasEnded || attempt.state !== "asked") return;
    if (reply.type === "answered") {
      const dispatched = this.#dispatched.get(request.key);
      if (dispatched !== reply.answer.bodyBase64) {
        this.violations.push(
          `wrong answer for ${request.key}: it ran as ${dispatched}`,
        );
      }
    }
    if (reply.type !== "granted") {
      if (reply.type !== "notOwner") attempt.state = "over";
      if (reply.type === "unavailable") {
        this.#sendChange(attempt, "released", 0);
      }
      return;
    }
    if (this.nowOf(sender).monoMs >= attempt.sentMonoMs + validForMs) {
      attempt.state = "over";
      return this.#sendChange(attempt, "released", 0);
    }
    attempt.state = "dispatched";
    const earlier = this.#dispatched.get(request.key);
    this.addTrace(`${request.claimId} runs ${request.key}`);
    if (earlier !== undefined) {
      this.violations.push(
        `${request.key} ran as ${earlier} and ${request.claimId}`,
      );
    }
    this.#dispatched.set(request.key, request.claimId);
  }

  #finishAttempt(a: number, b: number): void {
    const open = this.#attempts.filter((attempt) =>
      attempt.state === "dispatched" && !attempt.sender.hasEnded &&
      !attempt.sender.isPaused
    );
    if (open.length === 0) return;
    const attempt = open[a % open.length];
    attempt.state = "over";
    this.#sendChange(attempt, b % 4 === 0 ? "abandoned" : "finished", b);
  }

  #sendChange(attempt: Attempt, state: ClaimChange["state"], b: number): void {
    const { key, claimId } = attempt.request;
    const answer = state === "finished"
      ? {
        httpStatus: 200,
        contentType: "",
        bodyBase64: claimId,
        truncated: false,
      }
      : undefined;
    const target = this.#pickTarget(b + 1);
    this.links.send(attempt.sender.index, target, () => {
      const owner = this.vms[target];
      const change = { key, claimId, state, answer };
      if (!owner) return;
      this.sendRequest(
        owner,
        (ticket, now) => owner.shard.change(now, change, ticket),
        () => {},
      );
    });
  }

  #lookup(a: number, b: number): void {
    const vm = this.vms[this.#pickTarget(a)];
    if (!vm || vm.isPaused) return;
    const key = `k${b % 4}`;
    const dispatchedBefore = this.#dispatched.get(key);
    this.sendRequest(
      vm,
      (ticket, now) => vm.shard.lookup(now, key, ticket),
      (r) => {
        if (r.type === "none" && dispatchedBefore !== undefined) {
          this.violations.push(
            `${key} was reported as absent, but ran as ${dispatchedBefore}`,
          );
        }
      },
    );
  }
}
