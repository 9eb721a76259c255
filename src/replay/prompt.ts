/**
 * The text of a trace's prompts: the same prefix id always gives the same leading text, and the nonce stands last, so
 * that it does not spoil the shared prefix.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { TraceRequest } from "./trace.ts";

const CHARS_PER_TOKEN = 4;

/** Filler of `tokens` tokens that belongs to `id`. */
function buildFiller(id: string, tokens: number): string {
  const chars = tokens * CHARS_PER_TOKEN;
  const word = `${hash32(id).toString(36).padStart(7, "0")} `;
  return word.repeat(Math.ceil(chars / word.length)).slice(0, chars);
}

/** The prompt of a request, tagged with the nonce of one attempt. */
export function buildPrompt(request: TraceRequest, nonce: string): string {
  const { prefixId, prefixTokens, promptTokens } = request;
  const shared = prefixId ? buildFiller(prefixId, prefixTokens) : "";
  const ownTokens = Math.max(0, promptTokens - (prefixId ? prefixTokens : 0));
  return `${shared}${buildFiller(nonce, ownTokens)} nonce:${nonce}`;
}
