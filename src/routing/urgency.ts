/**
 * Ranks requests for the order in which an engine admits those that wait there.
 *
 * @module
 */

/** Input for the rank of a request. */
export interface UrgencyInput {
  /** Time since the request arrived. */
  readonly waitedMs: number;
  /** Latency objective of an answer or of a stream's first event. One that comes later does not count in full. */
  readonly objectiveMs: number;
  /** Time that the engine needs to read the request's prompt. */
  readonly readMs: number;
}

/** The last rank; 0 is admitted first. */
const LAST_RANK = 9;
/** Time span of a rank. It is half of the shortest objectives, so that requests of one service get several ranks. */
const RANK_MS = 250;

/**
 * Computes the rank of a request, where 0 is admitted first. The rank matters at a peak, when all prompts wait to be
 * read: in the order of arrival, requests of every kind would start late. A request that is due sooner comes first. Of
 * two that are due at the same time, the one that is read sooner comes first, as it delays the other less. A request
 * that can't be on time any more comes last, because it is late in any case and would make another one late. The
 * operators' priorities are left out: with them, prompts with a short objective waited behind others that had time, and
 * no kind gained.
 */
export function urgencyRank(
  { waitedMs, objectiveMs, readMs }: UrgencyInput,
): number {
  if (waitedMs + readMs > objectiveMs) return LAST_RANK;
  const rank = Math.floor((objectiveMs - waitedMs + readMs) / RANK_MS);
  return Math.min(LAST_RANK - 1, Math.max(0, rank));
}
