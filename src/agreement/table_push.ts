/**
 * Which VMs watch the store, and how an edit gets from a watcher to all VMs of its region.
 *
 * A waiting watch counts as a call to the store, so only a few VMs have one, whatever the size of the region. The
 * others get the edit through a push tree whose inner nodes change with each version. A fixed tree would put the whole
 * fan-out on the same few VMs, and in a region of 67 a push from one VM to all would exceed that VM's budget for
 * control traffic.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/** Number of watchers per region. One may be lost without a delay for the region. */
export const WATCHERS_PER_REGION = 2;
/** Number of children of a node in the push tree. */
export const PUSH_FANOUT = 4;

const identity = (id: string) => id;

/** Returns the VMs that watch the store for their region. */
export function watchersOf(region: string, vmIds: readonly string[]): string[] {
  return rendezvous(`watch/${region}`, vmIds, identity)
    .slice(0, WATCHERS_PER_REGION);
}

/** Returns the watcher that pushes this version. */
export function pushRoot(
  version: number,
  watchers: readonly string[],
): string | undefined {
  return rendezvous(`root/${version}`, watchers, identity)[0];
}

/** Returns the VMs to which `self` passes this version on; none for a VM outside the tree. */
export function pushTargets(
  version: number,
  root: string,
  self: string,
  vmIds: readonly string[],
): string[] {
  const others = vmIds.filter((id) => id !== root);
  const order = [root, ...rendezvous(`push/${version}`, others, identity)];
  const position = order.indexOf(self);
  if (position < 0) return [];
  const first = position * PUSH_FANOUT + 1;
  return order.slice(first, first + PUSH_FANOUT);
}
