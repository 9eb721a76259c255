/**
 * A small timing model of an engine with continuous batching: slots, a prefill rate, and a decode rate that the running
 * requests share. It uses no sockets and no clock.
 *
 * @module
 */

import { estimateTokens } from "./answer.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Capacity and speed of the modelled engine. */
export interface BatchTiming {
  /** Requests that run concurrently. */
  readonly slots: number;
  readonly prefillTokensPerS: number;
  /** Decode rate that all generating requests share. */
  readonly decodeTokensPerS: number;
  /** Maximum decode rate of a single request. */
  readonly streamTokensPerS: number;
  /** Size of the prefix cache. */
  readonly cacheTokens: number;
}

/** A request to the model. A lower `priority` runs first, as in vLLM. */
export interface BatchJob {
  readonly id: number;
  readonly priority: number;
  readonly prompt: string;
  /** Tokens to generate. */
  readonly outputTokens: number;
}

/** A change of a job in one step. `tokens` is the number of newly generated tokens. */
export type BatchEvent =
  | {
    readonly type: "started";
    readonly id: number;
    readonly cachedTokens: number;
  }
  | { readonly type: "tokens"; readonly id: number; readonly tokens: number };

interface RunningJob {
  readonly job: BatchJob;
  prefillTokensLeft: number;
  /** Tokens that the elapsed time allows but that are not generated yet; may be fractional. */
  decodeCredit: number;
  generatedTokens: number;
}

/** The requests that an engine runs, and those that wait for a slot. */
export class Batch {
  readonly #timing: BatchTiming;
  readonly #cache: PrefixCache;
  readonly #running = new Map<number, RunningJob>();
  #waiting: BatchJob[] = [];
  #lastMs = 0;

  /** Creates an idle engine. */
  constructor(timing: BatchTiming) {
    this.#timing = timing;
    this.#cache = new PrefixCache(timing.cacheTokens);
  }

  /** Number of requests in the batch. */
  get running(): number {
    return this.#running.size;
  }
  /** Number of requests that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }
  /** Share of the prefix cache in use, 0 to 1. */
  get cacheUsage(): number {
    return this.#cache.usage;
  }

  /** Queues a job behind the waiting jobs of the same priority. */
  submit(job: BatchJob, nowMs: number): void {
    if (this.running + this.waiting === 0) this.#lastMs = nowMs;
    const insertAt = this.#waiting.findIndex((w) => w.priority > job.priority);
    this.#waiting.splice(insertAt < 0 ? this.waiting : insertAt, 0, job);
  }

  /** Removes a job, whether it waits or runs. */
  cancel(id: number): void {
    this.#waiting = this.#waiting.filter((job) => job.id !== id);
    this.#running.delete(id);
  }

  /** Advances the model to `nowMs`; a `speed` below 1 models a slow engine. */
  step(nowMs: number, speed: number): BatchEvent[] {
    const events: BatchEvent[] = [];
    const elapsedS = Math.max(0, nowMs - this.#lastMs) / 1000 * speed;
    this.#lastMs = nowMs;
    this.#prefill(elapsedS);
    this.#decode(elapsedS, events);
    this.#admit(events);
    return events;
  }

  #admit(events: BatchEvent[]): void {
    while (this.running < this.#timing.slots) {
      const job = this.#waiting.shift();
      if (!job) return;
      const cachedTokens = this.#cache.insert(job.prompt);
      this.#running.set(job.id, {
        job,
        prefillTokensLeft: Math.max(
          1,
          estimateTokens(job.prompt) - cachedTokens,
        ),
        decodeCredit: 0,
        generatedTokens: 0,
      });
      events.push({ type: "started", id: job.id, cachedTokens });
    }
  }

  #prefill(elapsedS: number): void {
    let tokensLeft = this.#timing.prefillTokensPerS * elapsedS;
    for (const running of this.#running.values()) {
      if (tokensLeft <= 0) return;
      const tokens = Math.min(tokensLeft, running.prefillTokensLeft);
      running.prefillTokensLeft -= tokens;
      tokensLeft -= tokens;
    }
  }

  #decode(elapsedS: number, events: BatchEvent[]): void {
    const decoding = [...this.#running.values()].filter((running) =>
      running.prefillTokensLeft <= 0
    );
    const { decodeTokensPerS, streamTokensPerS } = this.#timing;
    const tokensPerS = Math.min(
      streamTokensPerS,
      decodeTokensPerS / decoding.length,
    );
    for (const running of decoding) {
      this.#generate(running, tokensPerS * elapsedS, events);
    }
  }

  #generate(
    running: RunningJob,
    newCredit: number,
    events: BatchEvent[],
  ): void {
    // The end of the prefill yields the first token.
    running.decodeCredit +=
      running.generatedTokens === 0 && running.decodeCredit === 0
        ? 1
        : newCredit;
    const tokensLeft = running.job.outputTokens - running.generatedTokens;
    const tokens = Math.min(tokensLeft, Math.floor(running.decodeCredit));
    if (tokens <= 0) return;
    running.decodeCredit -= tokens;
    running.generatedTokens += tokens;
    events.push({ type: "tokens", id: running.job.id, tokens });
    if (running.generatedTokens >= running.job.outputTokens) {
      this.#running.delete(running.job.id);
    }
  }
}
