/**
 * A reference for tests: decides a request's next step by an order of all candidates, of which it takes the first that
 * fits, and selects the engine to copy from by filtered lists.
 *
 * @module
 */

import { hash32, mix32 } from "../base/mod.ts";
import {
  type Affinity,
  affinityOf,
  type Candidate,
  hasRoom,
  MIN_WORK_MS,
  type PlacementCriteria,
  type PromptPart,
  type RefusalDetails,
  type RegionCapacity,
  RELAY_MS,
  type Step,
  type StepCandidate,
  type StepInput,
} from "./mod.ts";

const READ_WEIGHT = 3;
const CONCURRENCY_COST_SHARE = 0.05;
const PREFERENCE_MS = 1;
const HARMLESS_GAP_SHARE = 0.4;
const LATE_STREAM_COST_MS = 20;
const MAX_REQUESTS_PER_SLOT = 3;
const MAX_BACKLOG_OBJECTIVES = 1.4;
const MIN_FETCH_TOKENS = 1_000;
const MAX_WAIT_SHARE = 0.125;
const RECHECK_MS = 15;
const OVERLOAD_RETRY_AFTER_MS = 400;
const REST_RETRY_SPREAD_MS = 400;
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

/** Estimates how late a stream's events come while `waitingTokens` wait at its engine, from 0 (on time) to 1 (late). */
function estimateLateness(
  { pace, eventGapMs }: PlacementCriteria,
  waitingTokens: number,
): number {
  if (!pace.canExceedGap(eventGapMs)) return 0;
  const share = pace.maxGapMs(waitingTokens) / eventGapMs;
  return Math.min(
    1,
    Math.max(0, share - HARMLESS_GAP_SHARE) / (1 - HARMLESS_GAP_SHARE),
  );
}

/** Estimates the cost of placing a request on a candidate, in ms of delay for it and for the requests beside it. */
function costMs(
  { running, slots, waitingTokens, preference }: Candidate,
  unreadTokens: number,
  criteria: PlacementCriteria,
): number {
  const { pace } = criteria;
  const waitMs = pace.readMs(waitingTokens);
  const readMs = pace.readMs(unreadTokens) * READ_WEIGHT;
  const latenessMs = LATE_STREAM_COST_MS * running *
    (estimateLateness(criteria, waitingTokens + unreadTokens) -
      estimateLateness(criteria, waitingTokens));
  const overloadMs = Math.max(0, running - slots) * 10;
  const concurrencyMs = running * pace.maxGapMs(0) * CONCURRENCY_COST_SHARE;
  return waitMs + readMs + latenessMs + overloadMs + concurrencyMs +
    preference * PREFERENCE_MS;
}

function homeOf<C extends Pick<Candidate, "hash">>(
  candidates: readonly C[],
  affinity: string,
): C | undefined {
  const hash = hash32(affinity);
  let home: C | undefined;
  let highest = -1;
  for (const candidate of candidates) {
    const weight = mix32(hash, candidate.hash);
    if (weight <= highest) continue;
    highest = weight;
    home = candidate;
  }
  return home;
}

function rankCandidates<C extends Candidate>(
  candidates: readonly C[],
  affinity: Affinity | undefined,
  criteria: PlacementCriteria,
): C[] {
  const sound = candidates.filter(({ isDoubtful }) => !isDoubtful);
  const home = affinity && homeOf(sound, affinity.id);
  const ownTokens = affinity?.ownTokens ?? 0;
  return candidates
    .map((candidate) => ({
      candidate,
      cost: costMs(
        candidate,
        candidate === home
          ? Math.min(ownTokens, candidate.unreadTokens)
          : candidate.unreadTokens,
        criteria,
      ),
    }))
    .sort((a, b) =>
      Number(a.candidate.isDoubtful) - Number(b.candidate.isDoubtful) ||
      a.cost - b.cost
    )
    .map(({ candidate }) => candidate);
}

function rankForSuspect<C extends Candidate>(
  candidates: readonly C[],
): C[] {
  return [...candidates].sort((a, b) =>
    Number(a.isDoubtful) - Number(b.isDoubtful) ||
    a.suspectCount - b.suspectCount ||
    a.running - b.running || a.preference - b.preference
  );
}

/** Selects the engine that `target` copies the prompt's shared parts from. */
export function selectFetchSourceByLists<
  C extends Pick<Candidate, "key" | "hash"> & {
    readonly region: string;
    readonly version: string;
  },
>(
  target: Pick<C, "key" | "region" | "version">,
  allEngines: readonly C[],
  parts: readonly PromptPart[],
  holdersOf: (partId: string) => readonly string[],
): C | undefined {
  const affinity = affinityOf(parts);
  const sharedTokens = parts.slice(0, -1)
    .reduce((sum, { tokens }) => sum + tokens, 0);
  if (!affinity || sharedTokens < MIN_FETCH_TOKENS) return undefined;
  const engines = allEngines.filter(({ version }) =>
    version === target.version
  );
  const inRegion = engines.filter(({ region }) => region === target.region);
  const regionHome = homeOf(inRegion, affinity.id);
  const holderKeys = holdersOf(affinity.id).filter((key) => key !== target.key);
  if (regionHome && holderKeys.includes(regionHome.key)) return regionHome;
  for (const key of holderKeys) {
    const holder = engines.find((engine) => engine.key === key);
    if (holder) return holder;
  }
  if (regionHome && regionHome.key !== target.key) return regionHome;
  const home = homeOf(engines, affinity.id);
  return home?.key === target.key ? undefined : home;
}

/** Whether a candidate may take a request although it has to wait there. */
function canQueue(
  { running, slots, waitingTokens }: StepCandidate,
  { pace, objectiveMs }: PlacementCriteria,
): boolean {
  return running < slots * MAX_REQUESTS_PER_SLOT &&
    pace.readMs(waitingTokens) < objectiveMs * MAX_BACKLOG_OBJECTIVES;
}

/** Spreads retries over 0.5 to 1.5 times `ms`, so that requests that are refused together are not retried together. */
function jitter(ms: number, draw: number): number {
  return Math.round(ms * (0.5 + draw));
}

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

/** Decides the next step of a request. */
export function nextStepByOrder<C extends StepCandidate>(
  input: StepInput<C>,
): Step<C> {
  const { nowMs, deadlineMs, criteria, draw } = input;
  const leftMs = deadlineMs - nowMs;
  const rested = input.candidates.filter(({ restLeftMs }) => restLeftMs <= 0);
  const refusalDetails = {
    here: input.candidates.length,
    resting: input.candidates.length - rested.length,
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
  const usable = rested.filter(({ isAside, isWithinColdRate }) =>
    !isAside && isWithinColdRate
  );
  const ranked = input.isSuspect
    ? rankForSuspect(usable)
    : rankCandidates(usable, input.affinity, criteria);
  if (ranked.length > 0 && hasRoom(ranked[0], criteria)) {
    return { type: "send", candidate: ranked[0] };
  }
  const regions = leftMs > RELAY_MS ? input.regions : [];
  const freeRegion = pickRegion(regions, (region) => region.free, draw);
  if (freeRegion !== undefined) return { type: "relay", region: freeRegion };
  const queueable = ranked.find((candidate) => canQueue(candidate, criteria));
  if (queueable) return { type: "send", candidate: queueable };
  // Only a request without an upstream here waits in another region. Otherwise the requests that wait in a full region
  // would fill the queues of the others and arrive there late.
  const queueRegion = rested.length === 0
    ? pickRegion(regions, (region) => region.queue, draw)
    : undefined;
  if (queueRegion !== undefined) return { type: "relay", region: queueRegion };
  // All remaining upstreams were lost a moment ago. A connection that fails has sent nothing, so trying one costs
  // little.
  const lastResort = rankCandidates(
    rested.filter(({ isAside, isWithinColdRate }) =>
      isAside && isWithinColdRate
    ),
    input.affinity,
    criteria,
  );
  if (ranked.length === 0 && lastResort.length > 0) {
    return { type: "send", candidate: lastResort[0] };
  }
  return waitOrRefuse(input, refusalDetails);
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
  refusalDetails: RefusalDetails,
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
      ...refusalDetails,
    };
  }
  return {
    type: "refuse",
    reason: "overloaded",
    comeBackMs: restMs === undefined
      ? jitter(OVERLOAD_RETRY_AFTER_MS, draw)
      : Math.ceil(restMs + REST_RETRY_SPREAD_MS * draw),
    ...refusalDetails,
  };
}
