/**
 * Builds the prompts of a trace. The same prefix id always gives the same leading text, and the nonce is at the end, so
 * that it does not break the shared prefix.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { TraceRequest } from "./trace.ts";

const CHARS_PER_TOKEN = 4;

/** Builds filler text of `tokens` tokens that depends on `id` only. */
function buildFiller(id: string, tokens: number): string {
  const chars = tokens * CHARS_PER_TOKEN;
  const word = `${hash32(id).toString(36).padStart(7, "0")} `;
  return word.repeat(Math.ceil(chars / word.length)).slice(0, chars);
}

/** Builds the prompt of a request, tagged with the nonce of one attempt. */
export function buildPrompt(request: TraceRequest, nonce: string): string {
  const { prefixId, prefixTokens, promptTokens } = request;
  const shared = prefixId ? buildFiller(prefixId, prefixTokens) : "";
  const ownTokens = Math.max(0, promptTokens - (prefixId ? prefixTokens : 0));
  return `${shared}${buildFiller(nonce, ownTokens)} nonce:${nonce}`;
}
