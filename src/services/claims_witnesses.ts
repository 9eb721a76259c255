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

/** Only what names a VM, without the rest that it may carry. */
export function asRef(vm: VmRef): VmRef {
  return { id: vm.id, incarnation: vm.incarnation };
}
