/**
 * Chooses the VMs that hold a shard owner's grants during an outage of the store.
 *
 * @module
 */

import { sameVm, type VmRef } from "../agreement/mod.ts";
import type { VmInfo } from "./messages.ts";

const MAX_WITNESSES = 2;

/**
 * Returns the first VMs in `order` other than `me`. VMs of other failure domains come first, because all VMs of one
 * domain can fail together.
 */
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
 * The witnesses stay listed for this long after no candidate is left. Without it, in a region of two VMs, the other VM
 * would be removed when it is suspected for a few seconds. If the store fails during that write, the record may have no
 * witness, and no claim can be granted during the whole outage although both VMs are alive. A longer time has a cost:
 * an owner that is lost together with a listed witness is replaced only after a long wait.
 */
export const WITNESS_RETENTION_MS = 30_000;

/** Keeps the list of witnesses of one shard. */
export class WitnessList {
  #list: readonly VmRef[] = [];
  #chosenAtMonoMs = -Infinity;

  /** Returns the witnesses to list now; see {@link chooseWitnesses} and {@link WITNESS_RETENTION_MS}. */
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

/** Returns only the fields that identify a VM. */
export function toVmRef(vm: VmRef): VmRef {
  return { id: vm.id, incarnation: vm.incarnation };
}
