/**
 * In which order an engine admits what waits there.
 *
 * @module
 */

/** What an order is decided on. */
export interface UrgencyInput {
  /** Time since the request arrived. */
  readonly waitedMs: number;
  /** An answer, or a stream's first event, within this earns its full worth. */
  readonly objectiveMs: number;
  /** Time that the engine needs to read its prompt. */
  readonly readMs: number;
}

/** The last rank; 0 is admitted first. */
const LAST_RANK = 9;
/** Time that a rank stands for: half of the shortest objectives, so that those of one service fall into several ranks. */
const RANK_MS = 250;

/**
 * The rank of a request, 0 first. Made for a peak at which all prompts wait for reading: in the order of arrival every
 * kind starts late. First comes what is due first, and of two that are due together the one that is read sooner, as it
 * holds the other up less. What can't be on time any more comes last: it is served late all the same, and would make
 * another late. The operators' priorities are left out: by them prompts with a short objective waited behind others
 * that had time, and no kind gained.
 */
export function urgencyRank(
  { waitedMs, objectiveMs, readMs }: UrgencyInput,
): number {
  if (waitedMs + readMs > objectiveMs) return LAST_RANK;
  const rank = Math.floor((objectiveMs - waitedMs + readMs) / RANK_MS);
  return Math.min(LAST_RANK - 1, Math.max(0, rank));
}
