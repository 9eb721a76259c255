/**
 * Finds upstreams that have requests in flight and send nothing.
 *
 * @module
 */

import { isUnreachable } from "../adapters/mod.ts";
import type { Clock, Timer } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import type { UpstreamLink } from "./upstream_link.ts";

/** Interval of the check: silence is detected late by up to this much, a third of the silence timeout. */
const CHECK_INTERVAL_MS = 200;

/** Checks the links, which are listed by upstream key, until the timer that it returns is closed. */
export function watchSilence(
  links: ReadonlyMap<string, UpstreamLink>,
  clock: Clock,
  log: Log,
): Timer {
  return clock.every(CHECK_INTERVAL_MS, () => {
    const nowMs = clock.monoMs();
    for (const [key, link] of links) {
      if (!link.checkSilence(nowMs)) continue;
      log.warn("upstream silent", { upstream: key, running: link.running });
      void probeSilent(key, link, clock, log);
    }
  });
}

/**
 * Probes a silent upstream, and cancels sends to it if it can't be reached. An engine that reads a long prompt is silent
 * too, so silence alone cancels no request. An upstream that also accepts no connection has lost its power or its link,
 * and requests there would get no answer before their deadline.
 */
async function probeSilent(
  key: string,
  { upstream, darkListeners, running }: UpstreamLink,
  clock: Clock,
  log: Log,
): Promise<void> {
  if (!upstream || darkListeners.size === 0) return;
  if (!(await isUnreachable(upstream.host, upstream.port, clock))) return;
  log.warn("upstream dark", { upstream: key, running });
  for (const listener of [...darkListeners]) listener();
}
