/**
 * Which VMs are asked to hold a shard owner's grants through an outage of the store.
 *
 * @module
 */

import { sameVm, type VmRef } from "../agreement/mod.ts";
import type { VmInfo } from "./messages.ts";

const MAX_WITNESSES = 2;

/** The first in `order` besides `me`, of another failure domain if there is one: a domain is lost as a whole. */
export function chooseWitnesses(
  me: VmRef,
  order: readonly VmRef[],
  regionVms: readonly VmInfo[],
): VmRef[] {
  const domainOf = (vm: VmRef) =>
    regionVms.find((info) => sameVm(info, vm))?.failureDomain;
  const others = order.filter((vm) => !sameVm(vm, me));
  const otherDomain = others.filter((vm) => domainOf(vm) !== domainOf(me));
  const sameDomain = others.filter((vm) => domainOf(vm) === domainOf(me));
  return [...otherDomain, ...sameDomain].slice(0, MAX_WITNESSES).map(toVmRef);
}

/**
 * The list is kept this long after its last VM was lost. In a region of two, a VM that is suspected for seconds would be
 * struck off; if the store goes away while that is written, the record without a witness may stand, and no claim can be
 * granted for the whole outage though both VMs live. Longer would cost: an owner lost together with a VM that is still
 * listed is replaced only after a long wait.
 */
export const WITNESS_RETENTION_MS = 30_000;

/** The witnesses of one shard over time. */
export class WitnessList {
  #list: readonly VmRef[] = [];
  #chosenAtMonoMs = -Infinity;

  /** The witnesses to list now; see {@link chooseWitnesses} and {@link WITNESS_RETENTION_MS}. */
  choose(
    me: VmRef,
    order: readonly VmRef[],
    regionVms: readonly VmInfo[],
    monoMs: number,
  ): readonly VmRef[] {
    const chosen = chooseWitnesses(me, order, regionVms);
    const isRetained = chosen.length === 0 &&
      monoMs - this.#chosenAtMonoMs < WITNESS_RETENTION_MS;
    if (isRetained) return this.#list;
    this.#list = chosen;
    this.#chosenAtMonoMs = monoMs;
    return chosen;
  }
}

/** Only what names a VM, without the rest that it may carry. */
export function toVmRef(vm: VmRef): VmRef {
  return { id: vm.id, incarnation: vm.incarnation };
}
