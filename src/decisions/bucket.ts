/**
 * A token bucket for rates and budgets.
 *
 * @module
 */

/** Fills by `perMs` up to `most`; starts full. */
export class Bucket {
  #perMs: number;
  #most: number;
  #level: number;
  #atMs: number;

  constructor(perMs: number, most: number, nowMs: number) {
    this.#perMs = perMs;
    this.#most = most;
    this.#level = most;
    this.#atMs = nowMs;
  }

  /** Changes the limits and keeps what was used: an edit of the table must not hand out a second burst. */
  resize(perMs: number, most: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#level += most - this.#most;
    this.#level = Math.min(this.#level, most);
    this.#perMs = perMs;
    this.#most = most;
  }

  has(amount: number, nowMs: number): boolean {
    this.#fill(nowMs);
    // An amount above the bucket's size could never pass; it may when the bucket is full.
    return this.#level >= Math.min(amount, this.#most);
  }

  /** What is left; below zero while takers wait. */
  levelAt(nowMs: number): number {
    this.#fill(nowMs);
    return this.#level;
  }

  /** Takes the amount; the level may fall below zero, and later takers wait for it. */
  take(amount: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#level -= amount;
  }

  /** Gives back what was taken and not used. */
  refund(amount: number): void {
    this.#level = Math.min(this.#most, this.#level + amount);
  }

  /** When `has(amount)` will hold if nothing else is taken. */
  readyAtMs(amount: number, nowMs: number): number {
    this.#fill(nowMs);
    const missing = Math.min(amount, this.#most) - this.#level;
    if (missing <= 0) return nowMs;
    return this.#perMs > 0 ? nowMs + missing / this.#perMs : Infinity;
  }

  #fill(nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#atMs);
    this.#level = Math.min(this.#most, this.#level + passedMs * this.#perMs);
    this.#atMs = Math.max(this.#atMs, nowMs);
  }
}
