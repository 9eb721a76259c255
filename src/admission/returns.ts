/**
 * Return times of refused callers, and the memory of those that return when told.
 *
 * @module
 */

import { MAX_DELAY_MS, ReturnCalendar } from "./return_calendar.ts";

/** A sooner retry finds the same state: the lead hears of ended requests only by the reports of its VMs. */
const MIN_DELAY_MS = 50;
/** Share of the time left that callers agree to wait. */
const MAX_DELAY_SHARE = 1 / 3;
/**
 * If the foreseen wait exceeds the longest delay: the share of that delay after which callers start to return. They are
 * spread over the rest.
 */
const FORCED_DELAY_SHARE = 0.5;
/** How much too early a caller may return, for a timer that fires early and clocks that differ. */
const EARLY_TOLERANCE_MS = 20;
/**
 * How late a caller may return, for the way to the gateway. A new connection whose first packet is lost takes a second
 * more.
 */
const LATE_TOLERANCE_MS = 2_000;

/** A caller that is refused for lack of capacity. */
export interface RefusedCaller {
  /** Identifies the request across attempts; `undefined` if it can't be recognised. */
  readonly fingerprint: string | undefined;
  readonly arrivedMs: number;
  /** Time until the caller's deadline. */
  readonly leftMs: number;
}

/** What is foreseen for a request that is refused. */
export interface CapacityForecast {
  /** Time until the request would have got a place. */
  readonly waitMs: number;
  readonly placesPerS: number;
}

interface Expected {
  readonly arrivedMs: number;
  readonly returnMs: number;
}

/**
 * Tells refused callers when to return, and recognises those that do. Callers refused together return one after the
 * other at the rate at which places come free, from the time at which those ahead of them have places. If some have to
 * return sooner, as they have little time left, these are spread over that time.
 */
export class ReturnSchedule {
  readonly #maxEntries: number;
  readonly #calendar = new ReturnCalendar();
  /** By fingerprint, in order of refusal. */
  readonly #expected = new Map<string, Expected>();
  #nowMs = 0;

  constructor(limits: { readonly maxEntries: number }) {
    this.#maxEntries = limits.maxEntries;
  }

  /** Number of callers that are expected to return. */
  get size(): number {
    return this.#expected.size;
  }

  /** Delay after which a refused caller should retry, in ms. */
  refuse(
    caller: RefusedCaller,
    forecast: CapacityForecast,
    nowMs: number,
  ): number {
    this.#advance(nowMs);
    const delayMs = this.#delayMs(caller.leftMs, forecast);
    this.#expect(caller, this.#nowMs + delayMs);
    return delayMs;
  }

  /** First arrival of a caller that returned when told; `undefined` for all others. Counts once. */
  claim(fingerprint: string, nowMs: number): number | undefined {
    this.#advance(nowMs);
    const expected = this.#expected.get(fingerprint);
    if (!expected) return undefined;
    this.#expected.delete(fingerprint);
    const lateMs = this.#nowMs - expected.returnMs;
    const isWhenTold = lateMs >= -EARLY_TOLERANCE_MS &&
      lateMs <= LATE_TOLERANCE_MS;
    return isWhenTold ? expected.arrivedMs : undefined;
  }

  #delayMs(leftMs: number, { waitMs, placesPerS }: CapacityForecast): number {
    const maxMs = clamp(leftMs * MAX_DELAY_SHARE, MIN_DELAY_MS, MAX_DELAY_MS);
    const isForced = !(waitMs <= maxMs);
    const fromMs = isForced
      ? forcedDelayMs(maxMs)
      : Math.max(waitMs, MIN_DELAY_MS);
    const untilMs = this.#nowMs + maxMs;
    const intervalMs = Math.min(1_000 / placesPerS, MAX_DELAY_MS);
    const ownMs = placesPerS > 0
      ? this.#calendar.takeInterval(this.#nowMs + fromMs, untilMs, intervalMs)
      : undefined;
    const returnMs = ownMs ?? this.#calendar.takeLeastUsed(
      this.#nowMs + Math.min(fromMs, forcedDelayMs(maxMs)),
      untilMs,
    );
    return clamp(Math.floor(returnMs - this.#nowMs), MIN_DELAY_MS, maxMs);
  }

  #expect({ fingerprint, arrivedMs }: RefusedCaller, returnMs: number): void {
    if (fingerprint === undefined) return;
    this.#expected.delete(fingerprint);
    this.#expected.set(fingerprint, { arrivedMs, returnMs });
    for (const oldest of this.#expected.keys()) {
      if (this.#expected.size <= this.#maxEntries) break;
      this.#expected.delete(oldest);
    }
  }

  /** Also forgets the callers that did not return. One that was refused before them may still keep them for a while. */
  #advance(nowMs: number): void {
    if (nowMs > this.#nowMs) this.#nowMs = nowMs;
    this.#calendar.advance(this.#nowMs);
    for (const [fingerprint, { returnMs }] of this.#expected) {
      if (this.#nowMs - returnMs <= LATE_TOLERANCE_MS) break;
      this.#expected.delete(fingerprint);
    }
  }
}

/** Limits a number to a range; NaN becomes the least. */
function clamp(value: number, least: number, most: number): number {
  return value > least ? Math.min(value, most) : least;
}

function forcedDelayMs(maxMs: number): number {
  return Math.max(maxMs * FORCED_DELAY_SHARE, MIN_DELAY_MS);
}
