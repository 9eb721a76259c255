/**
 * A well-behaved caller: it queries the directory, follows `goTo` and `retryAtMs`, and retries until its answer is
 * complete, a failure is final or its deadline has passed.
 *
 * @module
 */

import { codes } from "../base/mod.ts";
import { makeAttempt } from "./attempt.ts";
import type { DirectoryClient } from "./directory.ts";
import type { AttemptRecord, RequestRecord } from "./request_record.ts";
import type { TraceRequest } from "./trace.ts";

/** Options of a caller. */
export interface CallerOptions {
  readonly directory: DirectoryClient;
  /** Returns the API key of a workspace's callers. */
  readonly getKey: (workspace: string) => string;
  /** Index of the request in the trace, which is part of its nonces. */
  readonly index: number;
  /** Distinguishes the nonces of one replay from those of another. */
  readonly runId: string;
}

const ATTEMPT_LIMIT = 12;
const DEFAULT_RETRY_MS = 150;
/** How long a caller waits after its deadline, to record whether a final response still comes. */
const HANG_UP_AFTER_DEADLINE_MS = 2000;

const retryableCodes = new Set<number>(
  Object.values(codes).filter((row) => row.retryable).map((row) => row.code),
);

/** Makes one request of the trace with its retries. `arrivedAtMs` is the wall-clock time of its arrival. */
export async function makeRequest(
  request: TraceRequest,
  arrivedAtMs: number,
  options: CallerOptions,
): Promise<RequestRecord> {
  const attempts: AttemptRecord[] = [];
  const deadlineMs = arrivedAtMs + request.deadlineMs - request.arrivalMs;
  const { workspace, region } = request;
  const key = options.getKey(workspace);
  let goTo: readonly string[] | undefined;
  while (attempts.length < ATTEMPT_LIMIT) {
    const urls = goTo ??
      await options.directory.findUrls(workspace, region, key);
    const last = await makeAttempt(request, {
      url: pickUrl(urls, attempts),
      key,
      nonce: `${options.runId}-${options.index}-${attempts.length}`,
      deadlineMs,
      hangUpAtMs: deadlineMs + HANG_UP_AFTER_DEADLINE_MS,
    });
    attempts.push(last);
    if (last.end === "broken") options.directory.forget(workspace, region);
    const retryAtMs = getRetryAtMs(request, last);
    if (retryAtMs === undefined || retryAtMs >= deadlineMs) break;
    goTo = last.goTo;
    await sleepUntil(retryAtMs);
  }
  return { request, arrivedAtMs, attempts };
}

/** Selects the first VM that has not broken a connection of this request; if all have, the first VM. */
function pickUrl(
  urls: readonly string[],
  attempts: readonly AttemptRecord[],
): string {
  const brokenUrls = new Set(
    attempts.filter((a) => a.end === "broken").map((a) => a.url),
  );
  return urls.find((url) => !brokenUrls.has(url)) ?? urls[0];
}

/** Returns the wall-clock time of the next attempt; `undefined` if the outcome is final. */
function getRetryAtMs(
  request: TraceRequest,
  last: AttemptRecord,
): number | undefined {
  const isRetrySafe = request.repeatable ||
    request.idempotencyKey !== undefined;
  if (last.end === "broken" && isRetrySafe) {
    return Date.now() + DEFAULT_RETRY_MS;
  }
  if (last.end !== "failed") return undefined;
  if (last.goTo && last.ran === "no") return Date.now();
  if (!retryableCodes.has(last.code ?? 0)) return undefined;
  if (last.ran !== "no" && !isRetrySafe) return undefined;
  return last.retryAtMs ?? Date.now() + DEFAULT_RETRY_MS;
}

function sleepUntil(atMs: number): Promise<void> {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, atMs - Date.now()))
  );
}
