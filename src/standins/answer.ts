/**
 * The text of a stand-in engine's answer. It depends only on the prompt's nonce and the number of tokens, so that a
 * caller can tell its own complete answer from one that is truncated, duplicated, garbled or meant for another request.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";

/** Least number of tokens of an answer: the nonce, one numbered token and the checksum. */
export const MIN_ANSWER_TOKENS = 3;

const NONCE_PATTERN = /nonce:([A-Za-z0-9_-]{1,128})/;

/** Result of {@link checkAnswer}: `cut` is a truncated answer, `foreign` one of another request. */
export type AnswerCheck = "complete" | "cut" | "foreign" | "garbled";

/** Returns the nonce in a prompt (`nonce:…`), or a hash of the prompt if it has none. */
export function extractNonce(prompt: string): string {
  return NONCE_PATTERN.exec(prompt)?.[1] ?? `h${hash32(prompt).toString(16)}`;
}

/** Returns token `index` (from 0) of the answer with `count` tokens. */
export function formatToken(
  nonce: string,
  index: number,
  count: number,
): string {
  if (index === 0) return nonce;
  if (index < count - 1) return ` t${index}`;
  return ` #${hash32(`${nonce}:${count}`).toString(16)}`;
}

/** Returns the whole answer. */
export function formatAnswer(nonce: string, count: number): string {
  let text = "";
  for (let index = 0; index < count; index++) {
    text += formatToken(nonce, index, count);
  }
  return text;
}

/** Compares the text that a caller received with the answer that belongs to its nonce. */
export function checkAnswer(text: string, nonce: string): AnswerCheck {
  const words = text.split(" ");
  if (words[0] !== nonce) {
    return nonce.startsWith(text) ? "cut" : "foreign";
  }
  if (text === formatAnswer(nonce, words.length)) return "complete";
  const isPrefix = formatAnswer(nonce, words.length + 1).startsWith(text);
  return isPrefix ? "cut" : "garbled";
}

/** Estimates the tokens of a prompt, by the usual rule of thumb of four characters per token. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(prompt.length / 4);
}
