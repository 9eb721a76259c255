/**
 * Index of the slots that a lead has granted, by the entry VM that holds them. Entry VMs renew all the slots they hold
 * with one small digest; the slots are listed only if the lead and the entry VM disagree.
 *
 * @module
 */

import { type AttemptsDigest, digestAttempts } from "./lead.ts";

/**
 * A grant newer than this may still be in transit to its entry VM when that VM lists the slots it holds. Freeing the
 * slot then would put a second request into it.
 */
export const GRANT_SETTLE_MS = 2000;

/** The changes that follow from an entry VM's list of held slots. */
export interface Reconciliation {
  readonly renew: readonly string[];
  /** Held by the entry VM but unknown here: granted by an earlier lead, or expired here. */
  readonly adopt: readonly string[];
  /** Granted here but unknown to the entry VM: the answer was lost. */
  readonly free: readonly string[];
}

/** The grants of one lead. */
export class GrantIndex {
  readonly #byVm = new Map<string, Map<string, number>>();
  readonly #vmOf = new Map<string, string>();

  /**
   * Records that `vmId` holds this attempt. `settledAtMs` is the latest time at which the grant reaches that VM: now if
   * the VM reported the attempt itself, else {@link GRANT_SETTLE_MS} from now.
   */
  add(vmId: string, attemptId: string, settledAtMs: number): void {
    this.remove(attemptId);
    const held = this.#byVm.get(vmId) ?? new Map<string, number>();
    held.set(attemptId, settledAtMs);
    this.#byVm.set(vmId, held);
    this.#vmOf.set(attemptId, vmId);
  }

  /** Removes an attempt that has ended. */
  remove(attemptId: string): void {
    const vmId = this.#vmOf.get(attemptId);
    if (vmId === undefined) return;
    this.#vmOf.delete(attemptId);
    const held = this.#byVm.get(vmId)!;
    held.delete(attemptId);
    if (held.size === 0) this.#byVm.delete(vmId);
  }

  has(attemptId: string): boolean {
    return this.#vmOf.has(attemptId);
  }

  get size(): number {
    return this.#vmOf.size;
  }

  /** Returns the attempts that `vmId` holds. */
  heldBy(vmId: string): string[] {
    return [...this.#byVm.get(vmId)?.keys() ?? []];
  }

  /** Whether `vmId` holds exactly the attempts in the index, by its digest. */
  matches(vmId: string, digest: AttemptsDigest): boolean {
    const granted = digestAttempts(this.#byVm.get(vmId)?.keys() ?? []);
    return granted.count === digest.count && granted.xor === digest.xor;
  }

  /** Replaces the attempts of `vmId` by those that it reports, except for grants that may still be in transit to it. */
  reconcile(
    vmId: string,
    heldIds: readonly string[],
    nowMs: number,
  ): Reconciliation {
    const held = new Set(heldIds);
    const granted = this.#byVm.get(vmId) ?? new Map<string, number>();
    const renew = heldIds.filter((id) => granted.has(id));
    const adopt = heldIds.filter((id) => !granted.has(id));
    const free: string[] = [];
    for (const [id, settledAtMs] of granted) {
      if (!held.has(id) && nowMs >= settledAtMs) free.push(id);
    }
    for (const id of free) this.remove(id);
    for (const id of adopt) this.add(vmId, id, nowMs);
    return { renew, adopt, free };
  }
}
