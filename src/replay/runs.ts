/**
 * What truly ran, read from the records of stand-in upstreams, and the promises that it is checked against.
 *
 * @module
 */

import got from "got";
import type { RunRecord } from "../standins/mod.ts";
import type { AttemptRecord, RequestRecord } from "./request_record.ts";

/** A run with the upstream that it was at. */
export interface UpstreamRun extends RunRecord {
  readonly upstream: string;
  readonly region: string;
}

/** Where the records of one upstream are read. */
export interface RecordSource {
  readonly upstream: string;
  readonly region: string;
  readonly controlUrl: string;
}

/** Reads the records of all upstreams. */
export async function fetchRuns(
  sources: readonly RecordSource[],
): Promise<UpstreamRun[]> {
  const lists = await Promise.all(sources.map(async (source) => {
    const { upstream, region, controlUrl } = source;
    const records = await got(`${controlUrl}/records`).json<RunRecord[]>();
    return records.map((record) => ({ ...record, upstream, region }));
  }));
  return lists.flat();
}

/** Runs by the nonce of an attempt and by idempotency key. */
export class RunIndex {
  readonly #byNonce = new Map<string, UpstreamRun[]>();
  readonly #byKey = new Map<string, UpstreamRun[]>();

  /** Indexes the requests that were executed; refused ones and those that never left the queue were not. */
  constructor(runs: readonly UpstreamRun[]) {
    for (const run of runs) {
      if (run.startedAtMs === undefined) continue;
      appendTo(this.#byNonce, run.nonce, run);
      if (run.idempotencyKey) appendTo(this.#byKey, run.idempotencyKey, run);
    }
  }

  /** The runs of a request: of its key, or of its attempts' nonces. */
  findRuns(record: RequestRecord): readonly UpstreamRun[] {
    const key = record.request.idempotencyKey;
    if (key) return this.#byKey.get(key) ?? [];
    return record.attempts.flatMap((a) => this.#byNonce.get(a.nonce) ?? []);
  }

  /** Whether a call that may not be repeated ran more than once. */
  ranTwice(record: RequestRecord): boolean {
    return !record.request.repeatable && this.findRuns(record).length > 1;
  }

  /**
   * Whether a caller was told "not run" of something that ran. Attempts of one key share it, so a run counts against
   * the promise if it began before any attempt whose answer left it open whether it ran.
   */
  ranThoughDenied(record: RequestRecord): boolean {
    const denied = record.attempts.filter((a) => a.ran === "no");
    if (denied.length === 0) return false;
    if (!record.request.idempotencyKey) {
      return denied.some((a) => this.#byNonce.has(a.nonce));
    }
    const uncertainFromMs = Math.min(
      ...record.attempts.filter(mayHaveRun).map(getSentAtMs),
    );
    return this.findRuns(record).some((run) =>
      (run.startedAtMs ?? 0) < uncertainFromMs
    );
  }

  /** Whether an answer was given for something that never ran. */
  answeredWithoutRun(record: RequestRecord): boolean {
    return record.attempts.some((a) => a.end === "answered") &&
      this.findRuns(record).length === 0;
  }

  /** Whether a bound request ran, or was answered, outside its home region. */
  leftHome(record: RequestRecord): boolean {
    const { bound, home } = record.request;
    if (!bound) return false;
    return this.findRuns(record).some((run) => run.region !== home) ||
      record.attempts.some((a) =>
        a.end === "answered" && a.region !== undefined && a.region !== home
      );
  }
}

function mayHaveRun(attempt: AttemptRecord): boolean {
  return attempt.ran !== "no";
}

function getSentAtMs(attempt: AttemptRecord): number {
  return attempt.sentAtMs;
}

function appendTo<T>(map: Map<string, T[]>, key: string, value: T): void {
  const list = map.get(key);
  if (list) list.push(value);
  else map.set(key, [value]);
}
