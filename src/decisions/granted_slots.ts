/**
 * The slots that a lead has granted. Each is held until its deadline unless it is renewed.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import type { HeldAttempt } from "./upstream.ts";

/**
 * The granted slots by attempt. The slots of an entry VM that dies are not renewed, so they are freed without any check
 * of whether VMs are alive.
 */
export class GrantedSlots {
  readonly #held = new Map<string, HeldAttempt>();
  // An item may be listed under an old deadline; when that comes, the item is listed again under the new one.
  readonly #expiry = new TinyQueue<{ atMs: number; held: HeldAttempt }>(
    [],
    (a, b) => a.atMs - b.atMs,
  );

  get size(): number {
    return this.#held.size;
  }
  get(attemptId: string): HeldAttempt | undefined {
    return this.#held.get(attemptId);
  }
  add(held: HeldAttempt): void {
    this.#held.set(held.attemptId, held);
    this.#expiry.push({ atMs: held.expiresAtMs, held });
  }
  remove(attemptId: string): HeldAttempt | undefined {
    const held = this.#held.get(attemptId);
    this.#held.delete(attemptId);
    return held;
  }
  /** Holds the slot until `untilMs`. Returns whether the slot is known. */
  renew(attemptId: string, untilMs: number): boolean {
    const held = this.#held.get(attemptId);
    if (!held) return false;
    held.expiresAtMs = Math.max(held.expiresAtMs, untilMs);
    return true;
  }
  /** Removes and returns the slots that were not renewed in time. */
  removeExpired(nowMs: number): HeldAttempt[] {
    const expired: HeldAttempt[] = [];
    for (;;) {
      const next = this.#expiry.peek();
      if (!next || next.atMs > nowMs) return expired;
      this.#expiry.pop();
      const { held } = next;
      if (this.#held.get(held.attemptId) !== held) continue;
      if (held.expiresAtMs > nowMs) {
        this.#expiry.push({ atMs: held.expiresAtMs, held });
        continue;
      }
      this.#held.delete(held.attemptId);
      expired.push(held);
    }
  }
  values(): IterableIterator<HeldAttempt> {
    return this.#held.values();
  }
}
