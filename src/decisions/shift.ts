/**
 * Shifting: whether a request goes to another region.
 *
 * @module
 */

import type { ServiceRow, TrafficRow, WorkspaceRow } from "../agreement/mod.ts";
import type { RemoteRegion } from "./pool_messages.ts";

/** A digest older than this tells nothing: the link may be cut, and a request sent over it would be lost time. */
export const DIGEST_STALE_MS = 3000;
/** Least time saved: below this the gain is within the error of the predictions. */
const MIN_GAIN_MS = 50;
/**
 * Least time in the home queue. A region without one has room; sending from it because one prompt is cold or one place
 * is busy would close it to others for {@link ACCEPT_PAUSE_MS}.
 */
const MIN_HOME_WAIT_MS = 100;
/**
 * What the operators' weights against sending add, where nothing else weighs: the part of the home wait that must be
 * saved, and the part of the time to the deadline that a request waits at home first. Where only latency weighs, both
 * are zero; in between they grow with the weights. Larger parts send less and keep queues longer.
 */
const PENALTY_GAIN_SHARE = 0.25;
const PENALTY_WAIT_SHARE = 0.25;
/**
 * After sending away, a region takes nothing in for this long, or two regions would swap load: each would see the
 * other's queue fall by what it sent.
 */
export const ACCEPT_PAUSE_MS = 3000;
/** Time over which the share sent away is counted. */
const SHARE_WINDOW_MS = 60_000;
/** Requests counted before a limit of the share bites: a share of three requests means nothing. */
const SHARE_SLACK_REQUESTS = 2;

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
export class ShiftCounts {
  #arrived = 0;
  #sent = 0;
  #atMs = 0;
  #sentAtMs = -Infinity;
  /** Wait added at each region by what was sent there since its last digest. */
  readonly #sentSinceDigest = new Map<
    string,
    { seenAtMs: number; sends: number }
  >();

  recordArrival(nowMs: number): void {
    this.#decay(nowMs);
    this.#arrived++;
  }

  recordSent(remote: RemoteRegion, nowMs: number): void {
    this.#decay(nowMs);
    this.#sent++;
    this.#sentAtMs = nowMs;
    this.#sentSinceDigest.set(remote.region, {
      seenAtMs: remote.seenAtMs,
      sends: this.countSinceDigest(remote) + 1,
    });
  }

  /** Requests sent there that its last digest cannot yet show. */
  countSinceDigest(remote: RemoteRegion): number {
    const sent = this.#sentSinceDigest.get(remote.region);
    return sent?.seenAtMs === remote.seenAtMs ? sent.sends : 0;
  }

  /** Whether one more may be sent under this limit of the share. */
  isBelowLimit(shareLimit: number, nowMs: number): boolean {
    this.#decay(nowMs);
    if (shareLimit >= 1) return true;
    if (shareLimit <= 0) return false;
    return this.#sent + 1 <=
      shareLimit * (this.#arrived + SHARE_SLACK_REQUESTS);
  }

  /** Whether the region sent anything away lately. */
  hasSentRecently(nowMs: number): boolean {
    return nowMs - this.#sentAtMs < ACCEPT_PAUSE_MS;
  }

  #decay(nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.#atMs);
    const remaining = Math.exp(-passedMs / SHARE_WINDOW_MS);
    this.#arrived *= remaining;
    this.#sent *= remaining;
    this.#atMs = nowMs;
  }
}

/**
 * Sends allowed to one region on one digest. A digest is a second or so old when the next comes; without a bound every
 * lead would send all its overflow to the region that looked idle, and drown it before it can say so.
 */
const MAX_SENDS_PER_DIGEST = 16;

/** The region to send the request to, if any. */
export function chooseRegion(
  view: ShiftView,
  regions: readonly RemoteRegion[],
  counts: ShiftCounts,
): RemoteRegion | undefined {
  if (!canLeaveRegion(view)) return undefined;
  if (!counts.isBelowLimit(view.traffic?.awayShareLimit ?? 0, view.nowMs)) {
    return undefined;
  }
  let best: RemoteRegion | undefined;
  let bestMs = Infinity;
  for (const remote of regions) {
    if (!canSendTo(view, remote, counts)) continue;
    const remoteMs = predictRemoteMs(view, remote);
    if (remoteMs < bestMs) {
      best = remote;
      bestMs = remoteMs;
    }
  }
  return best && isWorthSending(view, bestMs) ? best : undefined;
}

/**
 * Residency goes before all else: a bound workspace's requests, and those of one the table does not know, never leave.
 * A request that was sent here once is not sent on, so no loop can arise.
 */
export function canLeaveRegion(
  view: Pick<ShiftView, "workspace" | "sentFrom">,
): boolean {
  if (view.sentFrom !== undefined) return false;
  return view.workspace?.bound === false;
}

function canSendTo(
  view: ShiftView,
  remote: RemoteRegion,
  counts: ShiftCounts,
): boolean {
  if (remote.region === view.region || !remote.takesIn) return false;
  if (!view.traffic?.mayGoTo.includes(remote.region)) return false;
  if (view.nowMs - remote.seenAtMs > DIGEST_STALE_MS) return false;
  return counts.countSinceDigest(remote) < MAX_SENDS_PER_DIGEST;
}

function predictRemoteMs(view: ShiftView, remote: RemoteRegion): number {
  return remote.predictedWaitMs + 2 * remote.linkMs + view.coldMs;
}

function isWorthSending(view: ShiftView, remoteMs: number): boolean {
  const slackMs = view.deadlineMs - view.nowMs;
  if (remoteMs > slackMs) return false;
  if (!Number.isFinite(view.homeMs)) return true;
  if (view.homeWaitMs < MIN_HOME_WAIT_MS) return false;
  const penalty = computeSendPenalty(view.service);
  const gainShare = penalty * PENALTY_GAIN_SHARE;
  const minGainMs = Math.max(MIN_GAIN_MS, view.homeMs * gainShare);
  if (view.homeMs - remoteMs <= minGainMs) return false;
  return view.homeMs > penalty * PENALTY_WAIT_SHARE * slackMs;
}

/** How much the service's operators weigh cost and share sent away against latency, 0 to 1. */
export function computeSendPenalty(service: ServiceRow | undefined): number {
  const { latencyWeight = 1, costWeight = 0, awayWeight = 0 } =
    service?.objective ?? {};
  const penaltyWeight = costWeight + awayWeight;
  const totalWeight = latencyWeight + penaltyWeight;
  return totalWeight > 0 ? penaltyWeight / totalWeight : 0;
}
