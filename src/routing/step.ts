/**
 * Decides the next step of a request: send it to an upstream, relay it to another region, let it wait, or refuse it.
 *
 * @module
 */

import {
  type Affinity,
  type Candidate,
  hasRoom,
  type PlacementCriteria,
  usableSlots,
} from "./place.ts";
import { Ranking, SuspectRanking } from "./ranking.ts";
import type { Route } from "./types.ts";
import { isUsable, listUsable } from "./usable.ts";

/** An upstream that a request could be sent to now. */
export interface StepCandidate extends Candidate {
  /**
   * Whether the cold start of the upstream allows this VM to send a request now; always true for one that is not cold.
   */
  readonly isWithinColdRate: boolean;
  /** Whether the upstream is set aside, as after a connection that was lost a moment ago. */
  readonly isAside: boolean;
  /** Time for which the upstream wants no request from the sending VM, in ms; 0 if it rests not. */
  readonly restLeftMs: number;
}

/** Capacity of another region that may serve the request and is reachable. */
export interface RegionCapacity {
  readonly region: string;
  /** Number of requests that the region can serve at once, by its last report. */
  readonly free: number;
  /** Number of requests that can wait in the region and still be served. */
  readonly queue: number;
  /**
   * Whether the region has upstreams that it avoids for a moment, as after lost connections, and no others that could
   * take requests.
   */
  readonly isRecovering?: boolean;
  /** Whether other requests of the service are bound to the region, and this one is not. */
  readonly isScarce: boolean;
}

/** Capacity for one service that a region reports to others. */
export type OfferedCapacity = Pick<
  RegionCapacity,
  "free" | "queue" | "isRecovering"
>;

/** Input of the decision on a request's next step. */
export interface StepInput<C extends StepCandidate> {
  readonly nowMs: number;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Criteria for placing the request. */
  readonly criteria: PlacementCriteria;
  /** Upstreams of this region that were not tried yet; empty if this region may not serve the request. */
  readonly candidates: readonly C[];
  /**
   * Other regions that may serve the request; empty if it was relayed already. Read only if no upstream here has room.
   */
  readonly regions: readonly RegionCapacity[];
  readonly affinity: Affinity | undefined;
  /**
   * Returns the home of a prompt among the candidates, if it is one of them and is known without searching; see
   * {@link Homes}.
   */
  homeOf?(affinity: string): C | undefined;
  /** Whether upstreams crashed as the request began to run. */
  readonly isSuspect: boolean;
  /** Whether it goes on at one version of the upstreams' software only; it waits for no other upstream to come. */
  readonly hasVersion?: boolean;
  /** Random number in [0, 1) that spreads relays over regions and retries over time. */
  readonly draw: number;
}

/** What a refusal is based on. */
export interface RefusalDetails {
  /** Number of upstreams of this region that were left to try. */
  readonly here: number;
  /** How many of these want no request from this VM for a while. */
  readonly resting: number;
  /** Other regions that the request could have been relayed to, with their capacity. */
  readonly elsewhere: readonly RegionCapacity[];
}

/** The next step of a request. */
export type Step<C> =
  | { readonly type: "send"; readonly candidate: C }
  | { readonly type: "relay"; readonly region: string }
  | { readonly type: "wait"; readonly untilMs: number }
  | RefusalDetails & {
    readonly type: "refuse";
    readonly reason:
      | "expired"
      | "noUpstream"
      | "overloaded"
      | "overQuota"
      | "cannotResume";
    readonly comeBackMs: number;
  };

/** With less time left no request can be answered: an engine's first step alone takes longer. */
export const MIN_WORK_MS = 25;
/**
 * Time that a relay takes at worst, for the link in both directions and a new connection: three times 80 ms, the delay
 * of one way.
 */
export const RELAY_MS = 240;
/**
 * Share of the objective that a request may wait here for capacity. After a longer wait a refusal comes too late: the
 * caller could have retried elsewhere in that time.
 */
const MAX_WAIT_SHARE = 0.125;
/**
 * Interval at which the next step of a waiting request is decided again. A step of a busy engine takes about as long.
 */
const RECHECK_MS = 15;
/** What an upstream may hold beyond what it runs. */
interface UpstreamQueueLimits {
  /** Number of requests that it may hold per slot, with those in its queue. */
  readonly requestsPerSlot: number;
  /** Reading time of the prompts that may wait there, in objectives. */
  readonly backlogObjectives: number;
}

/**
 * Limits where requests wait at their upstreams. An upstream starts the next request of its own queue in the step in
 * which another one ends, which is sooner than any message from a VM allows. With more than twice its slots in the
 * queue, the wait exceeds the objective of plain services; with a larger backlog a further request starts late and
 * delays all that follow.
 */
const UPSTREAM_QUEUE_LIMITS: UpstreamQueueLimits = {
  requestsPerSlot: 3,
  backlogObjectives: 1.4,
};
/**
 * Limits where requests wait in order at their lead. An upstream holds as many more as end there before the lead hears
 * of it and its grants arrive, so that no slot stays empty.
 */
const LEAD_QUEUE_LIMITS: UpstreamQueueLimits = {
  requestsPerSlot: 1.25,
  backlogObjectives: 0.5,
};
/** When callers should retry at an overloaded service: after about the time that its queue takes to become empty. */
const OVERLOAD_RETRY_AFTER_MS = 400;
/** Callers whose upstreams all rest come back within this time after the first rest is over. */
const REST_RETRY_SPREAD_MS = 400;
/**
 * When callers should retry at a service without upstreams: after the time in which a lost upstream is found to be gone
 * or is back.
 */
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

/** Whether a candidate may take a request although it has to wait there. */
function canQueue(
  { running, slots, waitingTokens }: StepCandidate,
  { pace, objectiveMs, waitsAtLead }: PlacementCriteria,
): boolean {
  const limits = waitsAtLead ? LEAD_QUEUE_LIMITS : UPSTREAM_QUEUE_LIMITS;
  return running < slots * limits.requestsPerSlot &&
    pace.readMs(waitingTokens) < objectiveMs * limits.backlogObjectives;
}

/** Spreads retries over 0.5 to 1.5 times `ms`, so that requests that are refused together are not retried together. */
function jitter(ms: number, draw: number): number {
  return Math.round(ms * (0.5 + draw));
}

/**
 * Picks a region at random, weighted by its capacity. Requests that may run anywhere avoid the home regions of other
 * requests while another region has capacity, because requests that are bound to a home can run nowhere else.
 */
function pickRegion(
  regions: readonly RegionCapacity[],
  capacityOf: (region: RegionCapacity) => number,
  draw: number,
): string | undefined {
  const withCapacity = regions.filter((region) => capacityOf(region) > 0);
  const notScarce = withCapacity.filter(({ isScarce }) => !isScarce);
  const eligible = notScarce.length > 0 ? notScarce : withCapacity;
  const total = eligible.reduce((sum, region) => sum + capacityOf(region), 0);
  let point = draw * total;
  for (const region of eligible) {
    if (point < capacityOf(region)) return region.region;
    point -= capacityOf(region);
  }
  return eligible.at(-1)?.region;
}

function isRested({ restLeftMs }: StepCandidate): boolean {
  return restLeftMs <= 0;
}

function refusalDetailsOf(
  { candidates, regions }: StepInput<StepCandidate>,
): RefusalDetails {
  return {
    here: candidates.length,
    resting: candidates.length - candidates.filter(isRested).length,
    elsewhere: regions,
  };
}

/** Returns the prompt's home among the candidates, if it is known and may be used. */
function usableHomeOf<C extends StepCandidate>(
  input: StepInput<C>,
): C | undefined {
  const home = input.affinity && input.homeOf?.(input.affinity.id);
  return home && !home.isDoubtful && isUsable(home) ? home : undefined;
}

/**
 * Decides the next step of a request. The order is made for a region that is at peak load while others are idle, or
 * whose upstreams are gone. Free capacity in this region comes first, as its engines have cached the prompts. Free
 * capacity in other regions comes next, which is better than queueing here as long as the relay leaves enough time. The
 * queues of the upstreams here come last, if the request can start there in time. A request that fits nowhere is
 * refused early, with a time to retry, so that its caller loses nothing by waiting here.
 */
export function nextStep<C extends StepCandidate>(
  input: StepInput<C>,
): Step<C> {
  const { nowMs, deadlineMs, criteria, draw } = input;
  const leftMs = deadlineMs - nowMs;
  if (leftMs < MIN_WORK_MS) {
    return {
      type: "refuse",
      reason: "expired",
      comeBackMs: 0,
      ...refusalDetailsOf(input),
    };
  }
  const usable = listUsable(input.candidates);
  const ranking = input.isSuspect
    ? new SuspectRanking(usable)
    : new Ranking(usable, input.affinity, criteria, usableHomeOf(input));
  const best = ranking.best();
  if (best && hasRoom(best, criteria)) return { type: "send", candidate: best };
  const regions = leftMs > RELAY_MS ? input.regions : [];
  const freeRegion = pickRegion(regions, (region) => region.free, draw);
  if (freeRegion !== undefined) return { type: "relay", region: freeRegion };
  const queueable = best && canQueue(best, criteria)
    ? best
    : ranking.best((candidate) => canQueue(candidate, criteria));
  if (queueable) return { type: "send", candidate: queueable };
  // Only a request without an upstream here waits in another region. Otherwise the requests that wait in a full region
  // would fill the queues of the others and arrive there late.
  const rested = input.candidates.filter(isRested);
  const queueRegion = rested.length === 0
    ? pickRegion(regions, (region) => region.queue, draw)
    : undefined;
  if (queueRegion !== undefined) return { type: "relay", region: queueRegion };
  // All remaining upstreams were lost a moment ago. A connection that fails has sent nothing, so trying one costs
  // little.
  const lastResort = best ? undefined : new Ranking(
    rested.filter(({ isAside, isWithinColdRate }) =>
      isAside && isWithinColdRate
    ),
    input.affinity,
    criteria,
  ).best();
  if (lastResort) return { type: "send", candidate: lastResort };
  return waitOrRefuse(input);
}

/** Time until the first candidate has rested, in ms, if all of them rest; `undefined` otherwise. */
function leastRestMs(
  candidates: readonly StepCandidate[],
): number | undefined {
  const leftMs = candidates.map(({ restLeftMs }) => restLeftMs);
  return leftMs.length > 0 && leftMs.every((ms) => ms > 0)
    ? Math.min(...leftMs)
    : undefined;
}

/**
 * Decides for a request that no upstream or region can take now. It waits only if a place may become free in time; one
 * whose upstreams all rest for longer is refused at once.
 */
function waitOrRefuse<C extends StepCandidate>(
  input: StepInput<C>,
): Step<C> {
  const { nowMs, arrivedMs, deadlineMs, criteria, draw, candidates } = input;
  const restMs = leastRestMs(candidates);
  const waitEndMs = Math.min(
    arrivedMs + criteria.objectiveMs * MAX_WAIT_SHARE,
    deadlineMs - MIN_WORK_MS,
  );
  const isVersionGone = input.hasVersion === true && candidates.length === 0 &&
    input.regions.length === 0;
  if (!isVersionGone && nowMs + (restMs ?? 0) < waitEndMs) {
    return {
      type: "wait",
      untilMs: Math.min(waitEndMs, nowMs + RECHECK_MS),
    };
  }
  if (candidates.length === 0) {
    // What is known of another region is some time old, and it decides for itself whether an upstream is worth a try.
    const recovering = deadlineMs - nowMs > RELAY_MS
      ? pickRegion(input.regions, ({ isRecovering }) => +!!isRecovering, draw)
      : undefined;
    if (recovering !== undefined) return { type: "relay", region: recovering };
    return {
      type: "refuse",
      reason: "noUpstream",
      comeBackMs: jitter(NO_UPSTREAM_RETRY_AFTER_MS, draw),
      ...refusalDetailsOf(input),
    };
  }
  return {
    type: "refuse",
    reason: "overloaded",
    comeBackMs: restMs === undefined
      ? jitter(OVERLOAD_RETRY_AFTER_MS, draw)
      : Math.ceil(restMs + REST_RETRY_SPREAD_MS * draw),
    ...refusalDetailsOf(input),
  };
}

/** State of a request after a send that brought no answer to pass on. */
export interface RetryState {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether the request may have run in the failed send. */
  readonly mayHaveRun: boolean;
  /** Number of upstreams that got the request so far. */
  readonly sends: number;
  readonly mostUpstreams: number;
}

/** Whether a request may be sent to another upstream, apart from the retry budget. */
export function canRetry(
  { isRepeatable, mayHaveRun, sends, mostUpstreams }: RetryState,
): boolean {
  if (mayHaveRun && !isRepeatable) return false;
  return sends < mostUpstreams;
}

/** Share of a region's capacity that other regions may use. The rest is kept for the region's own callers. */
const OFFERED_SHARE = 0.5;
/**
 * Reading time, in objectives, of the prompts at an engine beyond which requests of other regions are better refused,
 * since they arrive later by the delay of the link.
 */
const OFFERED_BACKLOG_OBJECTIVES = 0.7;

/** Computes the capacity that a region offers to others, over all its upstreams of a service. */
export function computeOfferedCapacity(
  candidates: readonly StepCandidate[],
  criteria: PlacementCriteria,
): OfferedCapacity {
  const { pace, objectiveMs } = criteria;
  let free = 0;
  let queue = 0;
  for (const candidate of candidates) {
    if (
      candidate.isAside || candidate.isDoubtful || candidate.restLeftMs > 0
    ) continue;
    if (hasRoom(candidate, criteria)) {
      free += usableSlots(candidate, criteria) - candidate.running;
    }
    const waitMs = pace.readMs(candidate.waitingTokens);
    queue += Math.max(
      0,
      Math.min(
        candidate.slots * UPSTREAM_QUEUE_LIMITS.requestsPerSlot -
          candidate.running,
        (objectiveMs * OFFERED_BACKLOG_OBJECTIVES - waitMs) /
          pace.readMs(pace.meanPromptTokens),
      ),
    );
  }
  const isRecovering = queue === 0 &&
    candidates.some(({ isAside, isDoubtful }) => isAside || isDoubtful);
  return {
    free: Math.floor(free * OFFERED_SHARE),
    queue: Math.floor(queue * OFFERED_SHARE),
    ...(isRecovering ? { isRecovering } : {}),
  };
}

/** Share of the objective after which an idempotent call without an answer is sent elsewhere. */
const ANSWER_TIMEOUT_SHARE = 0.45;

/**
 * How long a send may stay without an answer before the request is sent elsewhere. An upstream that hangs or lost an
 * answer gives no sign, but another one can still answer an idempotent call in time. Streams have no such timeout:
 * their engine reads the prompt, and after giving up another one would read it again. A request that must not be
 * repeated waits until its deadline.
 */
export function answerTimeoutMs(route: Route): number {
  return route.kind === "idempotent"
    ? route.objectiveMs * ANSWER_TIMEOUT_SHARE
    : Infinity;
}
