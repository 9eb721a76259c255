/**
 * Fetches the runs that the stand-in upstreams recorded, and checks the gateway's guarantees against them.
 *
 * @module
 */

import got from "got";
import type { RunRecord } from "../standins/mod.ts";
import type { AttemptRecord, RequestRecord } from "./request_record.ts";

/** A run and the upstream that executed it. */
export interface UpstreamRun extends RunRecord {
  readonly upstream: string;
  readonly region: string;
}

/** Where to fetch the records of one upstream. */
export interface RecordSource {
  readonly upstream: string;
  readonly region: string;
  readonly controlUrl: string;
}

/** Fetches the records of all upstreams. */
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

/** Index of the runs by the nonce of their attempt and by idempotency key. */
export class RunIndex {
  readonly #byNonce = new Map<string, UpstreamRun[]>();
  readonly #byKey = new Map<string, UpstreamRun[]>();

  /** Indexes the runs that were started. Requests that were refused or never left the queue are left out. */
  constructor(runs: readonly UpstreamRun[]) {
    for (const run of runs) {
      if (run.startedAtMs === undefined) continue;
      appendTo(this.#byNonce, run.nonce, run);
      if (run.idempotencyKey) appendTo(this.#byKey, run.idempotencyKey, run);
    }
  }

  /** Returns the runs of a request, by its idempotency key or else by the nonces of its attempts. */
  findRuns(record: RequestRecord): readonly UpstreamRun[] {
    const key = record.request.idempotencyKey;
    if (key) return this.#byKey.get(key) ?? [];
    return record.attempts.flatMap((a) => this.#byNonce.get(a.nonce) ?? []);
  }

  /** Whether a request that must not be repeated ran more than once. */
  ranTwice(record: RequestRecord): boolean {
    return !record.request.repeatable && this.findRuns(record).length > 1;
  }

  /**
   * Whether a caller was told "not run" although the request ran. All attempts of a request share its idempotency key,
   * so a run counts as a violation if it started before every attempt whose response allows that the request ran.
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

  /** Whether an answer was given for a request that never ran. */
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
