/**
 * What to do next with a request: send it, hand it to another region, wait a moment, or refuse it.
 *
 * @module
 */

import {
  type Affinity,
  byHarm,
  type Candidate,
  comfortableSlots,
  hasRoom,
  type PlaceTerms,
  rank,
} from "./place.ts";
import type { Route } from "./types.ts";

/** An upstream that a request could be sent to now. */
export interface StepCandidate extends Candidate {
  /** Whether it may be sent a request in this very moment, as far as its cold start allows. */
  readonly paced: boolean;
  /** Whether a connection to it was lost a moment ago. */
  readonly aside: boolean;
}

/** Another region that may serve the request, and can be reached. */
export interface RegionRoom {
  readonly region: string;
  /** Places where the request would be served at once, as the region said last. */
  readonly free: number;
  /** Places where it would wait, and still be served. */
  readonly queue: number;
  /** Whether other requests of the service are bound to it, and this one is not. */
  readonly isScarce: boolean;
}

/** What a region says of its places. */
export type RegionPlaces = Pick<RegionRoom, "free" | "queue">;

/** What a step is decided on. */
export interface StepInput<C extends StepCandidate> {
  readonly nowMs: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** What the request is placed by. */
  readonly terms: PlaceTerms;
  /** Upstreams of this region that were not tried yet; empty if this region may not serve the request. */
  readonly candidates: readonly C[];
  /** Other regions that may serve it; empty if it was handed over already. */
  readonly regions: readonly RegionRoom[];
  readonly affinity: Affinity | undefined;
  /** Whether upstreams ended as it began to run. */
  readonly isSuspect: boolean;
  /** A number in [0, 1) that spreads hand-overs and returns. */
  readonly draw: number;
}

/** What a refusal was decided on. */
export interface RefusedOn {
  /** Upstreams of this region that were left to try. */
  readonly here: number;
  /** Other regions that could have been asked, with their places. */
  readonly elsewhere: readonly RegionRoom[];
}

/** See the module. */
export type Step<C> =
  | { readonly type: "send"; readonly candidate: C }
  | { readonly type: "relay"; readonly region: string }
  | { readonly type: "wait"; readonly untilMs: number }
  | RefusedOn & {
    readonly type: "refuse";
    readonly reason: "expired" | "noUpstream" | "overloaded" | "overQuota";
    readonly comeBackMs: number;
  };

/** Below this much time left nothing can still be answered: an engine's first step alone takes longer. */
export const LEAST_WORK_MS = 25;
/** A hand-over costs the link both ways and a new connection at worst: 80 ms each way, three ways. */
export const RELAY_MS = 240;
/**
 * Share of the objective that a request may wait here for a place. Held longer, a refusal comes late: the caller
 * could have come back elsewhere in that time.
 */
const WAIT_SHARE = 0.125;
/** How often a waiting request looks again; an engine's busy step takes about as long. */
const LOOK_AGAIN_MS = 15;
/**
 * Requests that an upstream may hold over its slots. Its own queue starts the next one in the step in which one ends,
 * sooner than any message of ours; beyond twice its slots the wait exceeds the objective of the plain services.
 */
const MOST_SLOTS_QUEUED = 3;
/** Objectives of reading that may wait at an engine; beyond it what is added starts late, and delays all that follows. */
const MOST_BACKLOG_OBJECTIVES = 1.4;
/** When to return to an overloaded service: about as long as its queue takes to run empty. */
const OVERLOAD_RETURN_MS = 400;
/** When to return to a service without upstreams: as long as a lost one needs to be found gone or to be back. */
const ABSENT_RETURN_MS = 1_000;

/** Whether a candidate may take a request although it must wait there. */
function mayQueue(
  { running, slots, waitingTokens }: StepCandidate,
  { pace, objectiveMs }: PlaceTerms,
): boolean {
  return running < slots * MOST_SLOTS_QUEUED &&
    pace.readMs(waitingTokens) < objectiveMs * MOST_BACKLOG_OBJECTIVES;
}

/** Spreads returns over half to one and a half times `ms`, so that those refused together do not return together. */
function spread(ms: number, draw: number): number {
  return Math.round(ms * (0.5 + draw));
}

/**
 * Draws a region, by the places that it has. Requests that may go anywhere leave the homes of others alone while there
 * is another place: what is bound to a home has no other.
 */
function pickRegion(
  regions: readonly RegionRoom[],
  placesOf: (room: RegionRoom) => number,
  draw: number,
): string | undefined {
  const withPlaces = regions.filter((room) => placesOf(room) > 0);
  const plenty = withPlaces.filter(({ isScarce }) => !isScarce);
  const open = plenty.length > 0 ? plenty : withPlaces;
  const total = open.reduce((sum, room) => sum + placesOf(room), 0);
  let at = draw * total;
  for (const room of open) {
    if (at < placesOf(room)) return room.region;
    at -= placesOf(room);
  }
  return open.at(-1)?.region;
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
  const { nowMs, deadlineMs, arrivedMs, terms, draw } = input;
  const leftMs = deadlineMs - nowMs;
  const refusedOn = {
    here: input.candidates.length,
    elsewhere: input.regions,
  };
  if (leftMs < LEAST_WORK_MS) {
    return { type: "refuse", reason: "expired", comeBackMs: 0, ...refusedOn };
  }
  const usable = input.candidates.filter(({ aside, paced }) => !aside && paced);
  const best = input.isSuspect
    ? byHarm(usable)
    : rank(usable, input.affinity, terms);
  if (best.length > 0 && hasRoom(best[0], terms)) {
    return { type: "send", candidate: best[0] };
  }
  const regions = leftMs > RELAY_MS ? input.regions : [];
  const free = pickRegion(regions, (room) => room.free, draw);
  if (free !== undefined) return { type: "relay", region: free };
  const queued = best.find((candidate) => mayQueue(candidate, terms));
  if (queued) return { type: "send", candidate: queued };
  // Only what has no upstream here waits elsewhere: a full region's queue would fill the others' and reach them late.
  const queue = input.candidates.length === 0
    ? pickRegion(regions, (room) => room.queue, draw)
    : undefined;
  if (queue !== undefined) return { type: "relay", region: queue };
  // All that is left was lost a moment ago: a connection that fails has sent nothing, so trying costs little.
  const lost = rank(
    input.candidates.filter(({ aside, paced }) => aside && paced),
    input.affinity,
    terms,
  );
  if (best.length === 0 && lost.length > 0) {
    return { type: "send", candidate: lost[0] };
  }
  const waitEndMs = Math.min(
    arrivedMs + terms.objectiveMs * WAIT_SHARE,
    deadlineMs - LEAST_WORK_MS,
  );
  if (nowMs < waitEndMs) {
    return {
      type: "wait",
      untilMs: Math.min(waitEndMs, nowMs + LOOK_AGAIN_MS),
    };
  }
  return input.candidates.length === 0
    ? {
      type: "refuse",
      reason: "noUpstream",
      comeBackMs: spread(ABSENT_RETURN_MS, draw),
      ...refusedOn,
    }
    : {
      type: "refuse",
      reason: "overloaded",
      comeBackMs: spread(OVERLOAD_RETURN_MS, draw),
      ...refusedOn,
    };
}

/** What is known after a send that brought no answer to pass on. */
export interface SendAgain {
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether the failed send can have run. */
  readonly mayHaveRun: boolean;
  /** Upstreams that got the request so far. */
  readonly sends: number;
  readonly mostUpstreams: number;
}

/** Whether a request may be sent to another upstream, budget aside. */
export function maySendAgain(
  { repeatable, mayHaveRun, sends, mostUpstreams }: SendAgain,
): boolean {
  if (mayHaveRun && !repeatable) return false;
  return sends < mostUpstreams;
}

/** Share of a region's free places that others may count on; the rest is kept for its own callers. */
const LENT_SHARE = 0.5;
/** Objectives of reading at an engine beyond which others' requests, which come a link later, are better off refused. */
const LENT_BACKLOG_OBJECTIVES = 0.7;

/** What a region offers to others, over all its upstreams of a service. */
export function regionRoom(
  candidates: readonly StepCandidate[],
  terms: PlaceTerms,
): RegionPlaces {
  const { pace, objectiveMs } = terms;
  let free = 0;
  let queue = 0;
  for (const candidate of candidates) {
    if (candidate.aside || candidate.doubtful) continue;
    if (hasRoom(candidate, terms)) {
      free += comfortableSlots(candidate, terms) - candidate.running;
    }
    const waitMs = pace.readMs(candidate.waitingTokens);
    queue += Math.max(
      0,
      Math.min(
        candidate.slots * MOST_SLOTS_QUEUED - candidate.running,
        (objectiveMs * LENT_BACKLOG_OBJECTIVES - waitMs) /
          pace.readMs(pace.promptTokens),
      ),
    );
  }
  return {
    free: Math.floor(free * LENT_SHARE),
    queue: Math.floor(queue * LENT_SHARE),
  };
}

/** Share of the objective after which an idempotent call that has no answer goes elsewhere. */
const PATIENCE_SHARE = 0.45;

/**
 * How long a send may stay without an answer before the request goes elsewhere. An upstream that lost an answer, or
 * hangs, gives no sign; an idempotent call can still be answered in time by another. Streams wait: their engine reads
 * the prompt, and giving up would read it twice. What may not be repeated waits for its deadline.
 */
export function patienceMs(route: Route): number {
  return route.kind === "idempotent"
    ? route.objectiveMs * PATIENCE_SHARE
    : Infinity;
}
