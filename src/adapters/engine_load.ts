/**
 * Reads the load that engines report, from the gauges on vLLM's Prometheus metrics page.
 *
 * @module
 */

import got from "got";
import { MAX_UPSTREAM_TEXT_BYTES, readStreamText } from "./read_text.ts";

/** The load that an engine reports about itself. It may be stale or wrong. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
}

// The page may have no length: a number without a line end may have been cut in two.
const RUNNING_GAUGE =
  /^vllm:num_requests_running(?:\{[^}]*\})? ([\d.e+]+)\r?\n/m;
const WAITING_GAUGE =
  /^vllm:num_requests_waiting(?:\{[^}]*\})? ([\d.e+]+)\r?\n/m;

/** Reads `GET /metrics` of an engine. Returns `undefined` if it does not answer in time or reports no load. */
export async function readEngineLoad(
  url: string,
  timeoutMs: number,
): Promise<EngineLoad | undefined> {
  try {
    const answer = got.stream(`${url.replace(/\/$/, "")}/metrics`, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: Math.max(1, timeoutMs) },
    });
    const page = await readStreamText(answer, MAX_UPSTREAM_TEXT_BYTES);
    if (!answer.response?.ok) return undefined;
    const running = RUNNING_GAUGE.exec(page);
    const waiting = WAITING_GAUGE.exec(page);
    return running && waiting
      ? { running: Number(running[1]), waiting: Number(waiting[1]) }
      : undefined;
  } catch {
    return undefined;
  }
}
