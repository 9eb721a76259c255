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

/** Checks the links for silence while a request is in flight at any of them. */
export class SilenceWatch {
  readonly #links: ReadonlyMap<string, UpstreamLink>;
  readonly #clock: Clock;
  readonly #log: Log;
  #timer: Timer | undefined;

  /** `links` are listed by upstream key. */
  constructor(
    links: ReadonlyMap<string, UpstreamLink>,
    clock: Clock,
    log: Log,
  ) {
    this.#links = links;
    this.#clock = clock;
    this.#log = log;
  }

  /** Notes that a request is sent. */
  noteSend(): void {
    this.#timer ??= this.#clock.every(
      CHECK_INTERVAL_MS,
      () => this.#check(),
    );
  }

  close(): void {
    this.#timer?.close();
    this.#timer = undefined;
  }

  #check(): void {
    const nowMs = this.#clock.monoMs();
    let isAnyRunning = false;
    for (const [key, link] of this.#links) {
      const { running } = link;
      isAnyRunning ||= running > 0;
      if (!link.checkSilence(nowMs)) continue;
      this.#log.warn("upstream silent", { upstream: key, running });
      void probeSilent(key, link, this.#clock, this.#log);
    }
    if (!isAnyRunning) this.close();
  }
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
