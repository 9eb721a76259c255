/**
 * Finds the best upstream for a request.
 *
 * @module
 */

import type { EnginePace } from "./engine_pace.ts";
import {
  type Affinity,
  type Candidate,
  homeOf,
  type PlacementCriteria,
} from "./place.ts";

/** Cost of each request beyond an upstream's slots, in ms of delay. */
const EXCESS_REQUEST_COST_MS = 10;
/**
 * Weight of reading time against waiting time. Reading delays this request, every later one, and each token of all
 * requests that run on the engine. With a weight of 1, a burst that spills over from the home engines makes every
 * engine read every prompt, and the overload outlasts the burst.
 */
const READ_WEIGHT = 3;
/**
 * Cost of one more running request to itself and to the requests that run beside it, as a share of the gap between two
 * events.
 */
const CONCURRENCY_COST_SHARE = 0.05;
/**
 * Cost difference between the first preference and the last, in ms of delay. It is less than the cost of one more
 * request. VMs that receive no load reports, as after a start or a network partition, see the same idle engines. With a
 * common order they would all send their first prompts to one engine.
 */
const PREFERENCE_MS = 1;
/** Share of the allowed gap below which reading does not harm a stream. */
const HARMLESS_GAP_SHARE = 0.4;
/**
 * Cost of a stream whose gaps become too long, in ms of delay of the request that is placed. A long prompt avoids an
 * engine with 15 streams if another engine can read it within 0.3 s more.
 */
const LATE_STREAM_COST_MS = 20;

/** Returns the home of a prompt among the candidates that are not doubtful. */
function soundHomeOf<C extends Candidate>(
  candidates: readonly C[],
  { id }: Affinity,
): C | undefined {
  const isSound = candidates.every(({ isDoubtful }) => !isDoubtful);
  return homeOf(
    isSound ? candidates : candidates.filter(({ isDoubtful }) => !isDoubtful),
    id,
  );
}

/**
 * Orders candidates by the summed costs of waiting, reading and concurrency. Requests that share a long prompt have the
 * same home engine on every VM. There the shared parts count as read, since other VMs have sent them too. A popular
 * prompt therefore leaves its home only when the wait there exceeds the cost, to all requests, of reading it again.
 * Doubtful upstreams come last and are still used if there are no others. Of equals, the first in the list is better.
 */
export class Ranking<C extends Candidate> {
  readonly #candidates: readonly C[];
  readonly #home: C | undefined;
  readonly #ownTokens: number;
  readonly #pace: EnginePace;
  readonly #eventGapMs: number;
  readonly #canBeLate: boolean;
  readonly #quietGapMs: number;

  /** `home` is the prompt's home among the candidates that are not doubtful; it is computed if it is not passed. */
  constructor(
    candidates: readonly C[],
    affinity: Affinity | undefined,
    { pace, eventGapMs }: PlacementCriteria,
    home?: C,
  ) {
    this.#candidates = candidates;
    this.#home = affinity && (home ?? soundHomeOf(candidates, affinity));
    this.#ownTokens = affinity?.ownTokens ?? 0;
    this.#pace = pace;
    this.#eventGapMs = eventGapMs;
    this.#canBeLate = pace.canExceedGap(eventGapMs);
    this.#quietGapMs = pace.maxGapMs(0);
  }

  /** Returns the best of the candidates that `accepts` allows. */
  best(accepts?: (candidate: C) => boolean): C | undefined {
    return this.#bestOf(false, accepts) ?? this.#bestOf(true, accepts);
  }

  /**
   * Returns the best of the sound or the doubtful candidates. Most of them cost more than the home by waiting and
   * reading alone; their other costs, which are never negative, are not computed.
   */
  #bestOf(
    isDoubtful: boolean,
    accepts: ((candidate: C) => boolean) | undefined,
  ): C | undefined {
    const { readPerMs } = this.#pace;
    let best: C | undefined;
    let leastCostMs = Infinity;
    let maxCostMs = isDoubtful ? Infinity : this.#homeCostMs(accepts);
    for (const candidate of this.#candidates) {
      if (candidate.isDoubtful !== isDoubtful) continue;
      const unreadTokens = candidate === this.#home
        ? Math.min(this.#ownTokens, candidate.unreadTokens)
        : candidate.unreadTokens;
      const readyMs = candidate.waitingTokens / readPerMs +
        unreadTokens / readPerMs * READ_WEIGHT;
      if (readyMs > maxCostMs || (accepts && !accepts(candidate))) continue;
      const costMs = this.#costMs(candidate, unreadTokens, readyMs);
      if (best && costMs >= leastCostMs) continue;
      best = candidate;
      leastCostMs = costMs;
      maxCostMs = Math.min(maxCostMs, costMs);
    }
    return best;
  }

  /** Estimates the cost at the home; `Infinity` if there is none or `accepts` doesn't allow it. */
  #homeCostMs(accepts: ((candidate: C) => boolean) | undefined): number {
    const home = this.#home;
    if (!home || (accepts && !accepts(home))) return Infinity;
    const { readPerMs } = this.#pace;
    const unreadTokens = Math.min(this.#ownTokens, home.unreadTokens);
    const readyMs = home.waitingTokens / readPerMs +
      unreadTokens / readPerMs * READ_WEIGHT;
    return this.#costMs(home, unreadTokens, readyMs);
  }

  /**
   * Estimates the cost of placing the request on a candidate, in ms of delay for it and for the requests beside it;
   * `readyMs` is its cost of waiting and reading.
   */
  #costMs(
    { running, slots, waitingTokens, preference }: Candidate,
    unreadTokens: number,
    readyMs: number,
  ): number {
    const latenessMs = this.#canBeLate
      ? LATE_STREAM_COST_MS * running *
        (this.#estimateLateness(waitingTokens + unreadTokens) -
          this.#estimateLateness(waitingTokens))
      : 0;
    const overloadMs = Math.max(0, running - slots) *
      EXCESS_REQUEST_COST_MS;
    const concurrencyMs = running * this.#quietGapMs * CONCURRENCY_COST_SHARE;
    return readyMs + latenessMs + overloadMs + concurrencyMs +
      preference * PREFERENCE_MS;
  }

  /** Estimates how late a stream's events come while `waitingTokens` wait at its engine, from 0 (on time) to 1 (late). */
  #estimateLateness(waitingTokens: number): number {
    const share = this.#pace.maxGapMs(waitingTokens) / this.#eventGapMs;
    return Math.min(
      1,
      Math.max(0, share - HARMLESS_GAP_SHARE) / (1 - HARMLESS_GAP_SHARE),
    );
  }
}

/** Whether a suspect is better placed on `a` than on `b`. */
function isBetterForSuspect(a: Candidate, b: Candidate): boolean {
  if (a.isDoubtful !== b.isDoubtful) return b.isDoubtful;
  if (a.suspectCount !== b.suspectCount) {
    return a.suspectCount < b.suspectCount;
  }
  if (a.running !== b.running) return a.running < b.running;
  return a.preference < b.preference;
}

/**
 * Orders candidates for a request that is suspected of crashing upstreams. It is placed apart from other suspects, so
 * that the next crash shows which of them is the cause, and then where the fewest other requests would lose their
 * streams. Of equals, the first in the list is better.
 */
export class SuspectRanking<C extends Candidate> {
  readonly #candidates: readonly C[];

  constructor(candidates: readonly C[]) {
    this.#candidates = candidates;
  }

  /** Returns the best of the candidates that `accepts` allows. */
  best(accepts?: (candidate: C) => boolean): C | undefined {
    let best: C | undefined;
    for (const candidate of this.#candidates) {
      if (best && !isBetterForSuspect(candidate, best)) continue;
      if (!accepts || accepts(candidate)) best = candidate;
    }
    return best;
  }
}
