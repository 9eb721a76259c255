/**
 * Shifting: whether a request goes to another region.
 *
 * @module
 */

import type { ServiceRow, TrafficRow, WorkspaceRow } from "../agreement/mod.ts";
import type { FarRegion } from "./pool_messages.ts";

/** A digest older than this tells nothing: the link may be cut, and a request sent over it would be lost time. */
export const FAR_STALE_MS = 3000;
/** Least time saved: below this the gain is within the error of the predictions. */
const LEAST_GAIN_MS = 50;
/**
 * Least time in the home queue. A region without one has room; sending from it because one prompt is cold or one place
 * is busy would close it to others for {@link SENT_HOLD_MS}.
 */
const LEAST_HOME_WAIT_MS = 100;
/**
 * What the operators' weights against sending add, where nothing else weighs: the part of the home wait that must be
 * saved, and the part of the time to the deadline that a request waits at home first. Where only latency weighs, both
 * are zero; in between they grow with the weights. Larger parts send less and keep queues longer.
 */
const RELUCTANT_GAIN_SHARE = 0.25;
const RELUCTANT_WAIT_SHARE = 0.25;
/**
 * After sending away, a region takes nothing in for this long, or two regions would swap load: each would see the
 * other's queue fall by what it sent.
 */
export const SENT_HOLD_MS = 3000;
/** Time over which the share sent away is counted. */
const SHARE_WINDOW_MS = 60_000;
/** Requests counted before a limit of the share bites: a share of three requests means nothing. */
const SHARE_SLACK = 2;

/** What a shift is decided on. */
export interface ShiftView {
  readonly workspace: WorkspaceRow | undefined;
  readonly service: ServiceRow | undefined;
  readonly traffic: TrafficRow | undefined;
  readonly region: string;
  readonly sentFrom: string | undefined;
  /** Predicted time to the first token at home; `Infinity` if no upstream can take it. */
  readonly homeMs: number;
  /** Part of it spent in the queue. */
  readonly homeWaitMs: number;
  /** Time to prefill the whole prompt, nothing being warm. */
  readonly coldMs: number;
  readonly deadlineMs: number;
  readonly nowMs: number;
}

/** Counts what a region sent away, with what it got. */
export class ShiftLedger {
  #arrived = 0;
  #sent = 0;
  #atMs = 0;
  #sentAtMs = -Infinity;
  /** Wait added at each region by what was sent there since its last digest. */
  readonly #added = new Map<string, { seenAtMs: number; sends: number }>();

  arrived(nowMs: number): void {
    this.#decay(nowMs);
    this.#arrived++;
  }

  sent(far: FarRegion, nowMs: number): void {
    this.#decay(nowMs);
    this.#sent++;
    this.#sentAtMs = nowMs;
    this.#added.set(far.region, {
      seenAtMs: far.seenAtMs,
      sends: this.sendsSince(far) + 1,
    });
  }

  /** Requests sent there that its last digest cannot yet show. */
  sendsSince(far: FarRegion): number {
    const added = this.#added.get(far.region);
    return added?.seenAtMs === far.seenAtMs ? added.sends : 0;
  }

  /** Whether one more may be sent under this limit of the share. */
  mayExceed(shareLimit: number, nowMs: number): boolean {
    this.#decay(nowMs);
    if (shareLimit >= 1) return true;
    if (shareLimit <= 0) return false;
    return this.#sent + 1 <= shareLimit * (this.#arrived + SHARE_SLACK);
  }

  /** Whether the region sent anything away lately. */
  sending(nowMs: number): boolean {
    return nowMs - this.#sentAtMs < SENT_HOLD_MS;
  }

  #decay(nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#atMs);
    const kept = Math.exp(-passedMs / SHARE_WINDOW_MS);
    this.#arrived *= kept;
    this.#sent *= kept;
    this.#atMs = nowMs;
  }
}

/**
 * Sends allowed to one region on one digest. A digest is a second or so old when the next comes; without a bound every
 * lead would send all its overflow to the region that looked idle, and drown it before it can say so.
 */
const SENDS_PER_DIGEST = 16;

/** The region to send the request to, if any. */
export function chooseRegion(
  view: ShiftView,
  regions: readonly FarRegion[],
  ledger: ShiftLedger,
): FarRegion | undefined {
  if (!mayLeave(view)) return undefined;
  if (!ledger.mayExceed(view.traffic?.awayShareLimit ?? 0, view.nowMs)) {
    return undefined;
  }
  let best: FarRegion | undefined;
  let bestMs = Infinity;
  for (const far of regions) {
    if (!mayReach(view, far, ledger)) continue;
    const ms = farMs(view, far);
    if (ms < bestMs) {
      best = far;
      bestMs = ms;
    }
  }
  return best && worthwhile(view, bestMs) ? best : undefined;
}

/**
 * Residency goes before all else: a bound workspace's requests, and those of one the table does not know, never leave.
 * A request that was sent here once is not sent on, so no loop can arise.
 */
export function mayLeave(
  view: Pick<ShiftView, "workspace" | "sentFrom">,
): boolean {
  if (view.sentFrom !== undefined) return false;
  return view.workspace?.bound === false;
}

function mayReach(
  view: ShiftView,
  far: FarRegion,
  ledger: ShiftLedger,
): boolean {
  if (far.region === view.region || !far.takesIn) return false;
  if (!view.traffic?.mayGoTo.includes(far.region)) return false;
  if (view.nowMs - far.seenAtMs > FAR_STALE_MS) return false;
  return ledger.sendsSince(far) < SENDS_PER_DIGEST;
}

function farMs(view: ShiftView, far: FarRegion): number {
  return far.predictedWaitMs + 2 * far.linkMs + view.coldMs;
}

function worthwhile(view: ShiftView, farWaitMs: number): boolean {
  const slackMs = view.deadlineMs - view.nowMs;
  if (farWaitMs > slackMs) return false;
  if (!Number.isFinite(view.homeMs)) return true;
  if (view.homeWaitMs < LEAST_HOME_WAIT_MS) return false;
  const against = reluctance(view.service);
  const gainShare = against * RELUCTANT_GAIN_SHARE;
  const leastMs = Math.max(LEAST_GAIN_MS, view.homeMs * gainShare);
  if (view.homeMs - farWaitMs <= leastMs) return false;
  return view.homeMs > against * RELUCTANT_WAIT_SHARE * slackMs;
}

/** How much the service's operators weigh cost and share sent away against latency, 0 to 1. */
export function reluctance(service: ServiceRow | undefined): number {
  const { latencyWeight = 1, costWeight = 0, awayWeight = 0 } =
    service?.objective ?? {};
  const against = costWeight + awayWeight;
  const sum = latencyWeight + against;
  return sum > 0 ? against / sum : 0;
}
