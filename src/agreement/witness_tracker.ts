/**
 * An owner's view of its witnesses during a store outage: which of them hold its grants, and until when they have
 * promised not to take over.
 *
 * @module
 */

import { isReplaced } from "./claim_head.ts";
import { sameVm, type VmRef } from "./claim_record.ts";

interface WitnessState {
  readonly vm: VmRef;
  /** The witness holds all events up to this number. */
  ackedN: number;
  promisedUntilMonoMs: number;
  sentMonoMs: number;
  awaitsAnswer: boolean;
  /** Whether the last message failed or was refused. */
  hasFailed: boolean;
  /** The witness ended while its promise was valid. */
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

/**
 * Times of a promise. The witness keeps it for `promiseMs`; the owner stops relying on it `promiseMarginMs` earlier.
 */
export interface PromiseLimits {
  readonly promiseMs: number;
  /** Allows for clocks that run at different speeds. */
  readonly promiseMarginMs: number;
}

/** Tracks what an owner's witnesses have acknowledged and promised. */
export class WitnessTracker {
  readonly #limits: PromiseLimits;
  #listedWitnesses: WitnessState[] = [];

  constructor(limits: PromiseLimits) {
    this.#limits = limits;
  }

  /**
   * Sets the witnesses whose promises are required: all those listed in any head that may be in the store. Returns
   * `false` if one of these heads lists none: a VM that takes over from that head finds no witness that holds the
   * grants, so none may be made.
   *
   * A witness that was replaced by a newer run is dropped only if the replacement is seen while its promise is valid,
   * because it then ended without taking over. One that ended later may have taken over first, and its successor may
   * have taken over from it.
   */
  setWitnessLists(
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

  /** Until when no witness takes over; `Infinity` if all have certainly ended. */
  get promisedUntilMonoMs(): number {
    return Math.min(
      Infinity,
      ...this.#witnesses.map((state) => state.promisedUntilMonoMs),
    );
  }

  /** All witnesses hold all events up to this number. */
  get replicatedN(): number {
    return Math.min(Infinity, ...this.#witnesses.map((state) => state.ackedN));
  }

  /** Whether a required promise has expired and the last request to renew it failed. */
  hasLapsedPromise(monoMs: number): boolean {
    return this.#witnesses.some((state) =>
      state.hasFailed && state.promisedUntilMonoMs < monoMs
    );
  }

  /** Returns the witnesses to send to now, each with the first event to send. */
  due(lastN: number, monoMs: number): { vm: VmRef; fromN: number }[] {
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
    const witness = this.#witnesses.find((state) => sameVm(state.vm, vm));
    if (!witness) return;
    witness.sentMonoMs = monoMs;
    witness.awaitsAnswer = true;
  }

  /** Records the answer to a message that was sent at `sentMonoMs` with events up to `uptoN`. */
  recordAnswer(
    vm: VmRef,
    accepted: boolean,
    uptoN: number,
    sentMonoMs: number,
  ): void {
    const witness = this.#witnesses.find((state) => sameVm(state.vm, vm));
    if (!witness) return;
    if (witness.sentMonoMs === sentMonoMs) witness.awaitsAnswer = false;
    witness.hasFailed = !accepted;
    if (!accepted) return;
    witness.ackedN = Math.max(witness.ackedN, uptoN);
    const { promiseMs, promiseMarginMs } = this.#limits;
    // Counted from the time of sending. The witness counts from the receipt, which is later.
    witness.promisedUntilMonoMs = Math.max(
      witness.promisedUntilMonoMs,
      sentMonoMs + promiseMs - promiseMarginMs,
    );
  }

  /** Forgets all promises once the store can be reached again. */
  reset(): void {
    this.#listedWitnesses = [];
  }
}
