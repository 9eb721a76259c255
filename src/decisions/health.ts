/**
 * Health of one upstream. It is ejected when it fails, does not answer or is far slower than its peers. It then gets
 * only probes, and after a good probe its limit is ramped up.
 *
 * @module
 */

/**
 * How an upstream gets work: `ok` up to its limit, `aside` (ejected) by single probes, `ramp` up to a limit that
 * doubles.
 */
export type HealthState = "ok" | "aside" | "ramp";

/**
 * Failures in a row, of attempts that were sent, after which an upstream is ejected: a single one may be the request's
 * own fault.
 */
const EJECT_FAILURES = 2;
/** First and longest interval between probes. The first is short, as most faults are restarts; it doubles each time. */
const MIN_PROBE_INTERVAL_MS = 1000;
const MAX_PROBE_INTERVAL_MS = 15_000;
/** A returning upstream's limit starts at this and doubles each step, as its cache is cold and it may fail again. */
const RAMP_START_LIMIT = 2;
const RAMP_STEP_MS = 500;
/**
 * Factor applied to the limit after a refusal or a first token far later than predicted, once per
 * {@link SHRINK_INTERVAL_MS} at most.
 */
const SHRINK_FACTOR = 0.7;
const SHRINK_INTERVAL_MS = 500;
/** A first token later than this many times its prediction shows that the upstream is overloaded. */
const LATE_RATIO = 3;

/** Tracks the health of an upstream and limits how many attempts it may run. */
export class Health {
  #state: HealthState = "ok";
  #slots: number;
  #limit: number;
  #failuresInRow = 0;
  #probeAtMs = 0;
  #probeIntervalMs = MIN_PROBE_INTERVAL_MS;
  #isProbeInFlight = false;
  #rampStartMs = 0;
  #shrunkAtMs = 0;

  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  get state(): HealthState {
    return this.#state;
  }
  get isProbing(): boolean {
    return this.#state === "aside";
  }

  resize(slots: number): void {
    this.#limit = Math.min(
      slots,
      this.#limit + Math.max(0, slots - this.#slots),
    );
    this.#slots = slots;
  }

  /** Returns how many attempts the upstream may run concurrently now. */
  limit(nowMs: number): number {
    if (this.#state === "aside") return 0;
    if (this.#state === "ok") return Math.floor(this.#limit);
    const steps = Math.floor((nowMs - this.#rampStartMs) / RAMP_STEP_MS);
    const ramp = RAMP_START_LIMIT * 2 ** Math.min(steps, 30);
    if (ramp >= this.#limit) this.#state = "ok";
    return Math.floor(Math.min(ramp, this.#limit));
  }

  /**
   * Whether a probe is due. Only one request probes at a time, so that an upstream that still fails affects one caller
   * and not many.
   */
  isProbeDue(nowMs: number): boolean {
    return this.#state === "aside" && !this.#isProbeInFlight &&
      nowMs >= this.#probeAtMs;
  }
  /** Whether the upstream can take a request now or soon. */
  isUsable(nowMs: number): boolean {
    return this.#state !== "aside" || this.isProbeDue(nowMs);
  }
  recordProbe(): void {
    this.#isProbeInFlight = true;
  }

  /** Records a first token that came `ratio` times as late as predicted. */
  recordFirstToken(ratio: number, nowMs: number): void {
    this.#failuresInRow = 0;
    if (ratio > LATE_RATIO) this.#shrink(nowMs);
    else this.#limit = Math.min(this.#slots, this.#limit + 0.25);
  }

  recordProbeEnd(): void {
    this.#isProbeInFlight = false;
  }

  /** Records that the upstream refused an attempt without running it, so it is fuller than its limit says. */
  recordRefusal(nowMs: number): void {
    this.#shrink(nowMs);
  }

  /** Records a failed attempt. Returns whether the upstream should be ejected. */
  recordFailure(isUnreachable: boolean): boolean {
    this.#isProbeInFlight = false;
    this.#failuresInRow += isUnreachable ? EJECT_FAILURES : 1;
    return this.#failuresInRow >= EJECT_FAILURES;
  }

  eject(nowMs: number): void {
    if (this.#state === "aside") {
      this.#probeIntervalMs = Math.min(
        MAX_PROBE_INTERVAL_MS,
        this.#probeIntervalMs * 2,
      );
    } else if (this.#state === "ok") {
      this.#probeIntervalMs = MIN_PROBE_INTERVAL_MS;
    }
    this.#state = "aside";
    this.#probeAtMs = nowMs + this.#probeIntervalMs;
  }

  /** Puts an ejected upstream back into use, after it answered the probe as fast as the others. */
  restore(nowMs: number): void {
    if (this.#state !== "aside") return;
    this.startRamp(nowMs);
  }

  /** Starts to raise the limit step by step, from {@link RAMP_START_LIMIT}. */
  startRamp(nowMs: number): void {
    this.#state = "ramp";
    this.#rampStartMs = nowMs;
    this.#failuresInRow = 0;
    this.#isProbeInFlight = false;
    this.#limit = this.#slots;
  }

  #shrink(nowMs: number): void {
    if (nowMs - this.#shrunkAtMs < SHRINK_INTERVAL_MS) return;
    this.#shrunkAtMs = nowMs;
    this.#limit = Math.max(1, this.#limit * SHRINK_FACTOR);
  }
}
