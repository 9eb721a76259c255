/**
 * What upstreams say of themselves in their answers: that they leave, and that they want rest.
 *
 * @module
 */

import { Random } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import type { RestRequest, UpstreamAnswer } from "../platform/mod.ts";
import type { StoreView } from "../replication/mod.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { LinkedCandidate } from "./upstream_link.ts";
import type { Upstreams } from "./upstreams.ts";

/** Most characters of an unreadable value that a log line repeats. */
const MAX_LOGGED_CHARS = 40;

/** Notes what the answers of upstreams say, and logs it. */
export class UpstreamNotices {
  readonly #log: Log;
  readonly #metrics: GatewayMetrics;
  readonly #storeView: StoreView;
  readonly #upstreams: Upstreams;
  readonly #random = new Random(process.pid);

  constructor(
    log: Log,
    metrics: GatewayMetrics,
    storeView: StoreView,
    upstreams: Upstreams,
  ) {
    this.#upstreams = upstreams;
    this.#log = log;
    this.#metrics = metrics;
    this.#storeView = storeView;
  }

  /** Notes an answer that is known to be of this upstream, to the attempt `attemptId`. */
  noteAnswer(
    candidate: LinkedCandidate,
    { isLeaving, rest }: UpstreamAnswer,
    attemptId: string,
  ): void {
    if (isLeaving) {
      const { key } = candidate.upstream;
      this.#storeView.noteLeaving(key, { attempt: attemptId });
    }
    if (rest) this.#noteRest(candidate, rest, attemptId);
  }

  #noteRest(
    candidate: LinkedCandidate,
    { ms, text }: RestRequest,
    attemptId: string,
  ): void {
    const { upstream } = candidate;
    const outcome = ms === undefined ? "unreadable" : "read";
    this.#metrics.count(
      "rests_asked",
      `service="${upstream.service}",outcome="${outcome}"`,
    );
    this.#log.warn("upstream asks for rest", {
      upstream: upstream.key,
      service: upstream.service,
      attempt: attemptId,
      restMs: ms === undefined ? "unreadable" : Math.round(
        this.#upstreams.noteRest(candidate, ms, this.#random.next()),
      ),
      sent: text.slice(0, MAX_LOGGED_CHARS),
    });
  }
}
