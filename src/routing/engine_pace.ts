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
const INITIAL_READ_PER_MS = 60;
const INITIAL_QUIET_GAP_MS = 30;
const INITIAL_BUSY_GAP_MS = 300;
const INITIAL_PROMPT_TOKENS = 4_000;
/** Requests beside which the first gap above is taken to have been seen. */
const INITIAL_RUNNING = 20;
/** What one more running request adds to a gap, to start from, and how many samples' spread it takes to change it. */
const INITIAL_GROWTH_MS = 0.5;
const GROWTH_PRIOR_WEIGHT = 100;
const MIN_GROWTH_MS = 0.05;
/** Weight of one sample: the last twenty or so decide, a second or two of one VM's streams. */
const SAMPLE_WEIGHT = 0.05;
/** The busy gap is followed at this quantile: a stream is late by its longest pause, not by its usual one. */
const BUSY_QUANTILE = 0.95;
/** Prompts below this many tokens start too fast to tell the rate: a step of the batch takes as long. */
const MIN_RATE_SAMPLE_TOKENS = 4_000;
/** The busy gap swings by some tenth about its quantile; an allowed pause must be exceeded by more. */
const EXCESS_FACTOR = 1.15;
/** Reading for this long goes on through several steps of each stream beside it, so that its pauses show what it does. */
const MIN_BUSY_READ_MS = 250;
/** A gap of this length says that the engine stopped, not how fast it is. */
const MAX_GAP_MS = 2_000;

/** See the module. One for each service and VM. */
export class EnginePace {
  #readPerMs = INITIAL_READ_PER_MS;
  #quietGapMs = INITIAL_QUIET_GAP_MS;
  #busyGapMs = INITIAL_BUSY_GAP_MS;
  #meanPromptTokens = INITIAL_PROMPT_TOKENS;
  /** Mean, spread and common spread of the requests beside which quiet gaps were seen. */
  #meanRunning = INITIAL_RUNNING;
  #runningVariance = 0;
  #covarianceMs = 0;

  /** Prompt tokens that a usual request makes an engine read. */
  get meanPromptTokens(): number {
    return Math.max(1, this.#meanPromptTokens);
  }

  /** Notes a request that is sent. */
  noteSend(promptTokens: number): void {
    this.#meanPromptTokens += SAMPLE_WEIGHT *
      (promptTokens - this.#meanPromptTokens);
  }

  /** Notes a first event `ms` after the send; until then the engine read `tokens`, of this prompt and those before it. */
  noteFirstEvent(tokens: number, ms: number): void {
    if (tokens < MIN_RATE_SAMPLE_TOKENS || ms <= 0) return;
    // The median is followed by steps: a cold, lost or lying engine, however far off, moves it no more than a sound one.
    if (tokens / ms > this.#readPerMs) this.#readPerMs *= 1 + SAMPLE_WEIGHT;
    else this.#readPerMs /= 1 + SAMPLE_WEIGHT;
  }

  /** Notes a gap between two events of a stream that ran beside `waitingTokens` of prompts and `running` requests. */
  noteGap(waitingTokens: number, running: number, ms: number): void {
    if (ms > MAX_GAP_MS || ms <= 0) return;
    if (waitingTokens === 0) {
      this.#noteQuietGap(running, ms);
      return;
    }
    if (this.readMs(waitingTokens) < MIN_BUSY_READ_MS) return;
    const step = ms > this.#busyGapMs ? BUSY_QUANTILE : BUSY_QUANTILE - 1;
    this.#busyGapMs *= 1 + SAMPLE_WEIGHT * step;
  }

  /** Time that reading this many tokens takes. */
  readMs(tokens: number): number {
    return tokens / this.#readPerMs;
  }

  /**
   * Whether a stream that may pause for `gapMs` can come to pause longer at all. Where an engine that reads without a
   * break keeps within it, reading does no harm, and nothing need be done against it.
   */
  canExceedGap(gapMs: number): boolean {
    return gapMs > 0 && this.#busyGapMs > gapMs * EXCESS_FACTOR;
  }

  /** The longest gap between two events of a stream that runs beside `waitingTokens` of prompts. */
  maxGapMs(waitingTokens: number): number {
    return Math.max(
      this.#quietGapMs,
      Math.min(
        this.#quietGapMs + this.readMs(waitingTokens),
        this.#busyGapMs,
      ),
    );
  }

  /** Requests side by side at which an event takes `gapMs` while nothing is read, by the line through what was seen. */
  runningAtGap(gapMs: number): number {
    return this.#meanRunning +
      (gapMs - this.#quietGapMs) / this.#gapPerRequestMs();
  }

  /** Gap that one more running request adds. */
  #gapPerRequestMs(): number {
    const growthMs =
      (this.#covarianceMs + GROWTH_PRIOR_WEIGHT * INITIAL_GROWTH_MS) /
      (this.#runningVariance + GROWTH_PRIOR_WEIGHT);
    return Math.max(MIN_GROWTH_MS, growthMs);
  }

  #noteQuietGap(running: number, ms: number): void {
    const runningDeviation = running - this.#meanRunning;
    const gapDeviationMs = ms - this.#quietGapMs;
    this.#runningVariance += SAMPLE_WEIGHT *
      (runningDeviation * runningDeviation - this.#runningVariance);
    this.#covarianceMs += SAMPLE_WEIGHT *
      (runningDeviation * gapDeviationMs - this.#covarianceMs);
    this.#meanRunning += SAMPLE_WEIGHT * runningDeviation;
    this.#quietGapMs += SAMPLE_WEIGHT * gapDeviationMs;
  }

  dump(): unknown {
    return {
      promptTokens: this.#meanPromptTokens,
      running: this.#meanRunning,
      growthMs: this.#gapPerRequestMs(),
      readPerMs: this.#readPerMs,
      quietGapMs: this.#quietGapMs,
      busyGapMs: this.#busyGapMs,
    };
  }
}
