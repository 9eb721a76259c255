/**
 * Which VMs are asked to hold a shard owner's grants through an outage of the store.
 *
 * @module
 */

import { sameVm, type VmRef } from "../agreement/mod.ts";
import type { VmInfo } from "./messages.ts";

const WITNESSES = 2;

/** The first in `order` besides `me`, of another failure domain if there is one: a domain is lost as a whole. */
export function chooseWitnesses(
  me: VmRef,
  order: readonly VmRef[],
  here: readonly VmInfo[],
): VmRef[] {
  const domainOf = (vm: VmRef) =>
    here.find((info) => sameVm(info, vm))?.failureDomain;
  const others = order.filter((vm) => !sameVm(vm, me));
  const far = others.filter((vm) => domainOf(vm) !== domainOf(me));
  const near = others.filter((vm) => domainOf(vm) === domainOf(me));
  return [...far, ...near].slice(0, WITNESSES).map(asRef);
}

/**
 * The list is kept this long after its last VM was lost. In a region of two, a VM that is suspected for seconds would be
 * struck off; if the store goes away while that is written, the record without a witness may stand, and no claim can be
 * granted for the whole outage though both VMs live. Longer would cost: an owner lost together with a VM that is still
 * listed is replaced only after a long wait.
 */
export const KEEP_MS = 30_000;

/** The witnesses of one shard over time. */
export class WitnessList {
  #list: readonly VmRef[] = [];
  #chosenMonoMs = -Infinity;

  /** The witnesses to list now; see {@link chooseWitnesses} and {@link KEEP_MS}. */
  choose(
    me: VmRef,
    order: readonly VmRef[],
    here: readonly VmInfo[],
    monoMs: number,
  ): readonly VmRef[] {
    const chosen = chooseWitnesses(me, order, here);
    const kept = chosen.length === 0 && monoMs - this.#chosenMonoMs < KEEP_MS;
    if (kept) return this.#list;
    this.#list = chosen;
    this.#chosenMonoMs = monoMs;
    return chosen;
  }
}

/** Only what names a VM, without the rest that it may carry. */
export function asRef(vm: VmRef): VmRef {
  return { id: vm.id, incarnation: vm.incarnation };
}
