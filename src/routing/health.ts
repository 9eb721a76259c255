/**
 * Which upstreams to leave alone for a while, judged by what became of requests.
 *
 * @module
 */

/** What became of one send, as it tells on the upstream. */
export type SendOutcome =
  /** It answered, whatever the status. */
  | "answered"
  /** It failed with its own error. */
  | "failed"
  /** It said that it had no room. */
  | "shed"
  /** The connection could not be made or broke. */
  | "lost"
  /** Another upstream has its address: it is gone for good. */
  | "replaced";

/** First time set aside after a lost connection; a restart takes about this long, and a probe is one request. */
const LOST_ASIDE_MS = 400;
/** Longest time set aside: an entry lapses after about four seconds, so what is back by then must be tried. */
const MAX_ASIDE_MS = 2_000;
/** An upstream that was replaced never comes back; its entry lapses within this time. */
const REPLACED_ASIDE_MS = 5_000;
/** After a refusal for want of room, others are tried first for as long as a few requests take to finish. */
const SHED_ASIDE_MS = 100;
/** Time between single requests to an upstream that has answered nothing since it was set aside. */
const PROBE_INTERVAL_MS = 500;
/** Weight of one outcome in the share of failures: the last ten or so decide. */
const FAILURE_WEIGHT = 0.1;
/** Above this share of failures an upstream is used only after the others. Plain services fail up to 0.14 when well. */
const FAILING_SHARE = 0.3;

/** What one VM has seen of one upstream. */
export class UpstreamHealth {
  #asideUntilMs = -Infinity;
  #asideMs = LOST_ASIDE_MS;
  #failureShare = 0;
  /** Whether it has answered nothing since it was last set aside. */
  #isProbing = false;
  #lastSentMs = -Infinity;

  /** Notes that a request was sent. */
  noteSend(nowMs: number): void {
    this.#lastSentMs = nowMs;
  }

  /** Notes the outcome of a send. */
  noteOutcome(outcome: SendOutcome, nowMs: number): void {
    if (outcome === "replaced") {
      this.#asideUntilMs = nowMs + REPLACED_ASIDE_MS;
      return;
    }
    if (outcome === "lost") {
      this.#asideUntilMs = nowMs + this.#asideMs;
      this.#asideMs = Math.min(MAX_ASIDE_MS, this.#asideMs * 2);
      this.#isProbing = true;
      return;
    }
    this.#isProbing = false;
    this.#asideMs = LOST_ASIDE_MS;
    if (outcome === "shed") this.#asideUntilMs = nowMs + SHED_ASIDE_MS;
    const failed = outcome === "failed" ? 1 : 0;
    this.#failureShare += FAILURE_WEIGHT * (failed - this.#failureShare);
  }

  /** Whether it is set aside now. What comes back gets one request at a time until it has answered one. */
  isAside(nowMs: number): boolean {
    return nowMs < this.#asideUntilMs ||
      (this.#isProbing && nowMs - this.#lastSentMs < PROBE_INTERVAL_MS);
  }

  /** Whether it fails so often that others come first. */
  isFailing(): boolean {
    return this.#failureShare > FAILING_SHARE;
  }

  dump(): unknown {
    return {
      asideUntilMs: this.#asideUntilMs,
      failureShare: this.#failureShare,
    };
  }
}
