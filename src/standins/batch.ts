/**
 * A small timing model of a continuously batching engine: slots, a prefill rate, and a decode rate that the running
 * batch shares. It knows no sockets and no clock.
 *
 * @module
 */

import { tokensOf } from "./answer.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** How fast the modelled engine is. */
export interface BatchTiming {
  /** Requests that run side by side. */
  readonly slots: number;
  readonly prefillTokensPerS: number;
  /** Shared by the requests that generate. */
  readonly decodeTokensPerS: number;
  /** Most a single request gets of it. */
  readonly streamTokensPerS: number;
  /** Size of the prefix cache. */
  readonly cacheTokens: number;
}

/** A request to the model. Lower `priority` runs first, as with vLLM. */
export interface BatchJob {
  readonly id: number;
  readonly priority: number;
  readonly prompt: string;
  /** Tokens to generate. */
  readonly outputTokens: number;
}

/** What happened to a job in a step. `tokens` counts the newly generated ones. */
export type BatchEvent =
  | { readonly type: "started"; readonly id: number; readonly warm: number }
  | { readonly type: "tokens"; readonly id: number; readonly tokens: number };

interface Running {
  readonly job: BatchJob;
  prefillLeft: number;
  credit: number;
  done: number;
}

/** The engine's batch and its queue. */
export class Batch {
  readonly #timing: BatchTiming;
  readonly #cache: PrefixCache;
  readonly #running = new Map<number, Running>();
  #waiting: BatchJob[] = [];
  #lastMs = 0;

  /** An idle engine. */
  constructor(timing: BatchTiming) {
    this.#timing = timing;
    this.#cache = new PrefixCache(timing.cacheTokens);
  }

  /** Requests in the batch. */
  get running(): number {
    return this.#running.size;
  }
  /** Requests that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }
  /** Share of the cache in use, 0 to 1. */
  get cacheUsage(): number {
    return this.#cache.usage;
  }

  /** Queues a job behind those of its priority. */
  submit(job: BatchJob, nowMs: number): void {
    if (this.running + this.waiting === 0) this.#lastMs = nowMs;
    const behind = this.#waiting.findIndex((w) => w.priority > job.priority);
    this.#waiting.splice(behind < 0 ? this.waiting : behind, 0, job);
  }

  /** Drops a job wherever it is. */
  cancel(id: number): void {
    this.#waiting = this.#waiting.filter((job) => job.id !== id);
    this.#running.delete(id);
  }

  /** Lets time pass until `nowMs`; `speed` below 1 models a slow engine. */
  step(nowMs: number, speed: number): BatchEvent[] {
    const events: BatchEvent[] = [];
    const spanS = Math.max(0, nowMs - this.#lastMs) / 1000 * speed;
    this.#lastMs = nowMs;
    this.#prefill(spanS);
    this.#decode(spanS, events);
    this.#admit(events);
    return events;
  }

  #admit(events: BatchEvent[]): void {
    while (this.running < this.#timing.slots) {
      const job = this.#waiting.shift();
      if (!job) return;
      const warm = this.#cache.touch(job.prompt);
      this.#running.set(job.id, {
        job,
        prefillLeft: Math.max(1, tokensOf(job.prompt) - warm),
        credit: 0,
        done: 0,
      });
      events.push({ type: "started", id: job.id, warm });
    }
  }

  #prefill(spanS: number): void {
    let budget = this.#timing.prefillTokensPerS * spanS;
    for (const entry of this.#running.values()) {
      if (budget <= 0) return;
      const used = Math.min(budget, entry.prefillLeft);
      entry.prefillLeft -= used;
      budget -= used;
    }
  }

  #decode(spanS: number, events: BatchEvent[]): void {
    const ready = [...this.#running.values()].filter((entry) =>
      entry.prefillLeft <= 0
    );
    const { decodeTokensPerS, streamTokensPerS } = this.#timing;
    const rate = Math.min(streamTokensPerS, decodeTokensPerS / ready.length);
    for (const entry of ready) this.#generate(entry, rate * spanS, events);
  }

  #generate(entry: Running, credit: number, events: BatchEvent[]): void {
    // The first token comes with the end of the prefill.
    entry.credit += entry.done === 0 && entry.credit === 0 ? 1 : credit;
    const left = entry.job.outputTokens - entry.done;
    const tokens = Math.min(left, Math.floor(entry.credit));
    if (tokens <= 0) return;
    entry.credit -= tokens;
    entry.done += tokens;
    events.push({ type: "tokens", id: entry.job.id, tokens });
    if (entry.done >= entry.job.outputTokens) {
      this.#running.delete(entry.job.id);
    }
  }
}
