/**
 * An owner's side of an outage: which witnesses hold its grants, and until when they promised not to take over.
 *
 * @module
 */

import { isReplaced } from "./claim_head.ts";
import { sameVm, type VmRef } from "./claim_record.ts";

interface Hold {
  readonly vm: VmRef;
  /** The witness holds every event up to this. */
  ackedN: number;
  promisedUntilMonoMs: number;
  sentMonoMs: number;
  waiting: boolean;
  /** Whether the last message failed or was refused. */
  failed: boolean;
  /** It ended while its promise ran. */
  over: boolean;
}

function newHold(vm: VmRef): Hold {
  return {
    vm,
    ackedN: -1,
    promisedUntilMonoMs: -Infinity,
    sentMonoMs: -Infinity,
    waiting: false,
    failed: false,
    over: false,
  };
}

/** Times of the promise; the witness counts `promiseMs` in full, the owner stops `promiseMarginMs` earlier. */
export interface PromiseLimits {
  readonly promiseMs: number;
  /** Covers clocks that run at different speeds. */
  readonly promiseMarginMs: number;
}

/** What an owner knows of its witnesses. */
export class ClaimOutage {
  readonly #limits: PromiseLimits;
  #listed: Hold[] = [];

  constructor(limits: PromiseLimits) {
    this.#limits = limits;
  }

  /**
   * Names the witnesses whose promises are needed: all that any record which may stand in the store lists. Returns
   * `false` where such a record lists none: then a VM that replaces this one finds nobody who holds the grants, so
   * none may be made.
   *
   * A witness that was replaced is dropped only if that is seen while its promise runs: it ended without taking over.
   * One that ended later may have taken over first, and its successor may have taken over from it.
   */
  require(
    lists: readonly (readonly VmRef[])[],
    live: readonly VmRef[],
    monoMs: number,
  ): boolean {
    const wanted: VmRef[] = [];
    for (const vm of lists.flat()) {
      if (!wanted.some((other) => sameVm(other, vm))) wanted.push(vm);
    }
    this.#listed = wanted.map((vm) =>
      this.#listed.find((hold) => sameVm(hold.vm, vm)) ?? newHold(vm)
    );
    for (const hold of this.#listed) {
      hold.over ||= isReplaced(hold.vm, live) &&
        hold.promisedUntilMonoMs > monoMs;
    }
    return lists.every((list) => list.length > 0);
  }

  get #holds(): Hold[] {
    return this.#listed.filter((hold) => !hold.over);
  }

  /** Until when no witness takes over; `Infinity` if all are certainly over. */
  get promisedUntilMonoMs(): number {
    return Math.min(
      Infinity,
      ...this.#holds.map((hold) => hold.promisedUntilMonoMs),
    );
  }

  /** Every event up to this is held by all witnesses. */
  get heldN(): number {
    return Math.min(Infinity, ...this.#holds.map((hold) => hold.ackedN));
  }

  /** Whether a needed promise has run out and was not renewed when asked. */
  isHopeless(monoMs: number): boolean {
    return this.#holds.some((hold) =>
      hold.failed && hold.promisedUntilMonoMs < monoMs
    );
  }

  /** The witnesses to send to now, and from which event on. */
  due(lastN: number, monoMs: number): { vm: VmRef; fromN: number }[] {
    const renewMs = this.#limits.promiseMs / 4;
    const retryMs = this.#limits.promiseMs / 8;
    return this.#holds
      .filter((hold) => {
        const idleMs = monoMs - hold.sentMonoMs;
        if (hold.waiting) return idleMs >= renewMs;
        if (hold.failed) return idleMs >= retryMs;
        return hold.ackedN < lastN || idleMs >= renewMs;
      })
      .map((hold) => ({ vm: hold.vm, fromN: hold.ackedN + 1 }));
  }

  sent(vm: VmRef, monoMs: number): void {
    const hold = this.#holds.find((h) => sameVm(h.vm, vm));
    if (!hold) return;
    hold.sentMonoMs = monoMs;
    hold.waiting = true;
  }

  /** Takes an answer to a message that was sent at `sentMonoMs` with events up to `uptoN`. */
  answered(
    vm: VmRef,
    accepted: boolean,
    uptoN: number,
    sentMonoMs: number,
  ): void {
    const hold = this.#holds.find((h) => sameVm(h.vm, vm));
    if (!hold) return;
    if (hold.sentMonoMs === sentMonoMs) hold.waiting = false;
    hold.failed = !accepted;
    if (!accepted) return;
    hold.ackedN = Math.max(hold.ackedN, uptoN);
    const { promiseMs, promiseMarginMs } = this.#limits;
    // Counted from the sending: the witness counts from its receipt, which is later.
    hold.promisedUntilMonoMs = Math.max(
      hold.promisedUntilMonoMs,
      sentMonoMs + promiseMs - promiseMarginMs,
    );
  }

  /** Forgets the promises: the store is back. */
  reset(): void {
    this.#listed = [];
  }
}
