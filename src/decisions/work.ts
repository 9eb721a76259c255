/**
 * The size of a request: tokens to prefill and to generate, in one unit.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { SlotRequest } from "./slots.ts";

/**
 * A generated token counts as this many prefilled ones. Prefill batches hundreds of tokens into one pass, but
 * generation adds one token per pass. If both counted alike, a workspace with short prompts and long answers could take
 * most of an engine while it seems to use little. 5 is the ratio of the default rates in the table.
 */
export const OUTPUT_TOKEN_COST = 5;

/**
 * Minimum work of a request. Calls of plain services have no tokens; with no work, fair queueing and limits would not
 * apply to them.
 */
export const MIN_WORK_TOKENS = 64;

/** Returns the work of a request whose first `cachedTokens` are cached, in prefill-equivalent tokens. */
export function workTokens(
  size: Pick<SlotRequest, "promptTokens" | "expectedOutputTokens">,
  cachedTokens = 0,
): number {
  const prefill = Math.max(0, size.promptTokens - cachedTokens);
  return Math.max(
    MIN_WORK_TOKENS,
    prefill + size.expectedOutputTokens * OUTPUT_TOKEN_COST,
  );
}

/**
 * Returns the tokens that a cached prefix of `matchedBlocks` saves; the blocks are taken as equal parts of the prompt.
 */
export function cachedPrefixTokens(
  request: SlotRequest,
  matchedBlocks: number,
): number {
  const blocks = request.prefixHashes.length;
  if (blocks === 0) return 0;
  return Math.floor((request.promptTokens * matchedBlocks) / blocks);
}

/** Returns the time that an idle and healthy upstream of these rates needs to prefill that many tokens. */
export function prefillMs(row: UpstreamRow, tokens: number): number {
  return (tokens / row.prefillTokensPerS) * 1000;
}

/** Returns the price of this work at an upstream of these rates, in microcents. */
export function priceMicrocents(
  work: number,
  row: UpstreamRow,
  upstreamHourMicrocents: number,
): number {
  const hours = work / row.prefillTokensPerS / 3600;
  return hours * upstreamHourMicrocents;
}
