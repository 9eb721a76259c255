/**
 * A bounded prefix cache as engines have it: blocks of the prompt, chained by hash, dropped least recently used first.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";

const BLOCK_CHARS = 1024;
const BLOCK_TOKENS = BLOCK_CHARS / 4;

/** Remembers the leading blocks of prompts. */
export class PrefixCache {
  readonly #limitTokens: number;
  /** Chained hash of a block; the order of insertion is the order of use. */
  readonly #blocks = new Set<number>();

  /** A cache that holds blocks for at most `limitTokens` tokens. */
  constructor(limitTokens: number) {
    this.#limitTokens = limitTokens;
  }

  /** Tokens of the prompt that are warm; afterwards all its whole blocks are. */
  touch(prompt: string): number {
    let warmBlocks = 0;
    let warm = true;
    let chain = 0;
    for (let at = 0; at + BLOCK_CHARS <= prompt.length; at += BLOCK_CHARS) {
      chain = hash32(`${chain}:${prompt.slice(at, at + BLOCK_CHARS)}`);
      warm &&= this.#blocks.has(chain);
      if (warm) warmBlocks++;
      this.#blocks.delete(chain);
      this.#blocks.add(chain);
    }
    this.#evict();
    return warmBlocks * BLOCK_TOKENS;
  }

  /** Share of the cache in use, 0 to 1. */
  get usage(): number {
    return this.#usedTokens / Math.max(1, this.#limitTokens);
  }

  get #usedTokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  #evict(): void {
    for (const block of this.#blocks) {
      if (this.#usedTokens <= this.#limitTokens) return;
      this.#blocks.delete(block);
    }
  }
}
