/**
 * Generates seeded traffic: short and long requests of workspaces, whose prompts begin with shared documents.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import { BLOCK_TOKENS } from "./engine.ts";

/** A request of the workload. */
export interface WorkloadRequest {
  readonly id: string;
  readonly atMs: number;
  readonly region: string;
  readonly workspace: string;
  readonly bound: boolean;
  readonly type: "short" | "long";
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixHashes: readonly number[];
  readonly deadlineMs: number;
}

/** A stream of requests of several workspaces, with a rate that may change over time. */
export interface Stream {
  readonly region: string;
  readonly workspaces: readonly string[];
  readonly bound: boolean;
  /** Share of long prompts. */
  readonly longShare: number;
  /** Request rate at a given time. */
  readonly requestsPerS: (atMs: number) => number;
}

/** Documents of one workspace. Each is the shared prefix of many prompts. */
const DOCUMENTS_PER_WORKSPACE = 3;
/** Share of a long prompt that is the shared document. */
const SHARED_PROMPT_SHARE = 0.75;
/** Time that callers allow until the first token. */
export const DEADLINE_MS = { short: 3000, long: 8000 };

/** Generates the requests of all streams up to `endMs`, in order of time. */
export function generate(
  streams: readonly Stream[],
  endMs: number,
  seed: number,
): WorkloadRequest[] {
  const requests = streams.flatMap((stream, index) =>
    generateStream(stream, endMs, new Random(seed * 1000 + index), index)
  );
  return requests.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1));
}

function generateStream(
  stream: Stream,
  endMs: number,
  random: Random,
  index: number,
): WorkloadRequest[] {
  const requests: WorkloadRequest[] = [];
  let atMs = 0;
  for (;;) {
    // Time advances by at most 100 ms at once, so that the arrivals follow a changing rate.
    const perMs = stream.requestsPerS(atMs) / 1000;
    const gapMs = perMs > 0 ? random.exponential(1 / perMs) : Infinity;
    if (gapMs > 100) {
      atMs += 100;
      if (atMs >= endMs) return requests;
      continue;
    }
    atMs += gapMs;
    if (atMs >= endMs) return requests;
    requests.push(
      makeRequest(stream, atMs, random, `${index}-${requests.length}`),
    );
  }
}

function makeRequest(
  stream: Stream,
  atMs: number,
  random: Random,
  id: string,
): WorkloadRequest {
  const type = random.next() < stream.longShare ? "long" : "short";
  const workspace = random.pick(stream.workspaces);
  const promptTokens = type === "long"
    ? 4000 + random.int(8000)
    : 150 + random.int(500);
  const outputTokens = type === "long"
    ? 150 + random.int(300)
    : 20 + random.int(80);
  return {
    id,
    atMs,
    region: stream.region,
    workspace,
    bound: stream.bound,
    type,
    promptTokens,
    outputTokens,
    prefixHashes: makePrefixHashes(type, workspace, promptTokens, random),
    deadlineMs: atMs + DEADLINE_MS[type],
  };
}

function makePrefixHashes(
  type: WorkloadRequest["type"],
  workspace: string,
  promptTokens: number,
  random: Random,
): number[] {
  const blocks = Math.floor(promptTokens / BLOCK_TOKENS);
  // Squaring the random number makes the first documents the most popular ones.
  const document = Math.floor(random.next() ** 2 * DOCUMENTS_PER_WORKSPACE);
  const sharedBlocks = type === "long"
    ? Math.floor(blocks * SHARED_PROMPT_SHARE)
    : 1;
  const sharedHash = hashOf(`${workspace}/${type}/${document}`);
  const ownHash = random.int(2 ** 31);
  return Array.from(
    { length: blocks },
    (_, i) =>
      i < sharedBlocks
        ? (sharedHash + i * 7919) >>> 0
        : (ownHash + i * 104729) >>> 0,
  );
}

function hashOf(text: string): number {
  let hash = 2166136261;
  for (const char of text) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 16777619);
  }
  return hash >>> 0;
}
