/**
 * Estimates how fast the engines of a service read prompts and generate tokens, from the streams that pass through.
 *
 * An engine reads (prefills) prompts in chunks between its generation steps, so its streams pause while it reads.
 * Placement uses three estimates: the rate of reading, the gap between two events of a stream while the engine reads
 * nothing, and the gap while it reads without a break. Engines differ tenfold in each of these, and the same engines
 * change with their load, so the code fixes only initial values.
 *
 * @module
 */

/** Initial estimates, between those of small and large engines. A dozen streams replace them. */
const INITIAL_READ_PER_MS = 60;
const INITIAL_QUIET_GAP_MS = 30;
const INITIAL_BUSY_GAP_MS = 300;
const INITIAL_PROMPT_TOKENS = 4_000;
/** Number of running requests at which the initial quiet gap is assumed to have been observed. */
const INITIAL_RUNNING = 20;
/**
 * Initial estimate of the gap that one more running request adds, and its weight. The weight is the variance of the
 * running requests at which observations count as much as the initial value.
 */
const INITIAL_GROWTH_MS = 0.5;
const GROWTH_PRIOR_WEIGHT = 100;
const MIN_GROWTH_MS = 0.05;
/**
 * Weight of one sample in the moving averages. The last twenty samples or so determine an average, which one VM's
 * streams deliver in a second or two.
 */
const SAMPLE_WEIGHT = 0.05;
/** The busy gap is estimated at this quantile, because a stream is late by its longest gap and not by its usual one. */
const BUSY_QUANTILE = 0.95;
/** Prompts with fewer tokens start too fast to show the rate of reading: a step of the batch takes as long. */
const MIN_RATE_SAMPLE_TOKENS = 4_000;
/** The estimated busy gap varies by about a tenth around its quantile; it has to exceed an allowed gap by more. */
const EXCESS_FACTOR = 1.15;
/**
 * Reading that takes this long spans several steps of each stream on the engine, so that the gaps of the streams show
 * its effect.
 */
const MIN_BUSY_READ_MS = 250;
/** A longer gap shows that the engine has stopped, and not how fast it is. */
const MAX_GAP_MS = 2_000;

/** Estimates the speed of a service's engines. Each VM has one instance per service. */
export class EnginePace {
  #readPerMs = INITIAL_READ_PER_MS;
  #quietGapMs = INITIAL_QUIET_GAP_MS;
  #busyGapMs = INITIAL_BUSY_GAP_MS;
  #meanPromptTokens = INITIAL_PROMPT_TOKENS;
  /** Mean and variance of the number of running requests at quiet gaps, and its covariance with the gaps. */
  #meanRunning = INITIAL_RUNNING;
  #runningVariance = 0;
  #covarianceMs = 0;

  /** Average number of prompt tokens that a request makes an engine read. */
  get meanPromptTokens(): number {
    return Math.max(1, this.#meanPromptTokens);
  }

  /** Notes the prompt tokens of a request that is sent. */
  noteSend(promptTokens: number): void {
    this.#meanPromptTokens += SAMPLE_WEIGHT *
      (promptTokens - this.#meanPromptTokens);
  }

  /**
   * Notes that a stream's first event came `ms` after the send. In that time the engine read `tokens`, of this prompt
   * and of those before it.
   */
  noteFirstEvent(tokens: number, ms: number): void {
    if (tokens < MIN_RATE_SAMPLE_TOKENS || ms <= 0) return;
    // Fixed steps track the median. A cold, lost or misreporting engine moves it no further than a healthy one, however
    // far off its sample is.
    if (tokens / ms > this.#readPerMs) this.#readPerMs *= 1 + SAMPLE_WEIGHT;
    else this.#readPerMs /= 1 + SAMPLE_WEIGHT;
  }

  /**
   * Notes a gap between two events of a stream, while `waitingTokens` of prompts waited and `running` requests ran on
   * its engine.
   */
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

  /** Estimated number of tokens that an engine reads in a ms. */
  get readPerMs(): number {
    return this.#readPerMs;
  }

  /** Estimated time that an engine needs to read this many tokens. */
  readMs(tokens: number): number {
    return tokens / this.#readPerMs;
  }

  /**
   * Whether the gaps of a stream can exceed `gapMs` at all. If an engine that reads without a break keeps within it,
   * reading does no harm and nothing has to be done about it.
   */
  canExceedGap(gapMs: number): boolean {
    return gapMs > 0 && this.#busyGapMs > gapMs * EXCESS_FACTOR;
  }

  /** Estimated longest gap between two events of a stream while `waitingTokens` of prompts wait at its engine. */
  maxGapMs(waitingTokens: number): number {
    return Math.max(
      this.#quietGapMs,
      Math.min(
        this.#quietGapMs + this.readMs(waitingTokens),
        this.#busyGapMs,
      ),
    );
  }

  /**
   * Estimated number of running requests at which the gap between events is `gapMs` while nothing is read. It lies on
   * the regression line through the observed gaps.
   */
  runningAtGap(gapMs: number): number {
    return this.#meanRunning +
      (gapMs - this.#quietGapMs) / this.#gapPerRequestMs();
  }

  /** Estimated gap that one more running request adds. */
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
