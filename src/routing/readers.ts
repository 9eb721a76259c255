/**
 * Which VMs of a region ask the store what changes, for all of them.
 *
 * @module
 */

import { rendezvous } from "../base/mod.ts";

/** A VM of the region as choosing readers sees it. */
export interface ReaderVm {
  readonly id: string;
  /** Whether the store answers its questions at the moment. */
  readonly isServed: boolean;
}

/**
 * Readers of a region. Upstreams write every second, so a question of each VM costs a call and the whole list's bytes a
 * second and VM; three readers keep the others up to date within a second when two of them are cut off or frozen.
 */
export const READERS = 3;

/**
 * Whether the VM `self` should ask the store itself: unless enough VMs that come before it in the region's order are
 * served. A reader that the store turns away is thus replaced by the next one, and without any that is served all ask.
 */
export function isReader(self: string, others: readonly ReaderVm[]): boolean {
  const order = rendezvous(
    "readers",
    [{ id: self, isServed: false }, ...others],
    ({ id }) => id,
  );
  let servedBefore = 0;
  for (const { id, isServed } of order) {
    if (id === self) return true;
    if (isServed && ++servedBefore >= READERS) return false;
  }
  return true;
}
