/**
 * The planned stop of a VM: leaves the directory at once, and serves on until callers have gone or time is up.
 *
 * @module
 */

import type { GatewayContext } from "./context.ts";
import type { Front } from "./front.ts";

/** Callers use a directory's answer for up to three times its one second, and may open connections until then. */
const CALLERS_GONE_MS = 4_000;
/** Kept free before the kill for the last answers to leave and the services to close, also when timers fire late. */
const LAST_MS = 700;
const LOOK_MS = 50;

/**
 * Serves everything that arrives until no caller is left or shortly before the process is killed. Ending by a timer
 * alone would cut off requests that arrive on kept connections until the very end.
 */
export async function drain(
  context: GatewayContext,
  front: Front,
): Promise<void> {
  const { clock, log } = context;
  const startMs = clock.monoMs();
  const endMs = startMs + context.settings.bounds.graceMs - LAST_MS;
  context.isLeaving = true;
  context.leavingMonoMs = startMs;
  context.endMonoMs = endMs;
  context.members.beat();
  log.info("leaving", { open: context.open });
  for (;;) {
    await clock.sleep(LOOK_MS);
    const nowMs = clock.monoMs();
    if (nowMs >= endMs) break;
    if (nowMs - startMs < CALLERS_GONE_MS) continue;
    front.closeIdle();
    if (context.open === 0) break;
  }
  log.info("stopped", {
    open: context.open,
    tookMs: Math.round(clock.monoMs() - startMs),
  });
}
