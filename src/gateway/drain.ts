/**
 * The planned stop of a VM: it leaves the directory at once, and serves until no caller is left or its time is over.
 *
 * @module
 */

import type { Log } from "../kernel/mod.ts";
import type { GatewayContext, OpenCall } from "./context.ts";
import type { HttpListeners } from "./http_listeners.ts";
import { waitForNextPoll } from "./next_poll.ts";

/**
 * Shortest drain: callers use a directory's answer for up to three times its 1 s, and may open connections until then.
 */
const MIN_DRAIN_MS = 4_000;
/** Time reserved before the kill for sending the last answers and closing the services, also when timers fire late. */
const CLOSE_RESERVE_MS = 700;
/** How much of that reserve may pass until the connections have taken the last answers. */
const MAX_FLUSH_MS = 300;
/** How long before the end requests leave upstreams that have not answered: enough for a usual answer of another one. */
const LAST_RETRY_MS = 1_500;
const CHECK_INTERVAL_MS = 50;
const FLUSH_CHECK_INTERVAL_MS = 10;

/** The parts of a gateway's context that a planned stop uses. */
export type DrainContext = Pick<
  GatewayContext,
  | "clock"
  | "log"
  | "settings"
  | "members"
  | "openCalls"
  | "isDraining"
  | "drainStartMonoMs"
  | "endMonoMs"
>;

/** The parts of the listeners that a planned stop uses. */
export type DrainListeners = Pick<
  HttpListeners,
  "openAnswers" | "closeIdleConnections"
>;

/**
 * Serves all requests until no caller is left, or until shortly before the process is killed. What is still open then
 * is ended with an answer. Returns when the connections have taken all answers, as far as time allows. The process is
 * killed by the time of the signal, which may have come while it was starting.
 */
export async function drain(
  context: DrainContext,
  listeners: DrainListeners,
  signalMonoMs: number = context.clock.monoMs(),
): Promise<void> {
  const { clock, log, openCalls } = context;
  const startMs = clock.monoMs();
  context.isDraining = true;
  context.drainStartMonoMs = signalMonoMs;
  context.endMonoMs = signalMonoMs + context.settings.bounds.graceMs -
    CLOSE_RESERVE_MS;
  context.members.reportNow();
  log.info("leaving", {
    open: openCalls.size,
    sinceSignalMs: Math.round(startMs - signalMonoMs),
  });
  await serveUntilEnd(context, listeners, startMs + MIN_DRAIN_MS);
  // What still arrives while the services close would be cut off: it is refused, also where the stop is over early.
  context.endMonoMs = Math.min(context.endMonoMs, clock.monoMs());
  // Answers may wait in the sockets of a process that was late.
  await waitForNextPoll();
  const open = openCalls.size;
  for (const call of [...openCalls]) stopCall(call, log);
  await waitForFlush(context, listeners);
  log.info("stopped", {
    open,
    openAnswers: listeners.openAnswers,
    tookMs: Math.round(clock.monoMs() - startMs),
  });
}

/** An exception costs its own request alone. */
function stopCall(call: OpenCall, log: Log): void {
  try {
    call.stop();
  } catch (error) {
    const reason = (error as Error).stack ?? String(error);
    log.error("request was not answered at the stop", { reason });
  }
}

/**
 * Returns when no answer is open, or the time is over. Ending by a timer alone would cut off requests, since they arrive
 * on keep-alive connections until the very end.
 */
async function serveUntilEnd(
  { clock, openCalls, endMonoMs }: DrainContext,
  listeners: DrainListeners,
  minEndMonoMs: number,
): Promise<void> {
  let hasRetried = false;
  for (;;) {
    await clock.sleep(CHECK_INTERVAL_MS);
    const nowMs = clock.monoMs();
    if (nowMs >= endMonoMs) return;
    if (!hasRetried && nowMs >= endMonoMs - LAST_RETRY_MS) {
      hasRetried = true;
      for (const call of openCalls) call.leaveSilentUpstream();
    }
    if (nowMs < minEndMonoMs) continue;
    listeners.closeIdleConnections();
    if (listeners.openAnswers === 0) return;
  }
}

/** Waits once in any case: also a process that is late has to hand its last answers to the connections. */
async function waitForFlush(
  { clock, endMonoMs }: DrainContext,
  listeners: DrainListeners,
): Promise<void> {
  const flushEndMonoMs = endMonoMs + MAX_FLUSH_MS;
  for (;;) {
    await clock.sleep(FLUSH_CHECK_INTERVAL_MS);
    if (listeners.openAnswers === 0 || clock.monoMs() >= flushEndMonoMs) return;
  }
}
