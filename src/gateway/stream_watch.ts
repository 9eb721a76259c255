/**
 * Finds when running streams have to be checked for a move to another engine.
 *
 * A stream moves because prompts wait at its engine. As long as so few wait that no stream's next event can come late,
 * there is nothing to check and no timer runs; {@link StreamWatch} is told where the waiting tokens may have grown.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import { type EnginePace, isGapAtRisk } from "../routing/mod.ts";

/**
 * Interval of the checks while a stream's next event may come late. Streams pause as soon as their engine reads another
 * prompt; the check delays a move by up to a tenth of the shortest allowed pause.
 */
const CHECK_INTERVAL_MS = 25;

/** A running stream that may move. */
export interface WatchedStream {
  readonly upstreamKey: string;
  /** What is known of the speed of its engine. */
  readonly pace: EnginePace;
  /** The longest allowed gap between its events. */
  readonly eventGapMs: number;
  /** Decides whether it moves now. */
  check(): void;
}

/** Checks streams while the gap to their next event may grow too long. */
export class StreamWatch {
  /** By upstream key. */
  readonly #streams = new Map<string, Set<WatchedStream>>();
  readonly #waitingTokens: (upstreamKey: string) => number;
  #clock: Clock | undefined;
  #timer: Timer | undefined;
  #isCheckDue = false;

  /** `waitingTokens` returns the prompt tokens that wait at an upstream. */
  constructor(waitingTokens: (upstreamKey: string) => number) {
    this.#waitingTokens = waitingTokens;
  }

  start(clock: Clock): void {
    this.#clock = clock;
  }

  close(): void {
    this.#clock = undefined;
    this.#stopTimer();
  }

  /** Whether streams are being checked periodically. */
  get isChecking(): boolean {
    return this.#timer !== undefined;
  }

  add(stream: WatchedStream): void {
    const { upstreamKey } = stream;
    const streams = this.#streams.get(upstreamKey);
    if (streams) streams.add(stream);
    else this.#streams.set(upstreamKey, new Set([stream]));
  }

  remove(stream: WatchedStream): void {
    const streams = this.#streams.get(stream.upstreamKey);
    if (!streams?.delete(stream)) return;
    if (streams.size === 0) this.#streams.delete(stream.upstreamKey);
  }

  /** Notes that more prompt tokens may wait at one upstream. */
  noteGrowthAt(upstreamKey: string): void {
    if (this.#streams.has(upstreamKey)) this.#checkSoon();
  }

  /** Notes that more prompt tokens may wait at any upstream, or that engines turned out to be slower. */
  noteGrowth(): void {
    if (this.#streams.size > 0) this.#checkSoon();
  }

  /** Notes that a chunk of a stream arrived while `waitingTokens` waited at its upstream. */
  noteChunk(stream: WatchedStream, waitingTokens: number): void {
    if (this.#timer) return;
    if (isGapAtRisk(waitingTokens, stream.eventGapMs, stream.pace)) {
      this.#checkSoon();
    }
  }

  /** Checks after the present callback, in which loads and streams may still be changing. */
  #checkSoon(): void {
    if (this.#isCheckDue || this.#timer) return;
    this.#isCheckDue = true;
    queueMicrotask(() => {
      this.#isCheckDue = false;
      this.#check();
    });
  }

  #check(): void {
    if (!this.#clock) return;
    if (!this.#checkStreams()) return this.#stopTimer();
    this.#timer ??= this.#clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Returns whether a stream's next event may come late. */
  #checkStreams(): boolean {
    let isAnyAtRisk = false;
    for (const [upstreamKey, streams] of this.#streams) {
      const waitingTokens = this.#waitingTokens(upstreamKey);
      for (const stream of streams) {
        const { eventGapMs, pace } = stream;
        if (!isGapAtRisk(waitingTokens, eventGapMs, pace)) continue;
        isAnyAtRisk = true;
        stream.check();
      }
    }
    return isAnyAtRisk;
  }

  #stopTimer(): void {
    this.#timer?.close();
    this.#timer = undefined;
  }
}
