/**
 * A bounded prefix cache as in model engines: blocks of the prompt, identified by chained hashes, with LRU eviction.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";

const BLOCK_CHARS = 1024;
const BLOCK_TOKENS = BLOCK_CHARS / 4;

/** Keeps the leading blocks of prompts. */
export class PrefixCache {
  readonly #maxTokens: number;
  /** Chained hashes of the blocks, least recently used first. */
  readonly #blocks = new Set<number>();

  /** Creates a cache that holds blocks of at most `maxTokens` tokens. */
  constructor(maxTokens: number) {
    this.#maxTokens = maxTokens;
  }

  /** Adds all whole blocks of the prompt; returns how many of the prompt's tokens were cached before. */
  insert(prompt: string): number {
    let cachedBlocks = 0;
    let isCached = true;
    let chainHash = 0;
    for (
      let offset = 0;
      offset + BLOCK_CHARS <= prompt.length;
      offset += BLOCK_CHARS
    ) {
      chainHash = hash32(
        `${chainHash}:${prompt.slice(offset, offset + BLOCK_CHARS)}`,
      );
      isCached &&= this.#blocks.has(chainHash);
      if (isCached) cachedBlocks++;
      this.#blocks.delete(chainHash);
      this.#blocks.add(chainHash);
    }
    this.#evict();
    return cachedBlocks * BLOCK_TOKENS;
  }

  /** Share of the cache in use, 0 to 1. */
  get usage(): number {
    return this.#usedTokens / Math.max(1, this.#maxTokens);
  }

  get #usedTokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }

  #evict(): void {
    for (const block of this.#blocks) {
      if (this.#usedTokens <= this.#maxTokens) return;
      this.#blocks.delete(block);
    }
  }
}
