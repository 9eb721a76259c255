/**
 * The planned stop of a VM: it leaves the directory at once, and serves until no caller is left or its time is over.
 *
 * @module
 */

import type { GatewayContext } from "./context.ts";
import type { HttpListeners } from "./http_listeners.ts";

/**
 * Shortest drain: callers use a directory's answer for up to three times its 1 s, and may open connections until then.
 */
const MIN_DRAIN_MS = 4_000;
/** Time reserved before the kill for sending the last answers and closing the services, also when timers fire late. */
const CLOSE_RESERVE_MS = 700;
const CHECK_INTERVAL_MS = 50;

/**
 * Serves all requests until no caller is left, or until shortly before the process is killed. Ending by a timer alone
 * would cut off requests, since they arrive on keep-alive connections until the very end.
 */
export async function drain(
  context: GatewayContext,
  listeners: HttpListeners,
): Promise<void> {
  const { clock, log } = context;
  const startMs = clock.monoMs();
  const endMs = startMs + context.settings.bounds.graceMs - CLOSE_RESERVE_MS;
  context.isDraining = true;
  context.drainStartMonoMs = startMs;
  context.endMonoMs = endMs;
  context.members.reportNow();
  log.info("leaving", { open: context.openRequests });
  for (;;) {
    await clock.sleep(CHECK_INTERVAL_MS);
    const nowMs = clock.monoMs();
    if (nowMs >= endMs) break;
    if (nowMs - startMs < MIN_DRAIN_MS) continue;
    listeners.closeIdleConnections();
    if (context.openRequests === 0) break;
  }
  context.isStopped = true;
  log.info("stopped", {
    open: context.openRequests,
    openAnswers: listeners.openAnswers,
    tookMs: Math.round(clock.monoMs() - startMs),
  });
}
