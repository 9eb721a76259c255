/**
 * Replays a trace against running VMs: each request at its arrival time, whatever became of those before it.
 *
 * @module
 */

import { callOnce } from "./caller.ts";
import { Directory, type Target } from "./directory.ts";
import { Report } from "./report.ts";
import { readRuns, type RecordSource, RunIndex } from "./runs.ts";
import type { Seen } from "./seen.ts";
import type { Trace, TraceFault } from "./trace.ts";

/** Brings about the faults of a trace. */
export abstract class FaultInjector {
  /** Carries one fault out, or mends it. */
  abstract inject(fault: TraceFault): Promise<void>;
}

/** How a trace is replayed. */
export interface ReplayOptions {
  readonly targets: readonly Target[];
  readonly keyOf?: (workspace: string) => string;
  /** Where to read what ran; without, measures that need it are left out. */
  readonly records?: readonly RecordSource[];
  /** Without it, the trace's faults are left out. */
  readonly injector?: FaultInjector;
  readonly onProgress?: (progress: Progress) => void;
}

/** How far a replay has come. */
export interface Progress {
  readonly nowMs: number;
  readonly endMs: number;
  readonly sent: number;
  readonly open: number;
  readonly total: number;
}

const PROGRESS_PERIOD_MS = 500;
/** Time for upstreams to finish what callers no longer wait for. */
const SETTLE_MS = 500;

/** The key that a workspace's callers present unless told otherwise. */
export function defaultKey(workspace: string): string {
  return `key-${workspace}`;
}

/** Replays the whole trace and reports. */
export async function replay(
  trace: Trace,
  options: ReplayOptions,
): Promise<Report> {
  const run = new Replay(trace, options);
  const seen = await run.run();
  if (!options.records) return new Report(seen, undefined);
  await sleep(SETTLE_MS);
  const runs = await readRuns(options.records);
  return new Report(seen, new RunIndex(runs));
}

class Replay {
  readonly #trace: Trace;
  readonly #options: ReplayOptions;
  readonly #directory: Directory;
  readonly #runId = Date.now().toString(36);
  #startedAtMs = 0;
  #sent = 0;
  #open = 0;

  constructor(trace: Trace, options: ReplayOptions) {
    this.#trace = trace;
    this.#options = options;
    this.#directory = new Directory(options.targets);
  }

  async run(): Promise<Seen[]> {
    this.#startedAtMs = Date.now();
    const ticker = setInterval(() => this.#progress(), PROGRESS_PERIOD_MS);
    const faults = this.#injectAll();
    const seen: Promise<Seen>[] = [];
    for (const request of this.#trace.requests) {
      await this.#until(request.arrivalMs);
      seen.push(this.#call(seen.length));
    }
    const all = await Promise.all(seen);
    await faults;
    clearInterval(ticker);
    this.#progress();
    return all;
  }

  async #call(index: number): Promise<Seen> {
    const request = this.#trace.requests[index];
    this.#sent++;
    this.#open++;
    const seen = await callOnce(
      request,
      this.#startedAtMs + request.arrivalMs,
      {
        directory: this.#directory,
        keyOf: this.#options.keyOf ?? defaultKey,
        index,
        runId: this.#runId,
      },
    );
    this.#open--;
    return seen;
  }

  async #injectAll(): Promise<void> {
    const { injector } = this.#options;
    if (!injector) return;
    for (const fault of this.#trace.faults) {
      await this.#until(fault.atMs);
      await injector.inject(fault);
    }
  }

  #progress(): void {
    this.#options.onProgress?.({
      nowMs: Date.now() - this.#startedAtMs,
      endMs: this.#trace.header.endMs,
      sent: this.#sent,
      open: this.#open,
      total: this.#trace.requests.length,
    });
  }

  async #until(atMs: number): Promise<void> {
    const waitMs = this.#startedAtMs + atMs - Date.now();
    if (waitMs > 0) await sleep(waitMs);
  }
}

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
