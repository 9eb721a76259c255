/**
 * The load that engines report, by the gauges that vLLM publishes on its Prometheus page.
 *
 * @module
 */

import got from "got";

/** An engine's own word on its load. It lags and may be wrong. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
}

const RUNNING_GAUGE = /^vllm:num_requests_running(?:\{[^}]*\})? ([\d.e+]+)$/m;
const WAITING_GAUGE = /^vllm:num_requests_waiting(?:\{[^}]*\})? ([\d.e+]+)$/m;

/** Reads `GET /metrics` of an engine; `undefined` if it does not answer in time or reports no load. */
export async function readEngineLoad(
  url: string,
  timeoutMs: number,
): Promise<EngineLoad | undefined> {
  try {
    const page = await got(`${url.replace(/\/$/, "")}/metrics`, {
      retry: { limit: 0 },
      timeout: { request: Math.max(1, timeoutMs) },
    }).text();
    const running = RUNNING_GAUGE.exec(page);
    const waiting = WAITING_GAUGE.exec(page);
    return running && waiting
      ? { running: Number(running[1]), waiting: Number(waiting[1]) }
      : undefined;
  } catch {
    return undefined;
  }
}
