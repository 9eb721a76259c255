/**
 * Which VMs of a region lead it: they hear every VM, tell all of them what there is, speak to other regions, and ask the
 * store.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { VmRecord } from "./record.ts";

/** Leads of a region. With three, two may be lost or cut off at once and nobody waits for a new one to be found. */
export const LEAD_COUNT = 3;
/** VMs that take the leads' place next; all VMs know them, so the loss of every lead at once costs no search. */
export const STANDBY_COUNT = 3;
/** Up to this many VMs a region needs no leads: all hear all, at the cost of a few datagrams. */
export const MAX_ALL_LEAD_VMS = 4;
/** VMs of a region that ask the store for changes, for all of it. */
export const READER_COUNT = 3;

/** How many VMs of a region lead it. */
export function countLeads(vmCount: number): number {
  return vmCount <= MAX_ALL_LEAD_VMS ? vmCount : LEAD_COUNT;
}

/**
 * The order in which the VMs of a region lead it, the same on every VM that knows the same ones. It goes around the
 * failure domains, so that the loss or cut of one leaves a lead in another; inside a domain the strongest VM comes first,
 * since a lead's work comes on top of its callers'.
 */
export function orderLeads<V extends VmRecord>(vms: readonly V[]): V[] {
  const byStrength = vms
    .map((vm) => ({ vm, weight: hash32(vm.id) }))
    .sort((a, b) => b.vm.cores - a.vm.cores || b.weight - a.weight);
  const vmsPerDomain = new Map<string, number>();
  const rounds = byStrength.map(({ vm }, rank) => {
    const round = vmsPerDomain.get(vm.failureDomain) ?? 0;
    vmsPerDomain.set(vm.failureDomain, round + 1);
    return { vm, round, rank };
  });
  return rounds.sort((a, b) => a.round - b.round || a.rank - b.rank)
    .map(({ vm }) => vm);
}

/** A VM of the order as choosing readers sees it. */
export interface ReaderCandidate {
  readonly id: string;
  /** Whether the store answers its questions at the moment. */
  readonly isServed: boolean;
}

/**
 * Whether the VM `self` should ask the store for changes: the first of the order do, and a standby takes the place of a
 * reader that the store turns away. No other VM ever asks, so the calls of an outage don't grow with the region; a region
 * whose readers are all turned away hears from another one.
 */
export function isReader(
  self: string,
  order: readonly ReaderCandidate[],
): boolean {
  let servedBefore = 0;
  for (const [index, { id, isServed }] of order.entries()) {
    if (index >= LEAD_COUNT + STANDBY_COUNT) return false;
    if (id === self) return index < READER_COUNT || servedBefore < READER_COUNT;
    if (isServed) servedBefore++;
  }
  return false;
}
