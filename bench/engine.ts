/**
 * A simulated model engine in virtual time: continuous batching with a token budget per step, chunked prefill in order
 * of priority and arrival, and a bounded prefix cache that evicts the least recently used block.
 *
 * @module
 */

import type { Sim } from "./sim.ts";

/** Token budget of a step. Prefill chunks get what the decoding jobs leave. */
const MAX_STEP_TOKENS = 512;
/** Fixed time of a step, whatever it processes. */
const STEP_BASE_MS = 4;
/** Tokens in a block of the prefix cache. */
export const BLOCK_TOKENS = 256;

/** Rates and limits of an engine. */
export interface EngineOptions {
  readonly id: string;
  readonly slots: number;
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
  readonly cacheBlocks: number;
}

/** A request as submitted to an engine. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixHashes: readonly number[];
  /** Jobs with a higher priority are admitted and prefilled first. */
  readonly priority: number;
  readonly onFirstToken: (cachedTokens: number) => void;
  readonly onDone: () => void;
  readonly onFail: () => void;
}

interface RunningJob {
  readonly job: EngineJob;
  readonly cachedTokens: number;
  prefillTokensLeft: number;
  outputTokensLeft: number;
}

/** Runs jobs in steps and keeps the prefix cache. */
export class Engine {
  readonly options: EngineOptions;
  /** Factor by which every step takes longer. */
  slowdown = 1;
  isDead = false;
  /** Accepts requests but never answers. */
  isSilent = false;
  isParked = false;
  busyMs = 0;
  readonly #sim: Sim;
  readonly #tokenMs: number;
  #waiting: EngineJob[] = [];
  #running: RunningJob[] = [];
  #isStepping = false;
  readonly #cache = new Map<number, true>();

  constructor(sim: Sim, options: EngineOptions) {
    this.#sim = sim;
    this.options = options;
    const { slots, decodeTokensPerS } = options;
    this.#tokenMs = Math.max(0, 1000 / decodeTokensPerS - STEP_BASE_MS / slots);
  }

  get running(): number {
    return this.#running.length;
  }
  get waiting(): number {
    return this.#waiting.length;
  }
  /** Estimated time until the first running job ends, at the current speed. */
  get slotFreeMs(): number {
    const minTokensLeft = Math.min(
      ...this.#running.map((r) => r.outputTokensLeft),
    );
    return minTokensLeft * (STEP_BASE_MS + this.running * this.#tokenMs) *
      this.slowdown;
  }
  /** Tokens still to prefill in all jobs, from the engine's own state. */
  get prefillTokensLeft(): number {
    let sum = 0;
    for (const r of this.#running) sum += r.prefillTokensLeft;
    for (const job of this.#waiting) {
      sum += job.promptTokens - this.countCachedTokens(job);
    }
    return sum;
  }
  /** Estimates the time to the first token of this job from the engine's own state. */
  estimateFirstTokenMs(
    job: Pick<EngineJob, "promptTokens" | "prefixHashes">,
  ): number {
    const ownTokens = job.promptTokens - this.countCachedTokens(job);
    const chunkTokens = MAX_STEP_TOKENS - this.running;
    const steps = Math.ceil((this.prefillTokensLeft + ownTokens) / chunkTokens);
    const stepMs = STEP_BASE_MS + this.running * this.#tokenMs;
    const prefillMs = ((this.prefillTokensLeft + ownTokens) /
      this.options.prefillTokensPerS) * 1000;
    return (prefillMs + steps * stepMs) * this.slowdown;
  }
  countCachedTokens(
    job: Pick<EngineJob, "promptTokens" | "prefixHashes">,
  ): number {
    let blocks = 0;
    for (const hash of job.prefixHashes) {
      if (!this.#cache.has(hash)) break;
      blocks++;
    }
    return Math.min(blocks * BLOCK_TOKENS, job.promptTokens - 1);
  }

  submit(job: EngineJob): void {
    this.#waiting.push(job);
    this.#waiting.sort((a, b) => b.priority - a.priority);
    if (!this.isSilent) this.#startSteps();
  }
  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((job) => job.id !== id);
    this.#running = this.#running.filter((r) => r.job.id !== id);
  }
  /** Stops the engine, fails all its jobs and clears its cache. */
  crash(): void {
    this.isDead = true;
    const lost = [...this.#running.map((r) => r.job), ...this.#waiting];
    this.#running = [];
    this.#waiting = [];
    this.#cache.clear();
    for (const job of lost) job.onFail();
  }
  restart(): void {
    this.isDead = false;
    this.isSilent = false;
    this.#startSteps();
  }

  #startSteps(): void {
    if (this.#isStepping) return;
    this.#isStepping = true;
    this.#step();
  }

  #step(): void {
    this.#admit();
    if (this.#running.length === 0 || this.isDead || this.isSilent) {
      this.#isStepping = false;
      return;
    }
    const decoding = this.#running.filter((r) => r.prefillTokensLeft === 0);
    let tokensLeft = Math.max(1, MAX_STEP_TOKENS - decoding.length);
    const chunks: [RunningJob, number][] = [];
    const prefilling = this.#running.filter((r) => r.prefillTokensLeft > 0)
      .sort((a, b) => b.job.priority - a.job.priority);
    for (const r of prefilling) {
      if (tokensLeft === 0) break;
      const chunk = Math.min(tokensLeft, r.prefillTokensLeft);
      chunks.push([r, chunk]);
      tokensLeft -= chunk;
    }
    const prefillTokens = chunks.reduce((sum, [, chunk]) => sum + chunk, 0);
    const stepMs = this.slowdown *
      (STEP_BASE_MS + decoding.length * this.#tokenMs +
        (prefillTokens / this.options.prefillTokensPerS) * 1000);
    this.busyMs += stepMs;
    this.#sim.after(stepMs, () => {
      this.#finishStep(decoding, chunks);
      this.#step();
    });
  }

  #finishStep(decoding: RunningJob[], chunks: [RunningJob, number][]): void {
    const live = new Set(this.#running);
    for (const [r, chunk] of chunks) {
      if (!live.has(r)) continue;
      r.prefillTokensLeft -= chunk;
      if (r.prefillTokensLeft > 0) continue;
      this.#cachePrefix(r.job.prefixHashes);
      r.job.onFirstToken(r.cachedTokens);
      r.outputTokensLeft--;
    }
    for (const r of decoding) if (live.has(r)) r.outputTokensLeft--;
    const done = this.#running.filter((r) =>
      r.prefillTokensLeft === 0 && r.outputTokensLeft <= 0
    );
    if (done.length === 0) return;
    const gone = new Set(done);
    this.#running = this.#running.filter((r) => !gone.has(r));
    for (const r of done) r.job.onDone();
  }

  #admit(): void {
    while (
      this.#running.length < this.options.slots && this.#waiting.length > 0
    ) {
      const job = this.#waiting.shift()!;
      const cachedTokens = this.countCachedTokens(job);
      this.#running.push({
        job,
        cachedTokens,
        prefillTokensLeft: Math.max(1, job.promptTokens - cachedTokens),
        outputTokensLeft: Math.max(1, job.outputTokens),
      });
    }
  }

  #cachePrefix(hashes: readonly number[]): void {
    for (let i = hashes.length - 1; i >= 0; i--) {
      this.#cache.delete(hashes[i]);
      this.#cache.set(hashes[i], true);
    }
    for (const oldest of this.#cache.keys()) {
      if (this.#cache.size <= this.options.cacheBlocks) break;
      this.#cache.delete(oldest);
    }
  }
}
