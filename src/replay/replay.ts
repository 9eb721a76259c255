/**
 * Replays a trace against running VMs. Each request is sent at its arrival time, whatever the state of earlier ones.
 *
 * @module
 */

import { makeRequest } from "./caller.ts";
import { DirectoryClient, type Target } from "./directory.ts";
import { Report } from "./report.ts";
import { fetchRuns, type RecordSource, RunIndex } from "./runs.ts";
import type { RequestRecord } from "./request_record.ts";
import type { Trace, TraceFault } from "./trace.ts";

/** Injects the faults of a trace into the running system. */
export abstract class FaultInjector {
  /** Starts one fault, or ends it. */
  abstract inject(fault: TraceFault): Promise<void>;
}

/** Options of {@link replay}. */
export interface ReplayOptions {
  readonly targets: readonly Target[];
  readonly getKey?: (workspace: string) => string;
  /** Where to fetch the records of runs. Without it, measures that need them are `undefined`. */
  readonly recordSources?: readonly RecordSource[];
  /** Without it, the faults of the trace are skipped. */
  readonly injector?: FaultInjector;
  readonly onProgress?: (progress: ReplayProgress) => void;
}

/** Progress of a replay. */
export interface ReplayProgress {
  readonly nowMs: number;
  readonly endMs: number;
  readonly sent: number;
  readonly open: number;
  readonly total: number;
}

const PROGRESS_PERIOD_MS = 500;
/** Time for upstreams to finish requests whose callers no longer wait for them. */
const SETTLE_MS = 500;

/** Returns the API key of a workspace's callers if no other is configured. */
export function buildDefaultKey(workspace: string): string {
  return `key-${workspace}`;
}

/** Replays the whole trace and returns its report. */
export async function replay(
  trace: Trace,
  options: ReplayOptions,
): Promise<Report> {
  const replayer = new TraceReplayer(trace, options);
  const records = await replayer.run();
  if (!options.recordSources) return new Report(records, undefined);
  await sleep(SETTLE_MS);
  const runs = await fetchRuns(options.recordSources);
  return new Report(records, new RunIndex(runs));
}

class TraceReplayer {
  readonly #trace: Trace;
  readonly #options: ReplayOptions;
  readonly #directory: DirectoryClient;
  readonly #runId = Date.now().toString(36);
  #startedAtMs = 0;
  #sentCount = 0;
  #openCount = 0;

  constructor(trace: Trace, options: ReplayOptions) {
    this.#trace = trace;
    this.#options = options;
    this.#directory = new DirectoryClient(options.targets);
  }

  async run(): Promise<RequestRecord[]> {
    this.#startedAtMs = Date.now();
    const progressTimer = setInterval(
      () => this.#reportProgress(),
      PROGRESS_PERIOD_MS,
    );
    const faults = this.#injectFaults();
    const records: Promise<RequestRecord>[] = [];
    for (const request of this.#trace.requests) {
      await this.#waitUntil(request.arrivalMs);
      records.push(this.#runRequest(records.length));
    }
    const all = await Promise.all(records);
    await faults;
    clearInterval(progressTimer);
    this.#reportProgress();
    return all;
  }

  async #runRequest(index: number): Promise<RequestRecord> {
    const request = this.#trace.requests[index];
    this.#sentCount++;
    this.#openCount++;
    const record = await makeRequest(
      request,
      this.#startedAtMs + request.arrivalMs,
      {
        directory: this.#directory,
        getKey: this.#options.getKey ?? buildDefaultKey,
        index,
        runId: this.#runId,
      },
    );
    this.#openCount--;
    return record;
  }

  async #injectFaults(): Promise<void> {
    const { injector } = this.#options;
    if (!injector) return;
    for (const fault of this.#trace.faults) {
      await this.#waitUntil(fault.atMs);
      await injector.inject(fault);
    }
  }

  #reportProgress(): void {
    this.#options.onProgress?.({
      nowMs: Date.now() - this.#startedAtMs,
      endMs: this.#trace.header.endMs,
      sent: this.#sentCount,
      open: this.#openCount,
      total: this.#trace.requests.length,
    });
  }

  async #waitUntil(atMs: number): Promise<void> {
    const waitMs = this.#startedAtMs + atMs - Date.now();
    if (waitMs > 0) await sleep(waitMs);
  }
}

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
