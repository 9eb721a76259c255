/**
 * Ranks and weights the entry VMs that a workspace's callers should use, without draining VMs.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/** The properties by which an entry VM is ranked. */
export interface RankedCandidate {
  readonly id: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
}

/**
 * An entry VM with its share of the caller's requests, 0 to 1. One with share 0 is to be used only if all others fail.
 */
export interface RankedVm<T> {
  readonly vm: T;
  readonly weight: number;
}

/**
 * Maximum number of VMs in an answer. More do not help a caller: the chance that all of these fail before it asks again
 * is negligible, and the answer stays small in a region of 67 VMs.
 */
const MAX_RANKED_VMS = 6;

/**
 * Ranks the VMs of a region for a workspace. The order is by rendezvous hash, so that a workspace's callers agree on it
 * and the loss of a VM moves only the workspaces that used it. The second VM is in another failure domain than the
 * first if there is one, so that a caller that tries two VMs survives the loss of a domain. Weights fall as 1/rank: the
 * first VM gets the most requests, and no workspace puts all its load on one VM.
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
