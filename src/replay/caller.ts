/**
 * A polite caller: asks the directory, follows `goTo` and `retryAtMs`, and goes on until its answer is whole, a failure
 * is final or its deadline has passed.
 *
 * @module
 */

import { codes } from "../base/mod.ts";
import { attempt } from "./attempt.ts";
import type { Directory } from "./directory.ts";
import type { Attempt, Seen } from "./seen.ts";
import type { TraceRequest } from "./trace.ts";

/** What callers of a replay share. */
export interface CallerOptions {
  readonly directory: Directory;
  /** The key that a workspace's callers present. */
  readonly keyOf: (workspace: string) => string;
  /** Number of the request in the trace, for its nonces. */
  readonly index: number;
  /** Tells the nonces of one replay from those of another. */
  readonly runId: string;
}

const MOST_ATTEMPTS = 12;
const RETRY_MS = 150;
/** A caller waits this much beyond its deadline, to see whether the final answer comes. */
const PATIENCE_MS = 2000;

const retryable = new Set<number>(
  Object.values(codes).filter((row) => row.retryable).map((row) => row.code),
);

/** Makes one request of the trace; `arrivedAtMs` is the wall-clock time of its arrival. */
export async function callOnce(
  request: TraceRequest,
  arrivedAtMs: number,
  options: CallerOptions,
): Promise<Seen> {
  const attempts: Attempt[] = [];
  const deadlineMs = arrivedAtMs + request.deadlineMs - request.arrivalMs;
  const { workspace, region } = request;
  const key = options.keyOf(workspace);
  let goTo: readonly string[] | undefined;
  while (attempts.length < MOST_ATTEMPTS) {
    const urls = goTo ?? await options.directory.urls(workspace, region, key);
    const last = await attempt(request, {
      url: pick(urls, attempts),
      key,
      nonce: `${options.runId}-${options.index}-${attempts.length}`,
      deadlineMs,
      hangUpAtMs: deadlineMs + PATIENCE_MS,
    });
    attempts.push(last);
    if (last.end === "broken") options.directory.forget(workspace, region);
    const againAtMs = nextTryAtMs(request, last);
    if (againAtMs === undefined || againAtMs >= deadlineMs) break;
    goTo = last.goTo;
    await sleepUntil(againAtMs);
  }
  return { request, arrivedAtMs, attempts };
}

/** The first VM that did not just break a connection, or the first of all. */
function pick(urls: readonly string[], attempts: readonly Attempt[]): string {
  const broken = new Set(
    attempts.filter((a) => a.end === "broken").map((a) => a.url),
  );
  return urls.find((url) => !broken.has(url)) ?? urls[0];
}

/** When to try again, wall clock; undefined if the outcome is final. */
function nextTryAtMs(request: TraceRequest, last: Attempt): number | undefined {
  const isSafe = request.repeatable || request.idempotencyKey !== undefined;
  if (last.end === "broken" && isSafe) return Date.now() + RETRY_MS;
  if (last.end !== "failed") return undefined;
  if (last.goTo && last.ran === "no") return Date.now();
  if (!retryable.has(last.code ?? 0)) return undefined;
  if (last.ran !== "no" && !isSafe) return undefined;
  return last.retryAtMs ?? Date.now() + RETRY_MS;
}

function sleepUntil(atMs: number): Promise<void> {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, atMs - Date.now()))
  );
}
