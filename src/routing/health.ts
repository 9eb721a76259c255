/**
 * Decides, by the outcomes of requests, which upstreams get no requests for a while.
 *
 * @module
 */

/** Outcome of one send, as far as it concerns the upstream. */
export type SendOutcome =
  /** The upstream answered without an error of its own. */
  | "answered"
  /** The upstream answered with an error of its own. */
  | "failed"
  /** The upstream reported that it had no capacity. */
  | "shed"
  /** The connection could not be made, or it broke. */
  | "lost"
  /** The connection was refused, so that the upstream's program has ended. */
  | "gone"
  /** Another upstream has its address, so this one is gone for good. */
  | "replaced";

/** All outcomes. */
export const SEND_OUTCOMES: ReadonlySet<string> = new Set<SendOutcome>([
  "answered",
  "failed",
  "shed",
  "lost",
  "gone",
  "replaced",
]);

/**
 * How long an upstream is set aside after its first lost connection. A restart takes about this long, and a probe costs
 * a single request.
 */
const LOST_ASIDE_MS = 400;
/**
 * Longest time that an upstream is set aside. Its entry expires after about four seconds, so an upstream that is back
 * by then must be tried.
 */
const MAX_ASIDE_MS = 2_000;
/** An upstream that was replaced never comes back. Its entry expires within this time. */
const REPLACED_ASIDE_MS = 5_000;
/** After an upstream sheds a request, other upstreams are tried first for as long as a few requests take to finish. */
const SHED_ASIDE_MS = 100;
/**
 * Interval between single requests (probes) to an upstream that has answered nothing since its last lost connection.
 */
const PROBE_INTERVAL_MS = 500;
/** Weight of one outcome in the moving share of failures. The last ten outcomes or so determine the share. */
const FAILURE_WEIGHT = 0.1;
/**
 * Above this share of failures an upstream is used only after the others. The share of healthy plain services goes up
 * to 0.14.
 */
const FAILING_SHARE = 0.3;

/** Health of one upstream, as observed by one VM. */
export class UpstreamHealth {
  #asideUntilMs = -Infinity;
  #asideMs = LOST_ASIDE_MS;
  #failureShare = 0;
  /** Whether the upstream has answered nothing since its last lost connection. */
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
    if (outcome === "lost" || outcome === "gone") {
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

  /**
   * Whether the upstream is set aside now. After a lost connection, it then gets one probe per interval until it has
   * answered a request.
   */
  isAside(nowMs: number): boolean {
    return nowMs < this.#asideUntilMs ||
      (this.#isProbing && nowMs - this.#lastSentMs < PROBE_INTERVAL_MS);
  }

  /** Whether the upstream fails so often that others are preferred. */
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
