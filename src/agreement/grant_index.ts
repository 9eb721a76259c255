/**
 * A lead's book of the slots it granted, by the entry VM that holds them. Entry VMs renew all they hold with one small
 * digest; only where the book and the entry VM disagree are the slots listed.
 *
 * @module
 */

import { type AttemptsDigest, digestAttempts } from "./lead.ts";

/**
 * A grant younger than this may still be under way to its entry VM when that VM lists what it holds. Freeing it then
 * would put a second request into the same slot.
 */
export const GRANT_SETTLE_MS = 2000;

/** What a list of held slots changes. */
export interface Reconciliation {
  readonly renew: readonly string[];
  /** Held by the entry VM, unknown here: granted by an earlier lead, or expired here. */
  readonly adopt: readonly string[];
  /** Granted here, unknown to the entry VM: the answer was lost. */
  readonly free: readonly string[];
}

/** The grants of one lead. */
export class GrantIndex {
  readonly #byVm = new Map<string, Map<string, number>>();
  readonly #vmOf = new Map<string, string>();

  /**
   * Notes that `vmId` holds this attempt. `settledAtMs` is when the VM knows of it at the latest: now where it said so
   * itself, else {@link GRANT_SETTLE_MS} from now.
   */
  add(vmId: string, attemptId: string, settledAtMs: number): void {
    this.remove(attemptId);
    const held = this.#byVm.get(vmId) ?? new Map<string, number>();
    held.set(attemptId, settledAtMs);
    this.#byVm.set(vmId, held);
    this.#vmOf.set(attemptId, vmId);
  }

  /** Forgets an attempt that ended. */
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

  /** The attempts that `vmId` holds. */
  heldBy(vmId: string): string[] {
    return [...this.#byVm.get(vmId)?.keys() ?? []];
  }

  /** Whether `vmId` holds exactly what the book says. */
  matches(vmId: string, digest: AttemptsDigest): boolean {
    const own = digestAttempts(this.#byVm.get(vmId)?.keys() ?? []);
    return own.count === digest.count && own.xor === digest.xor;
  }

  /** Makes the book say what `vmId` says it holds, but for grants that may still be under way to it. */
  reconcile(
    vmId: string,
    heldIds: readonly string[],
    nowMs: number,
  ): Reconciliation {
    const held = new Set(heldIds);
    const own = this.#byVm.get(vmId) ?? new Map<string, number>();
    const renew = heldIds.filter((id) => own.has(id));
    const adopt = heldIds.filter((id) => !own.has(id));
    const free: string[] = [];
    for (const [id, settledAtMs] of own) {
      if (!held.has(id) && nowMs >= settledAtMs) free.push(id);
    }
    for (const id of free) this.remove(id);
    for (const id of adopt) this.add(vmId, id, nowMs);
    return { renew, adopt, free };
  }
}
