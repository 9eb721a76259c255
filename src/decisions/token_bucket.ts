/**
 * A token bucket for rates and budgets.
 *
 * @module
 */

/** Fills by `perMs` up to `most`; starts full. */
export class TokenBucket {
  #perMs: number;
  #capacity: number;
  #level: number;
  #refilledAtMs: number;

  constructor(perMs: number, capacity: number, nowMs: number) {
    this.#perMs = perMs;
    this.#capacity = capacity;
    this.#level = capacity;
    this.#refilledAtMs = nowMs;
  }

  /** Changes the limits and keeps what was used: an edit of the table must not hand out a second burst. */
  resize(perMs: number, capacity: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level += capacity - this.#capacity;
    this.#level = Math.min(this.#level, capacity);
    this.#perMs = perMs;
    this.#capacity = capacity;
  }

  has(amount: number, nowMs: number): boolean {
    this.#refill(nowMs);
    // An amount above the bucket's size could never pass; it may when the bucket is full.
    return this.#level >= Math.min(amount, this.#capacity);
  }

  /** What is left; below zero while takers wait. */
  levelAt(nowMs: number): number {
    this.#refill(nowMs);
    return this.#level;
  }

  /** Takes the amount; the level may fall below zero, and later takers wait for it. */
  take(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level -= amount;
  }

  /** Gives back what was taken and not used. */
  refund(amount: number): void {
    this.#level = Math.min(this.#capacity, this.#level + amount);
  }

  /** When `has(amount)` will hold if nothing else is taken. */
  readyAtMs(amount: number, nowMs: number): number {
    this.#refill(nowMs);
    const missing = Math.min(amount, this.#capacity) - this.#level;
    if (missing <= 0) return nowMs;
    return this.#perMs > 0 ? nowMs + missing / this.#perMs : Infinity;
  }

  #refill(nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#level = Math.min(
      this.#capacity,
      this.#level + passedMs * this.#perMs,
    );
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
  }
}
