/**
 * Decides whether a request that finds no place waits for one, or is refused.
 *
 * @module
 */

/** What the decision depends on; times are of one monotonic clock. */
export interface AdmitInput {
  readonly nowMs: number;
  /** When the request must have a place to be on time. */
  readonly dueMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Foreseen wait among the requests that can still be on time. */
  readonly waitMs: number;
  /** Foreseen wait behind all of these. */
  readonly lateWaitMs: number;
  /** How long a request holds its place. */
  readonly holdMs: number;
  /** Whether its caller was refused before and came back when told. */
  readonly hasReturned: boolean;
  /** Whether it was queued before, by a lead that is lost. */
  readonly wasQueued: boolean;
}

/**
 * `onTime`: it waits among those that can be on time. `late`: it waits behind them. `refuse`: its caller is better off
 * coming back later.
 */
export type Admission = "onTime" | "late" | "refuse";

/**
 * Share of the objective within which a request must have its place. The rest is for what waits at the upstream, where
 * a request counts as having room.
 */
const DUE_SHARE = 0.6;
/**
 * How long a request may wait to be answered late, in objectives. A caller that has to wait longer is better told to
 * come back than left without an answer.
 */
const MAX_LATE_WAIT_OBJECTIVES = 1;

/** Returns when a request must have a place to be on time. */
export function dueMsOf(arrivedMs: number, objectiveMs: number): number {
  return arrivedMs + objectiveMs * DUE_SHARE;
}

/**
 * Decides for a request that no upstream has room for. Under overload a queue in which all wait equally long makes all
 * answers late. So a request joins those that can be on time only if it can be on time itself; otherwise it waits behind
 * them, if that is not for long. A caller that has come back may not come back again, so it is
 * refused only if its answer would miss the deadline. What another lead has queued stays queued while there is time for
 * its answer, as a lead that has just taken over can't forecast well yet.
 */
export function admit(
  {
    nowMs,
    dueMs,
    objectiveMs,
    deadlineMs,
    waitMs,
    lateWaitMs,
    holdMs,
    hasReturned,
    wasQueued,
  }: AdmitInput,
): Admission {
  if (nowMs + waitMs <= dueMs) return "onTime";
  if (wasQueued && !isTooLate(nowMs, deadlineMs, holdMs)) return "late";
  const untilAnswerMs = deadlineMs - nowMs - holdMs;
  const mostWaitMs = hasReturned
    ? untilAnswerMs
    : Math.min(objectiveMs * MAX_LATE_WAIT_OBJECTIVES, untilAnswerMs);
  return lateWaitMs <= mostWaitMs ? "late" : "refuse";
}

/** Whether a request that waits can't be answered before its deadline any more. */
export function isTooLate(
  nowMs: number,
  deadlineMs: number,
  holdMs: number,
): boolean {
  return nowMs + holdMs >= deadlineMs;
}
