/**
 * The text a stand-in engine answers with. It follows from the prompt's nonce and the number of tokens alone, so that
 * a caller can tell its own complete answer from a cut, doubled, garbled or foreign one.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";

/** Fewest tokens of an answer: the nonce, one numbered token and the checksum. */
export const MIN_ANSWER_TOKENS = 3;

const NONCE_PATTERN = /nonce:([A-Za-z0-9_-]{1,128})/;

/** What {@link checkAnswer} finds. */
export type AnswerCheck = "complete" | "cut" | "foreign" | "garbled";

/** The nonce in a prompt (`nonce:…`); a prompt without one gets a hash of its text. */
export function extractNonce(prompt: string): string {
  return NONCE_PATTERN.exec(prompt)?.[1] ?? `h${hash32(prompt).toString(16)}`;
}

/** Token `index` (from 0) of the answer with `count` tokens. */
export function formatToken(
  nonce: string,
  index: number,
  count: number,
): string {
  if (index === 0) return nonce;
  if (index < count - 1) return ` t${index}`;
  return ` #${hash32(`${nonce}:${count}`).toString(16)}`;
}

/** The whole answer. */
export function formatAnswer(nonce: string, count: number): string {
  let text = "";
  for (let index = 0; index < count; index++) {
    text += formatToken(nonce, index, count);
  }
  return text;
}

/** Compares what a caller received with the answer that its nonce stands for. */
export function checkAnswer(text: string, nonce: string): AnswerCheck {
  const words = text.split(" ");
  if (words[0] !== nonce) {
    return nonce.startsWith(text) ? "cut" : "foreign";
  }
  if (text === formatAnswer(nonce, words.length)) return "complete";
  const isPrefix = formatAnswer(nonce, words.length + 1).startsWith(text);
  return isPrefix ? "cut" : "garbled";
}

/** Tokens of a prompt, by the usual rule of thumb of four characters a token. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(prompt.length / 4);
}
