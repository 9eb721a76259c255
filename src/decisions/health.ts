/**
 * Health of one upstream: set aside when it fails, is silent or far slower than its peers; probed; returned by a ramp.
 *
 * @module
 */

/** How an upstream is treated: `ok` by its limit, `aside` by single probes, `ramp` by a limit that doubles. */
export type HealthState = "ok" | "aside" | "ramp";

/** Failures in a row after the request was sent that set an upstream aside: one may be the request's own fault. */
const EJECT_FAILURES = 2;
/** First and longest pause between probes. The first is short, as most faults are restarts; it doubles each time. */
const MIN_PROBE_INTERVAL_MS = 1000;
const MAX_PROBE_INTERVAL_MS = 15_000;
/** A returning upstream's limit starts here and doubles each step: its cache is cold, and it may fail again. */
const RAMP_START_LIMIT = 2;
const RAMP_STEP_MS = 500;
/** Factor of the limit on a first token far later than predicted; applied once in {@link SHRINK_INTERVAL_MS}. */
const SHRINK_FACTOR = 0.7;
const SHRINK_INTERVAL_MS = 500;
/** A first token later than this many times its prediction says that the upstream is overloaded. */
const LATE_RATIO = 3;

/** See the module. */
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

  /** Attempts it may run side by side now. */
  limit(nowMs: number): number {
    if (this.#state === "aside") return 0;
    if (this.#state === "ok") return Math.floor(this.#limit);
    const steps = Math.floor((nowMs - this.#rampStartMs) / RAMP_STEP_MS);
    const ramp = RAMP_START_LIMIT * 2 ** Math.min(steps, 30);
    if (ramp >= this.#limit) this.#state = "ok";
    return Math.floor(Math.min(ramp, this.#limit));
  }

  /** Whether a probe is due: one request at a time, so that an upstream still ill costs one caller and not many. */
  isProbeDue(nowMs: number): boolean {
    return this.#state === "aside" && !this.#isProbeInFlight &&
      nowMs >= this.#probeAtMs;
  }
  /** Whether it can take a request now or soon. */
  isUsable(nowMs: number): boolean {
    return this.#state !== "aside" || this.isProbeDue(nowMs);
  }
  recordProbe(): void {
    this.#isProbeInFlight = true;
  }

  /** A first token came, `ratio` times as late as predicted. */
  recordFirstToken(ratio: number, nowMs: number): void {
    this.#failuresInRow = 0;
    if (ratio > LATE_RATIO) this.#shrink(nowMs);
    else this.#limit = Math.min(this.#slots, this.#limit + 0.25);
  }

  recordProbeEnd(): void {
    this.#isProbeInFlight = false;
  }

  /** It refused an attempt without running it: it is fuller than its limit says. */
  recordRefusal(nowMs: number): void {
    this.#shrink(nowMs);
  }

  /** An attempt failed. Returns whether the upstream ought to be set aside. */
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

  /** The probe was answered as fast as by others. */
  restore(nowMs: number): void {
    if (this.#state !== "aside") return;
    this.startRamp(nowMs);
  }

  /** Gets work again little by little. */
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
