/**
 * Which entry VMs a caller should use: ranked and weighted for its workspace, without leaving VMs.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/** What an entry VM is ranked by. */
export interface RankedCandidate {
  readonly id: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
}

/** An entry VM with its share of the caller's requests, 0 to 1; a share of 0 is for when all others fail. */
export interface RankedVm<T> {
  readonly vm: T;
  readonly weight: number;
}

/**
 * More VMs than this do not help a caller: the chance that so many fail before it asks again is nil, and the answer
 * stays small at 67 VMs a region.
 */
const MAX_RANKED_VMS = 6;

/**
 * Ranks the VMs of a region for a workspace. The order is by rendezvous hash, so that a workspace's callers agree on it
 * and a VM that goes moves only its own; but the second is in another failure domain than the first where there is one,
 * so that a caller who tries two survives a domain. Weights fall as 1/rank: the first gets the most, and no workspace
 * loads one VM alone.
 */
export function rankForWorkspace<T extends RankedCandidate>(
  workspace: string,
  vms: readonly T[],
): RankedVm<T>[] {
  const live = vms.filter((vm) => vm.state === "live");
  const order = rendezvous(`directory/${workspace}`, live, (vm) => vm.id);
  const first = order[0];
  const otherDomain = order.findIndex((vm) =>
    vm.failureDomain !== first.failureDomain
  );
  if (otherDomain > 1) order.splice(1, 0, ...order.splice(otherDomain, 1));
  const ranked = order.slice(0, MAX_RANKED_VMS);
  let sum = 0;
  for (let rank = 1; rank <= ranked.length; rank++) sum += 1 / rank;
  return ranked.map((vm, index) => ({
    vm,
    weight: Math.round(1000 / (index + 1) / sum) / 1000,
  }));
}
