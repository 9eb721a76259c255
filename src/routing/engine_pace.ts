/**
 * How fast the engines of a service read and generate, learned from the streams that pass through.
 *
 * An engine reads prompts in chunks between the steps of what it generates, so its streams pause while it reads. Three
 * figures describe that for placing: the rate of reading, the gap between two events of a stream while nothing is read,
 * and the gap while reading goes on without a break. Engines differ tenfold in each, and the same ones change with
 * their load, so no figure is written down here but the ones to start from.
 *
 * @module
 */

/** Figures to start from, between those of small and large engines; a dozen streams replace them. */
const FIRST_READ_PER_MS = 60;
const FIRST_QUIET_GAP_MS = 50;
const FIRST_BUSY_GAP_MS = 400;
/** Weight of one sample: the last twenty or so decide, a second or two of one VM's streams. */
const SAMPLE_WEIGHT = 0.05;
/** The busy gap is followed at this quantile: a stream is late by its longest pause, not by its usual one. */
const BUSY_QUANTILE = 0.8;
/** Prompts below this many tokens start too fast to tell the rate: a step of the batch takes as long. */
const LEAST_RATE_TOKENS = 4_000;
/** A sample may be off by this factor at most; beyond it the engine was cold, lost or lying. */
const MOST_OFF = 4;
/** A gap of this length says that the engine stopped, not how fast it is. */
const MOST_GAP_MS = 2_000;

function isCredible(sample: number, believed: number): boolean {
  return sample > believed / MOST_OFF && sample < believed * MOST_OFF;
}

/** See the module. One for each service and VM. */
export class EnginePace {
  #readPerMs = FIRST_READ_PER_MS;
  #quietGapMs = FIRST_QUIET_GAP_MS;
  #busyGapMs = FIRST_BUSY_GAP_MS;

  /** Notes a first event `ms` after the send; until then the engine read `tokens`, of this prompt and those before it. */
  noteFirstEvent(tokens: number, ms: number): void {
    if (tokens < LEAST_RATE_TOKENS || ms <= 0) return;
    const sample = tokens / ms;
    if (!isCredible(sample, this.#readPerMs)) return;
    this.#readPerMs += SAMPLE_WEIGHT * (sample - this.#readPerMs);
  }

  /** Notes a gap between two events of a stream that ran beside `waitingTokens` of prompts. */
  noteGap(waitingTokens: number, ms: number): void {
    if (ms > MOST_GAP_MS || ms <= 0) return;
    if (waitingTokens === 0) {
      this.#quietGapMs += SAMPLE_WEIGHT * (ms - this.#quietGapMs);
      return;
    }
    // Only where reading outlasted the gap does it show the pace of an engine that reads without a break.
    if (this.readMs(waitingTokens) < this.#busyGapMs) return;
    const up = ms > this.#busyGapMs ? BUSY_QUANTILE : BUSY_QUANTILE - 1;
    this.#busyGapMs *= 1 + SAMPLE_WEIGHT * up;
  }

  /** Time that reading this many tokens takes. */
  readMs(tokens: number): number {
    return tokens / this.#readPerMs;
  }

  /** The longest gap between two events of a stream that runs beside `waitingTokens` of prompts. */
  pauseMs(waitingTokens: number): number {
    return Math.max(
      this.#quietGapMs,
      Math.min(
        this.#quietGapMs + this.readMs(waitingTokens),
        this.#busyGapMs,
      ),
    );
  }

  dump(): unknown {
    return {
      readPerMs: this.#readPerMs,
      quietGapMs: this.#quietGapMs,
      busyGapMs: this.#busyGapMs,
    };
  }
}
