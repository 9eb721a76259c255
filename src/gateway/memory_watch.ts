/**
 * Watches how much memory this process uses and how late its event loop runs, and logs both before they end it.
 *
 * @module
 */

import { getHeapStatistics } from "node:v8";
import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Log,
  type Messages,
  Task,
  type TaskHost,
} from "../kernel/mod.ts";
import { BYTES_PER_MB } from "./context.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** A heap can fill up within two seconds; the last lines should be from shortly before. */
const CHECK_MS = 250;
/** Checks in which a full heap is collected at least once, so that the least value shows what is still in use. */
const LIVE_CHECKS = 4;
/** Shares of the limit are logged in steps, from the first one on. */
const FIRST_LOGGED_SHARE = 0.7;
const SHARE_STEP = 0.1;

/** Memory of a process at a moment. */
export interface MemoryUse {
  readonly heapBytes: number;
  /** The heap's limit; a process that reaches it ends. */
  readonly heapLimitBytes: number;
  /** Buffers outside the heap. */
  readonly bufferBytes: number;
  /** Memory of the whole process, for which the platform sets the limit. */
  readonly residentBytes: number;
}

/** Reads the memory of this process. */
export function readMemoryUse(): MemoryUse {
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  return {
    heapBytes: heapUsed,
    heapLimitBytes: getHeapStatistics().heap_size_limit,
    bufferBytes: arrayBuffers,
    residentBytes: rss,
  };
}

/** What the watch needs. */
export interface MemoryWatchOptions {
  readonly metrics: GatewayMetrics;
  /** The platform's limit for the process, in bytes. */
  readonly limitBytes: () => number;
  /** What this process holds of messages, by kind, for the log. */
  readonly held: () => Readonly<Record<string, number>>;
  readonly readUse?: () => MemoryUse;
}

/** Rounds to a step of {@link SHARE_STEP}; 0 below the first one that is logged. */
function logLevelOf(share: number): number {
  if (share < FIRST_LOGGED_SHARE) return 0;
  return Math.floor(share / SHARE_STEP);
}

/** Reads the process's memory a few times a second. */
export class MemoryWatch extends Task {
  readonly name = "memory";
  protected readonly handlers: Handlers<Messages> = {};
  readonly #options: MemoryWatchOptions;
  readonly #readUse: () => MemoryUse;
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;
  #use: MemoryUse;
  /** Bytes of the heap at the last checks, the newest last. */
  readonly #heapBytes: number[] = [];
  #dueMonoMs = 0;
  #lagMs = 0;
  #loggedLevel = 0;

  constructor(options: MemoryWatchOptions) {
    super();
    this.#options = options;
    this.#readUse = options.readUse ?? readMemoryUse;
    this.#use = this.#readUse();
    const { metrics } = options;
    metrics.gauge("heap_bytes", "", () => this.#use.heapBytes);
    metrics.gauge("heap_limit_bytes", "", () => this.#use.heapLimitBytes);
    metrics.gauge("buffer_bytes", "", () => this.#use.bufferBytes);
    metrics.gauge("resident_bytes", "", () => this.#use.residentBytes);
    for (const kind of Object.keys(options.held())) {
      metrics.gauge("held", `of="${kind}"`, () => options.held()[kind]);
    }
  }

  start({ clock, log }: TaskHost): Promise<void> {
    this.#clock = clock;
    this.#log = log;
    this.#dueMonoMs = clock.monoMs() + CHECK_MS;
    this.#timer = clock.every(CHECK_MS, () => this.#check());
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return {
      ...this.#use,
      liveHeapShare: this.liveHeapShare,
      lagMs: this.#lagMs,
      held: this.#options.held(),
    };
  }

  /** Share of the heap's limit that is in use apart from garbage, as far as the last second shows. */
  get liveHeapShare(): number {
    if (this.#heapBytes.length < LIVE_CHECKS) return 0;
    return Math.min(...this.#heapBytes) / this.#use.heapLimitBytes;
  }

  #check(): void {
    this.#noteLag();
    this.#use = this.#readUse();
    this.#heapBytes.push(this.#use.heapBytes);
    if (this.#heapBytes.length > LIVE_CHECKS) this.#heapBytes.shift();
    this.#logLevel();
  }

  #noteLag(): void {
    const nowMs = this.#clock.monoMs();
    this.#lagMs = Math.max(0, Math.round(nowMs - this.#dueMonoMs));
    this.#dueMonoMs = nowMs + CHECK_MS;
    this.#options.metrics.recordTime("loop_lag", "", this.#lagMs);
  }

  /** Logs each step up, and that all is well again. */
  #logLevel(): void {
    const { heapBytes, heapLimitBytes, residentBytes } = this.#use;
    const share = Math.max(
      heapBytes / heapLimitBytes,
      residentBytes / this.#options.limitBytes(),
    );
    const level = logLevelOf(share);
    if (level > this.#loggedLevel) this.#log.warn("memory high", this.#fields);
    // One step below, so that garbage that comes and goes isn't logged each time.
    const isWell = this.#loggedLevel > 0 &&
      share < FIRST_LOGGED_SHARE - SHARE_STEP;
    if (isWell) this.#log.info("memory well", this.#fields);
    if (level > this.#loggedLevel || isWell) this.#loggedLevel = level;
  }

  get #fields(): Record<string, unknown> {
    const { heapBytes, heapLimitBytes, bufferBytes, residentBytes } = this.#use;
    const toMb = (bytes: number) => Math.round(bytes / BYTES_PER_MB);
    return {
      heapMb: toMb(heapBytes),
      heapLimitMb: toMb(heapLimitBytes),
      buffersMb: toMb(bufferBytes),
      residentMb: toMb(residentBytes),
      limitMb: toMb(this.#options.limitBytes()),
      lagMs: this.#lagMs,
      ...this.#options.held(),
    };
  }
}
