/**
 * A token bucket for rates and budgets.
 *
 * @module
 */

/** Refills at `perMs` up to `capacity`; starts full. */
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

  /** Changes rate and capacity and keeps what was used, so that an edit of the table grants no second burst. */
  resize(perMs: number, capacity: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level += capacity - this.#capacity;
    this.#level = Math.min(this.#level, capacity);
    this.#perMs = perMs;
    this.#capacity = capacity;
  }

  /** Changes rate and capacity without giving or taking tokens, but for those that the capacity does not hold. */
  restrict(perMs: number, capacity: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level = Math.min(this.#level, capacity);
    this.#perMs = perMs;
    this.#capacity = capacity;
  }

  /** Leaves out a time in which nothing refills. */
  skip(fromMs: number, toMs: number): void {
    this.#refill(fromMs);
    this.#refilledAtMs = Math.max(this.#refilledAtMs, toMs);
  }

  /** Drops what was left when the bucket was last used; it refills from `nowMs` on. What was overdrawn stays owed. */
  empty(nowMs: number): void {
    this.#level = Math.min(0, this.#level);
    this.#refilledAtMs = nowMs;
  }

  has(amount: number, nowMs: number): boolean {
    this.#refill(nowMs);
    // An amount above the capacity could never pass otherwise; it passes when the bucket is full.
    return this.#level >= Math.min(amount, this.#capacity);
  }

  /** Returns the tokens left; the level is negative while takers have to wait. */
  levelAt(nowMs: number): number {
    this.#refill(nowMs);
    return this.#level;
  }

  /** Takes the amount. The level may fall below zero; later takers then wait until it has refilled. */
  take(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level -= amount;
  }

  /** Returns tokens that were taken and not used. */
  refund(amount: number): void {
    this.#level = Math.min(this.#capacity, this.#level + amount);
  }

  /** Returns the time at which `has(amount)` becomes true if nothing else is taken. */
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
