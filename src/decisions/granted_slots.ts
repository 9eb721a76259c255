/**
 * The slots a lead has granted, each held until its deadline unless renewed.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import type { HeldAttempt } from "./upstream.ts";

/** See the module. An entry VM that dies renews nothing, so its slots come back without anyone noticing its death. */
export class GrantedSlots {
  readonly #held = new Map<string, HeldAttempt>();
  // An entry may stand under an old deadline; it is put back under its new one when the old one comes.
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
  /** Whether the slot was known, and is now held until `untilMs`. */
  renew(attemptId: string, untilMs: number): boolean {
    const held = this.#held.get(attemptId);
    if (!held) return false;
    held.expiresAtMs = Math.max(held.expiresAtMs, untilMs);
    return true;
  }
  /** Takes out the slots that nobody renewed. */
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
