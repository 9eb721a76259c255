/**
 * Shifting: decides whether a request goes to another region.
 *
 * @module
 */

import type { ServiceRow, TrafficRow, WorkspaceRow } from "../agreement/mod.ts";
import type { RemoteRegion } from "./pool_messages.ts";

/** A digest older than this is ignored: the link may be cut, and a request sent over it would only lose time. */
export const DIGEST_STALE_MS = 3000;
/** Shortest time that must be saved: a smaller gain is within the error of the predictions. */
const MIN_GAIN_MS = 50;
/**
 * Shortest wait in the home queue at which a request is sent away. A region without a queue has room; if it sent a
 * request away because one prompt is cold or one upstream is busy, it would accept none from others for
 * {@link ACCEPT_PAUSE_MS}.
 */
const MIN_HOME_WAIT_MS = 100;
/**
 * Conditions added by the operators' cost and away weights, at their full size when latency has no weight: the part of
 * the home time that must be saved, and the part of the time to the deadline that the home time must exceed. If only
 * latency has a weight, both are zero; in between they grow with the weights. Larger parts send fewer requests away and
 * keep queues longer.
 */
const PENALTY_GAIN_SHARE = 0.25;
const PENALTY_WAIT_SHARE = 0.25;
/**
 * After a region sends a request away, it accepts none from others for this long. Otherwise two regions would swap
 * load, as each would see the other's queue shrink by what the other sent.
 */
export const ACCEPT_PAUSE_MS = 3000;
/** Time constant over which the share sent away is counted. */
const SHARE_WINDOW_MS = 60_000;
/** Added to the arrivals before the limit of the share is applied: a share of three requests says nothing. */
const SHARE_SLACK_REQUESTS = 2;

/** The input of {@link chooseRegion}. */
export interface ShiftView {
  readonly workspace: WorkspaceRow | undefined;
  readonly service: ServiceRow | undefined;
  readonly traffic: TrafficRow | undefined;
  readonly region: string;
  readonly sentFrom: string | undefined;
  /** Predicted time to the first token at home; `Infinity` if no upstream can take the request. */
  readonly homeMs: number;
  /** Part of it spent in the queue. */
  readonly homeWaitMs: number;
  /** Time to prefill the whole prompt without a cached prefix. */
  readonly coldMs: number;
  readonly deadlineMs: number;
  readonly nowMs: number;
}

/** Counts the requests that arrived in a region and those that it sent away. */
export class ShiftCounts {
  #arrived = 0;
  #sent = 0;
  #atMs = 0;
  #sentAtMs = -Infinity;
  /** Requests sent to each region since its last digest, whose time is `seenAtMs`. */
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

  /** Returns the number of requests sent to the region that its last digest cannot show yet. */
  countSinceDigest(remote: RemoteRegion): number {
    const sent = this.#sentSinceDigest.get(remote.region);
    return sent?.seenAtMs === remote.seenAtMs ? sent.sends : 0;
  }

  /** Whether one more request may be sent under this limit of the share. */
  isBelowLimit(shareLimit: number, nowMs: number): boolean {
    this.#decay(nowMs);
    if (shareLimit >= 1) return true;
    if (shareLimit <= 0) return false;
    return this.#sent + 1 <=
      shareLimit * (this.#arrived + SHARE_SLACK_REQUESTS);
  }

  /** Whether the region sent any request away recently. */
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
 * Requests that may be sent to one region on one digest. A digest is about a second old when the next one comes;
 * without a limit, every lead would send all its overflow to a region that looked idle and overload it before it could
 * report that.
 */
const MAX_SENDS_PER_DIGEST = 16;

/** Chooses the region to send the request to, if any. */
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
 * Whether the request may leave this region. Residency comes first: requests of a bound workspace, or of one that is
 * not in the table, never leave. A request that another region sent here is not sent on, so no loop can arise.
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

/** Returns how much the service's operators weigh cost and the share sent away against latency, 0 to 1. */
export function computeSendPenalty(service: ServiceRow | undefined): number {
  const { latencyWeight = 1, costWeight = 0, awayWeight = 0 } =
    service?.objective ?? {};
  const penaltyWeight = costWeight + awayWeight;
  const totalWeight = latencyWeight + penaltyWeight;
  return totalWeight > 0 ? penaltyWeight / totalWeight : 0;
}
