/**
 * The rest that an upstream asks one VM for when it refuses a request.
 *
 * @module
 */

/**
 * Longest rest that is kept. An upstream that asks for more is asked again after this time, so that a wrong value does
 * not take it away for hours.
 */
const MAX_REST_MS = 60_000;
/** Share of a rest by which VMs extend it at random, so that they do not all come back at once. */
const SPREAD_SHARE = 0.1;
/**
 * Longest time after a rest in which this VM's share of the upstream's slots grows from one to all. After a shorter rest
 * it takes as long as the rest did.
 */
const MAX_RAMP_MS = 1_000;

/**
 * When this VM may send to an upstream again. The rest is this VM's alone: another VM that has not been refused may find
 * the upstream with room, and learns by one refusal if it has none.
 */
export class UpstreamRest {
  #endMs = -Infinity;
  #rampMs = 0;

  /**
   * Notes a request for rest; `draw` is a random number in [0, 1). A further one may extend the rest and never shortens
   * it. Returns the time that is kept, in ms.
   */
  note(askedMs: number, nowMs: number, draw: number): number {
    const keptMs = Math.min(askedMs, MAX_REST_MS) * (1 + SPREAD_SHARE * draw);
    if (nowMs + keptMs > this.#endMs) {
      this.#endMs = nowMs + keptMs;
      this.#rampMs = Math.min(MAX_RAMP_MS, keptMs);
    }
    return this.#endMs - nowMs;
  }

  /** When the ramp after the rest ends. */
  get rampEndMs(): number {
    return this.#endMs + this.#rampMs;
  }

  /** Time until one more request may be sent, in ms, if this VM has `running` there; 0: now. */
  leftMs(running: number, slots: number, nowMs: number): number {
    if (nowMs < this.#endMs) return this.#endMs - nowMs;
    const rampedMs = nowMs - this.#endMs;
    if (rampedMs >= this.#rampMs) return 0;
    const allowed = Math.max(1, Math.floor(slots * rampedMs / this.#rampMs));
    return running < allowed
      ? 0
      : Math.min(this.#rampMs / Math.max(1, slots), this.#rampMs - rampedMs);
  }
}
