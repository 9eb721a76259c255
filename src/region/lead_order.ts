/**
 * Which VMs of a region lead it. Leads hear every VM, send all of them rosters, exchange digests with other regions, and
 * read the store.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { VmRecord } from "./record.ts";

/** Leads of a region. With three, two may be lost or cut off at once and no VM has to wait for a new lead. */
export const LEAD_COUNT = 3;
/** VMs that replace leads next. All VMs know them, so no search is needed when every lead is lost at once. */
export const STANDBY_COUNT = 3;
/** In a region of up to this many VMs, all are leads: every VM hears every other at the cost of a few datagrams. */
export const MAX_ALL_LEAD_VMS = 4;
/** VMs of a region that ask the store for changes on behalf of the whole region. */
export const READER_COUNT = 3;

/** The number of leads in a region of `vmCount` VMs. */
export function countLeads(vmCount: number): number {
  return vmCount <= MAX_ALL_LEAD_VMS ? vmCount : LEAD_COUNT;
}

/**
 * Sorts the VMs of a region by who leads first. Every VM that knows the same VMs gets the same order. The order alternates
 * between the failure domains, so that the loss or cut of one leaves a lead in another. Within a domain the VM with the
 * most cores comes first, since a lead does its work in addition to that for its callers.
 */
export function orderLeads<V extends VmRecord>(vms: readonly V[]): V[] {
  const byCores = vms
    .map((vm) => ({ vm, weight: hash32(vm.id) }))
    .sort((a, b) => b.vm.cores - a.vm.cores || b.weight - a.weight);
  const vmsPerDomain = new Map<string, number>();
  const rounds = byCores.map(({ vm }, rank) => {
    const round = vmsPerDomain.get(vm.failureDomain) ?? 0;
    vmsPerDomain.set(vm.failureDomain, round + 1);
    return { vm, round, rank };
  });
  return rounds.sort((a, b) => a.round - b.round || a.rank - b.rank)
    .map(({ vm }) => vm);
}

/** What {@link isReader} needs of a VM of the order. */
export interface ReaderCandidate {
  readonly id: string;
  /** Whether the store currently answers its requests. */
  readonly isServed: boolean;
}

/**
 * Whether the VM `self` should ask the store for changes. The first VMs of the order do, and a standby also does for each
 * reader that the store refuses. No other VM ever asks, so the number of calls in an outage does not grow with the region.
 * A region whose readers are all refused gets the changes from another region.
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
