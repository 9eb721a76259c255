/**
 * An owner's side of an outage: which witnesses hold its grants, and until when they promised not to take over.
 *
 * @module
 */

import { isReplaced } from "./claim_head.ts";
import { sameVm, type VmRef } from "./claim_record.ts";

interface WitnessState {
  readonly vm: VmRef;
  /** The witness holds every event up to this. */
  ackedN: number;
  promisedUntilMonoMs: number;
  sentMonoMs: number;
  awaitsAnswer: boolean;
  /** Whether the last message failed or was refused. */
  hasFailed: boolean;
  /** It ended while its promise ran. */
  endedInPromise: boolean;
}

function newWitnessState(vm: VmRef): WitnessState {
  return {
    vm,
    ackedN: -1,
    promisedUntilMonoMs: -Infinity,
    sentMonoMs: -Infinity,
    awaitsAnswer: false,
    hasFailed: false,
    endedInPromise: false,
  };
}

/** Times of the promise; the witness counts `promiseMs` in full, the owner stops `promiseMarginMs` earlier. */
export interface PromiseLimits {
  readonly promiseMs: number;
  /** Covers clocks that run at different speeds. */
  readonly promiseMarginMs: number;
}

/** What an owner knows of its witnesses. */
export class WitnessTracker {
  readonly #limits: PromiseLimits;
  #listedWitnesses: WitnessState[] = [];

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
  setLists(
    lists: readonly (readonly VmRef[])[],
    live: readonly VmRef[],
    monoMs: number,
  ): boolean {
    const wanted: VmRef[] = [];
    for (const vm of lists.flat()) {
      if (!wanted.some((other) => sameVm(other, vm))) wanted.push(vm);
    }
    this.#listedWitnesses = wanted.map((vm) =>
      this.#listedWitnesses.find((state) => sameVm(state.vm, vm)) ??
        newWitnessState(vm)
    );
    for (const state of this.#listedWitnesses) {
      state.endedInPromise ||= isReplaced(state.vm, live) &&
        state.promisedUntilMonoMs > monoMs;
    }
    return lists.every((list) => list.length > 0);
  }

  get #witnesses(): WitnessState[] {
    return this.#listedWitnesses.filter((state) => !state.endedInPromise);
  }

  /** Until when no witness takes over; `Infinity` if all are certainly over. */
  get promisedUntilMonoMs(): number {
    return Math.min(
      Infinity,
      ...this.#witnesses.map((state) => state.promisedUntilMonoMs),
    );
  }

  /** Every event up to this is held by all witnesses. */
  get replicatedN(): number {
    return Math.min(Infinity, ...this.#witnesses.map((state) => state.ackedN));
  }

  /** Whether a needed promise has run out and was not renewed when asked. */
  hasLapsedPromise(monoMs: number): boolean {
    return this.#witnesses.some((state) =>
      state.hasFailed && state.promisedUntilMonoMs < monoMs
    );
  }

  /** The witnesses to send to now, and from which event on. */
  dueMessages(lastN: number, monoMs: number): { vm: VmRef; fromN: number }[] {
    const renewMs = this.#limits.promiseMs / 4;
    const retryMs = this.#limits.promiseMs / 8;
    return this.#witnesses
      .filter((state) => {
        const idleMs = monoMs - state.sentMonoMs;
        if (state.awaitsAnswer) return idleMs >= renewMs;
        if (state.hasFailed) return idleMs >= retryMs;
        return state.ackedN < lastN || idleMs >= renewMs;
      })
      .map((state) => ({ vm: state.vm, fromN: state.ackedN + 1 }));
  }

  recordSent(vm: VmRef, monoMs: number): void {
    const hold = this.#witnesses.find((h) => sameVm(h.vm, vm));
    if (!hold) return;
    hold.sentMonoMs = monoMs;
    hold.awaitsAnswer = true;
  }

  /** Takes an answer to a message that was sent at `sentMonoMs` with events up to `uptoN`. */
  recordAnswer(
    vm: VmRef,
    accepted: boolean,
    uptoN: number,
    sentMonoMs: number,
  ): void {
    const hold = this.#witnesses.find((h) => sameVm(h.vm, vm));
    if (!hold) return;
    if (hold.sentMonoMs === sentMonoMs) hold.awaitsAnswer = false;
    hold.hasFailed = !accepted;
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
    this.#listedWitnesses = [];
  }
}
