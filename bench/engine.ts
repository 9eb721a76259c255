/**
 * A model engine in virtual time: continuous batching with a token budget a step, chunked prefill in order of priority
 * and arrival, and a bounded prefix cache that evicts what was used least recently.
 *
 * @module
 */

import type { Sim } from "./sim.ts";

/** Tokens a step may take: prefill chunks get what the running answers leave. */
const STEP_TOKENS = 512;
/** Time a step takes whatever it holds. */
const STEP_BASE_MS = 4;
/** Tokens in a block of the prefix cache. */
export const BLOCK_TOKENS = 256;

/** Rates and bounds of an engine. */
export interface EngineOptions {
  readonly id: string;
  readonly slots: number;
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
  readonly cacheBlocks: number;
}

/** A request as an engine gets it. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixHashes: readonly number[];
  /** Higher is admitted and prefilled first. */
  readonly priority: number;
  readonly onFirst: (cachedTokens: number) => void;
  readonly onDone: () => void;
  readonly onFail: () => void;
}

interface Running {
  readonly job: EngineJob;
  readonly cached: number;
  prefillLeft: number;
  outputLeft: number;
}

/** See the module. */
export class Engine {
  readonly options: EngineOptions;
  /** Factor of every step's time. */
  slow = 1;
  dead = false;
  /** Accepts connections and answers nothing. */
  silent = false;
  parked = false;
  busyMs = 0;
  readonly #sim: Sim;
  readonly #tokenMs: number;
  #waiting: EngineJob[] = [];
  #running: Running[] = [];
  #stepping = false;
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
  /** Time until a running answer ends, at the present speed. */
  get slotMs(): number {
    const left = Math.min(...this.#running.map((r) => r.outputLeft));
    return left * (STEP_BASE_MS + this.running * this.#tokenMs) * this.slow;
  }
  /** Tokens still to prefill, as the engine itself knows them. */
  get prefillLeft(): number {
    let sum = 0;
    for (const r of this.#running) sum += r.prefillLeft;
    for (const job of this.#waiting) {
      sum += job.promptTokens - this.cachedTokens(job);
    }
    return sum;
  }
  /** Time to the first token of this job, as the engine itself would know it. */
  firstTokenMs(job: Pick<EngineJob, "promptTokens" | "prefixHashes">): number {
    const own = job.promptTokens - this.cachedTokens(job);
    const chunk = STEP_TOKENS - this.running;
    const steps = Math.ceil((this.prefillLeft + own) / chunk);
    const perStep = STEP_BASE_MS + this.running * this.#tokenMs;
    const prefill = ((this.prefillLeft + own) /
      this.options.prefillTokensPerS) * 1000;
    return (prefill + steps * perStep) * this.slow;
  }
  cachedTokens(
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
    if (!this.silent) this.#start();
  }
  cancel(id: string): void {
    this.#waiting = this.#waiting.filter((job) => job.id !== id);
    this.#running = this.#running.filter((r) => r.job.id !== id);
  }
  /** Stops and loses all it holds. */
  die(): void {
    this.dead = true;
    const lost = [...this.#running.map((r) => r.job), ...this.#waiting];
    this.#running = [];
    this.#waiting = [];
    this.#cache.clear();
    for (const job of lost) job.onFail();
  }
  revive(): void {
    this.dead = false;
    this.silent = false;
    this.#start();
  }

  #start(): void {
    if (this.#stepping) return;
    this.#stepping = true;
    this.#step();
  }

  #step(): void {
    this.#admit();
    if (this.#running.length === 0 || this.dead || this.silent) {
      this.#stepping = false;
      return;
    }
    const decoding = this.#running.filter((r) => r.prefillLeft === 0);
    let budget = Math.max(1, STEP_TOKENS - decoding.length);
    const chunks: [Running, number][] = [];
    const prefilling = this.#running.filter((r) => r.prefillLeft > 0)
      .sort((a, b) => b.job.priority - a.job.priority);
    for (const r of prefilling) {
      if (budget === 0) break;
      const chunk = Math.min(budget, r.prefillLeft);
      chunks.push([r, chunk]);
      budget -= chunk;
    }
    const prefilled = chunks.reduce((sum, [, chunk]) => sum + chunk, 0);
    const ms = this.slow * (STEP_BASE_MS + decoding.length * this.#tokenMs +
      (prefilled / this.options.prefillTokensPerS) * 1000);
    this.busyMs += ms;
    this.#sim.after(ms, () => {
      this.#finish(decoding, chunks);
      this.#step();
    });
  }

  #finish(decoding: Running[], chunks: [Running, number][]): void {
    const live = new Set(this.#running);
    for (const [r, chunk] of chunks) {
      if (!live.has(r)) continue;
      r.prefillLeft -= chunk;
      if (r.prefillLeft > 0) continue;
      this.#remember(r.job.prefixHashes);
      r.job.onFirst(r.cached);
      r.outputLeft--;
    }
    for (const r of decoding) if (live.has(r)) r.outputLeft--;
    const done = this.#running.filter((r) =>
      r.prefillLeft === 0 && r.outputLeft <= 0
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
      const cached = this.cachedTokens(job);
      this.#running.push({
        job,
        cached,
        prefillLeft: Math.max(1, job.promptTokens - cached),
        outputLeft: Math.max(1, job.outputTokens),
      });
    }
  }

  #remember(hashes: readonly number[]): void {
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
