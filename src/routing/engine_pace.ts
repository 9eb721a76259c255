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
const FIRST_QUIET_GAP_MS = 30;
const FIRST_BUSY_GAP_MS = 300;
const FIRST_PROMPT_TOKENS = 4_000;
/** Requests beside which the first gap above is taken to have been seen. */
const FIRST_RUNNING = 20;
/** What one more running request adds to a gap, to start from, and how many samples' spread it takes to change it. */
const FIRST_GROWTH_MS = 0.5;
const GROWTH_INERTIA = 100;
const LEAST_GROWTH_MS = 0.05;
/** Weight of one sample: the last twenty or so decide, a second or two of one VM's streams. */
const SAMPLE_WEIGHT = 0.05;
/** The busy gap is followed at this quantile: a stream is late by its longest pause, not by its usual one. */
const BUSY_QUANTILE = 0.95;
/** Prompts below this many tokens start too fast to tell the rate: a step of the batch takes as long. */
const LEAST_RATE_TOKENS = 4_000;
/** The busy gap swings by some tenth about its quantile; an allowed pause must be exceeded by more. */
const EXCESS_SHARE = 1.15;
/** Reading for this long goes on through several steps of each stream beside it, so that its pauses show what it does. */
const LONG_READING_MS = 250;
/** A gap of this length says that the engine stopped, not how fast it is. */
const MOST_GAP_MS = 2_000;

/** See the module. One for each service and VM. */
export class EnginePace {
  #readPerMs = FIRST_READ_PER_MS;
  #quietGapMs = FIRST_QUIET_GAP_MS;
  #busyGapMs = FIRST_BUSY_GAP_MS;
  #promptTokens = FIRST_PROMPT_TOKENS;
  /** Mean, spread and common spread of the requests beside which quiet gaps were seen. */
  #running = FIRST_RUNNING;
  #runningSpread = 0;
  #commonSpread = 0;

  /** Prompt tokens that a usual request makes an engine read. */
  get promptTokens(): number {
    return Math.max(1, this.#promptTokens);
  }

  /** Notes a request that is sent. */
  noteSend(promptTokens: number): void {
    this.#promptTokens += SAMPLE_WEIGHT * (promptTokens - this.#promptTokens);
  }

  /** Notes a first event `ms` after the send; until then the engine read `tokens`, of this prompt and those before it. */
  noteFirstEvent(tokens: number, ms: number): void {
    if (tokens < LEAST_RATE_TOKENS || ms <= 0) return;
    // The median is followed by steps: a cold, lost or lying engine, however far off, moves it no more than a sound one.
    if (tokens / ms > this.#readPerMs) this.#readPerMs *= 1 + SAMPLE_WEIGHT;
    else this.#readPerMs /= 1 + SAMPLE_WEIGHT;
  }

  /** Notes a gap between two events of a stream that ran beside `waitingTokens` of prompts and `running` requests. */
  noteGap(waitingTokens: number, running: number, ms: number): void {
    if (ms > MOST_GAP_MS || ms <= 0) return;
    if (waitingTokens === 0) {
      this.#noteQuietGap(running, ms);
      return;
    }
    if (this.readMs(waitingTokens) < LONG_READING_MS) return;
    const up = ms > this.#busyGapMs ? BUSY_QUANTILE : BUSY_QUANTILE - 1;
    this.#busyGapMs *= 1 + SAMPLE_WEIGHT * up;
  }

  /** Time that reading this many tokens takes. */
  readMs(tokens: number): number {
    return tokens / this.#readPerMs;
  }

  /**
   * Whether a stream that may pause for `gapMs` can come to pause longer at all. Where an engine that reads without a
   * break keeps within it, reading does no harm, and nothing need be done against it.
   */
  canExceed(gapMs: number): boolean {
    return gapMs > 0 && this.#busyGapMs > gapMs * EXCESS_SHARE;
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

  /** Requests side by side at which an event takes `gapMs` while nothing is read, by the line through what was seen. */
  runningAt(gapMs: number): number {
    return this.#running + (gapMs - this.#quietGapMs) / this.#growthMs();
  }

  /** Gap that one more running request adds. */
  #growthMs(): number {
    const growthMs = (this.#commonSpread + GROWTH_INERTIA * FIRST_GROWTH_MS) /
      (this.#runningSpread + GROWTH_INERTIA);
    return Math.max(LEAST_GROWTH_MS, growthMs);
  }

  #noteQuietGap(running: number, ms: number): void {
    const beyond = running - this.#running;
    const gapBeyondMs = ms - this.#quietGapMs;
    this.#runningSpread += SAMPLE_WEIGHT *
      (beyond * beyond - this.#runningSpread);
    this.#commonSpread += SAMPLE_WEIGHT *
      (beyond * gapBeyondMs - this.#commonSpread);
    this.#running += SAMPLE_WEIGHT * beyond;
    this.#quietGapMs += SAMPLE_WEIGHT * gapBeyondMs;
  }

  dump(): unknown {
    return {
      promptTokens: this.#promptTokens,
      running: this.#running,
      growthMs: this.#growthMs(),
      readPerMs: this.#readPerMs,
      quietGapMs: this.#quietGapMs,
      busyGapMs: this.#busyGapMs,
    };
  }
}
