/**
 * What to do next with a request: send it, hand it to another region, wait a moment, or refuse it.
 *
 * @module
 */

import {
  type Affinity,
  type Candidate,
  hasRoom,
  type PlacementCriteria,
  rankCandidates,
  rankForSuspect,
  usableSlots,
} from "./place.ts";
import type { Route } from "./types.ts";

/** An upstream that a request could be sent to now. */
export interface StepCandidate extends Candidate {
  /** Whether it may be sent a request in this very moment, as far as its cold start allows. */
  readonly isWithinColdRate: boolean;
  /** Whether a connection to it was lost a moment ago. */
  readonly isAside: boolean;
}

/** Another region that may serve the request, and can be reached. */
export interface RegionCapacity {
  readonly region: string;
  /** Places where the request would be served at once, as the region said last. */
  readonly free: number;
  /** Places where it would wait, and still be served. */
  readonly queue: number;
  /** Whether other requests of the service are bound to it, and this one is not. */
  readonly isScarce: boolean;
}

/** What a region says of its places. */
export type OfferedCapacity = Pick<RegionCapacity, "free" | "queue">;

/** What a step is decided on. */
export interface StepInput<C extends StepCandidate> {
  readonly nowMs: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** What the request is placed by. */
  readonly criteria: PlacementCriteria;
  /** Upstreams of this region that were not tried yet; empty if this region may not serve the request. */
  readonly candidates: readonly C[];
  /** Other regions that may serve it; empty if it was handed over already. */
  readonly regions: readonly RegionCapacity[];
  readonly affinity: Affinity | undefined;
  /** Whether upstreams ended as it began to run. */
  readonly isSuspect: boolean;
  /** A number in [0, 1) that spreads hand-overs and returns. */
  readonly draw: number;
}

/** What a refusal was decided on. */
export interface RefusalDetails {
  /** Upstreams of this region that were left to try. */
  readonly here: number;
  /** Other regions that could have been asked, with their places. */
  readonly elsewhere: readonly RegionCapacity[];
}

/** See the module. */
export type Step<C> =
  | { readonly type: "send"; readonly candidate: C }
  | { readonly type: "relay"; readonly region: string }
  | { readonly type: "wait"; readonly untilMs: number }
  | RefusalDetails & {
    readonly type: "refuse";
    readonly reason: "expired" | "noUpstream" | "overloaded" | "overQuota";
    readonly comeBackMs: number;
  };

/** Below this much time left nothing can still be answered: an engine's first step alone takes longer. */
export const MIN_WORK_MS = 25;
/** A hand-over costs the link both ways and a new connection at worst: 80 ms each way, three ways. */
export const RELAY_MS = 240;
/**
 * Share of the objective that a request may wait here for a place. Held longer, a refusal comes late: the caller
 * could have come back elsewhere in that time.
 */
const MAX_WAIT_SHARE = 0.125;
/** How often a waiting request looks again; an engine's busy step takes about as long. */
const RECHECK_MS = 15;
/**
 * Requests that an upstream may hold over its slots. Its own queue starts the next one in the step in which one ends,
 * sooner than any message of ours; beyond twice its slots the wait exceeds the objective of the plain services.
 */
const MAX_REQUESTS_PER_SLOT = 3;
/** Objectives of reading that may wait at an engine; beyond it what is added starts late, and delays all that follows. */
const MAX_BACKLOG_OBJECTIVES = 1.4;
/** When to return to an overloaded service: about as long as its queue takes to run empty. */
const OVERLOAD_RETRY_AFTER_MS = 400;
/** When to return to a service without upstreams: as long as a lost one needs to be found gone or to be back. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

/** Whether a candidate may take a request although it must wait there. */
function canQueue(
  { running, slots, waitingTokens }: StepCandidate,
  { pace, objectiveMs }: PlacementCriteria,
): boolean {
  return running < slots * MAX_REQUESTS_PER_SLOT &&
    pace.readMs(waitingTokens) < objectiveMs * MAX_BACKLOG_OBJECTIVES;
}

/** Spreads returns over half to one and a half times `ms`, so that those refused together do not return together. */
function jitter(ms: number, draw: number): number {
  return Math.round(ms * (0.5 + draw));
}

/**
 * Draws a region, by the places that it has. Requests that may go anywhere leave the homes of others alone while there
 * is another place: what is bound to a home has no other.
 */
function pickRegion(
  regions: readonly RegionCapacity[],
  capacityOf: (room: RegionCapacity) => number,
  draw: number,
): string | undefined {
  const withCapacity = regions.filter((room) => capacityOf(room) > 0);
  const notScarce = withCapacity.filter(({ isScarce }) => !isScarce);
  const eligible = notScarce.length > 0 ? notScarce : withCapacity;
  const total = eligible.reduce((sum, room) => sum + capacityOf(room), 0);
  let point = draw * total;
  for (const room of eligible) {
    if (point < capacityOf(room)) return room.region;
    point -= capacityOf(room);
  }
  return eligible.at(-1)?.region;
}

/**
 * The next step of a request. Made for a region at its peak while others sleep, or whose upstreams are gone: home places
 * come first, as they know the prompts; then places that are free elsewhere, which beats queueing here while the link
 * still leaves time; then the queues of the upstreams here, as far as they start in time. What fits nowhere is refused
 * at once with a time to come back, so the caller loses nothing by waiting here.
 */
export function nextStep<C extends StepCandidate>(
  input: StepInput<C>,
): Step<C> {
  const { nowMs, deadlineMs, arrivedMs, criteria, draw } = input;
  const leftMs = deadlineMs - nowMs;
  const refusalDetails = {
    here: input.candidates.length,
    elsewhere: input.regions,
  };
  if (leftMs < MIN_WORK_MS) {
    return {
      type: "refuse",
      reason: "expired",
      comeBackMs: 0,
      ...refusalDetails,
    };
  }
  const usable = input.candidates.filter(({ isAside, isWithinColdRate }) =>
    !isAside && isWithinColdRate
  );
  const ranked = input.isSuspect
    ? rankForSuspect(usable)
    : rankCandidates(usable, input.affinity, criteria);
  if (ranked.length > 0 && hasRoom(ranked[0], criteria)) {
    return { type: "send", candidate: ranked[0] };
  }
  const regions = leftMs > RELAY_MS ? input.regions : [];
  const freeRegion = pickRegion(regions, (room) => room.free, draw);
  if (freeRegion !== undefined) return { type: "relay", region: freeRegion };
  const queueable = ranked.find((candidate) => canQueue(candidate, criteria));
  if (queueable) return { type: "send", candidate: queueable };
  // Only what has no upstream here waits elsewhere: a full region's queue would fill the others' and reach them late.
  const queueRegion = input.candidates.length === 0
    ? pickRegion(regions, (room) => room.queue, draw)
    : undefined;
  if (queueRegion !== undefined) return { type: "relay", region: queueRegion };
  // All that is left was lost a moment ago: a connection that fails has sent nothing, so trying costs little.
  const lastResort = rankCandidates(
    input.candidates.filter(({ isAside, isWithinColdRate }) =>
      isAside && isWithinColdRate
    ),
    input.affinity,
    criteria,
  );
  if (ranked.length === 0 && lastResort.length > 0) {
    return { type: "send", candidate: lastResort[0] };
  }
  const waitEndMs = Math.min(
    arrivedMs + criteria.objectiveMs * MAX_WAIT_SHARE,
    deadlineMs - MIN_WORK_MS,
  );
  if (nowMs < waitEndMs) {
    return {
      type: "wait",
      untilMs: Math.min(waitEndMs, nowMs + RECHECK_MS),
    };
  }
  return input.candidates.length === 0
    ? {
      type: "refuse",
      reason: "noUpstream",
      comeBackMs: jitter(NO_UPSTREAM_RETRY_AFTER_MS, draw),
      ...refusalDetails,
    }
    : {
      type: "refuse",
      reason: "overloaded",
      comeBackMs: jitter(OVERLOAD_RETRY_AFTER_MS, draw),
      ...refusalDetails,
    };
}

/** What is known after a send that brought no answer to pass on. */
export interface RetryState {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether the failed send can have run. */
  readonly mayHaveRun: boolean;
  /** Upstreams that got the request so far. */
  readonly sends: number;
  readonly mostUpstreams: number;
}

/** Whether a request may be sent to another upstream, budget aside. */
export function canRetry(
  { isRepeatable, mayHaveRun, sends, mostUpstreams }: RetryState,
): boolean {
  if (mayHaveRun && !isRepeatable) return false;
  return sends < mostUpstreams;
}

/** Share of a region's free places that others may count on; the rest is kept for its own callers. */
const OFFERED_SHARE = 0.5;
/** Objectives of reading at an engine beyond which others' requests, which come a link later, are better off refused. */
const OFFERED_BACKLOG_OBJECTIVES = 0.7;

/** What a region offers to others, over all its upstreams of a service. */
export function computeOfferedCapacity(
  candidates: readonly StepCandidate[],
  criteria: PlacementCriteria,
): OfferedCapacity {
  const { pace, objectiveMs } = criteria;
  let free = 0;
  let queue = 0;
  for (const candidate of candidates) {
    if (candidate.isAside || candidate.isDoubtful) continue;
    if (hasRoom(candidate, criteria)) {
      free += usableSlots(candidate, criteria) - candidate.running;
    }
    const waitMs = pace.readMs(candidate.waitingTokens);
    queue += Math.max(
      0,
      Math.min(
        candidate.slots * MAX_REQUESTS_PER_SLOT - candidate.running,
        (objectiveMs * OFFERED_BACKLOG_OBJECTIVES - waitMs) /
          pace.readMs(pace.meanPromptTokens),
      ),
    );
  }
  return {
    free: Math.floor(free * OFFERED_SHARE),
    queue: Math.floor(queue * OFFERED_SHARE),
  };
}

/** Share of the objective after which an idempotent call that has no answer goes elsewhere. */
const ANSWER_TIMEOUT_SHARE = 0.45;

/**
 * How long a send may stay without an answer before the request goes elsewhere. An upstream that lost an answer, or
 * hangs, gives no sign; an idempotent call can still be answered in time by another. Streams wait: their engine reads
 * the prompt, and giving up would read it twice. What may not be repeated waits for its deadline.
 */
export function answerTimeoutMs(route: Route): number {
  return route.kind === "idempotent"
    ? route.objectiveMs * ANSWER_TIMEOUT_SHARE
    : Infinity;
}
