/**
 * What a {@link World} is made of, and what it leaves behind.
 *
 * @module
 */

import type { Table } from "../src/agreement/mod.ts";
import {
  type HeldSlot,
  type RemoteRegion,
  SLOT_TTL_MS,
} from "../src/decisions/mod.ts";
import type { Engine } from "./engine.ts";
import type { Policy, PolicyContext } from "./policies.ts";
import type { Ask } from "./workload.ts";

/** How a world is made. */
export interface WorldOptions {
  readonly table: Table;
  readonly service: string;
  readonly regions: readonly string[];
  readonly linkMs: number;
  /** Age of load reports. */
  readonly lagMs: number;
  readonly seed: number;
  readonly cacheBlocks: number;
  /** Share of the answers whose usage tells what was cached. */
  readonly usageShare: number;
  readonly policy: (context: PolicyContext) => Policy;
  /** Requests go wherever the digests show the shortest wait. */
  readonly onlyLatency?: boolean;
}

/** What became of a request. */
export interface Outcome {
  readonly ask: Ask;
  result: "open" | "served" | "late" | "refused" | "broken";
  firstMs?: number;
  /** Region that served it. */
  servedIn?: string;
  /** The upstream it was last placed on. */
  upstreamId?: string;
  code?: string;
  attempts: number;
  moves: number;
  warmTokens: number;
  answers: number;
  runs: number;
  refusedAfterMs?: number;
}

/** A region while the world runs. */
export interface Region {
  readonly id: string;
  readonly engines: readonly Engine[];
  readonly byId: ReadonlyMap<string, Engine>;
  policy: Policy;
  readonly far: Map<string, RemoteRegion>;
  readonly held: Set<string>;
}

/** One attempt to serve a request. */
export interface Attempt {
  readonly id: string;
  readonly outcome: Outcome;
  readonly region: Region;
  readonly home: Region;
  readonly exclude: readonly string[];
  readonly returned: boolean;
  upstreamId?: string;
  grantedAtMs: number;
  state: "asked" | "granted" | "started" | "closed";
}

/** What an entry VM tells a new lead of a slot that it holds. */
export function heldSlot(attempt: Attempt, nowMs: number): HeldSlot {
  const { ask } = attempt.outcome;
  return {
    attemptId: attempt.id,
    upstreamId: attempt.upstreamId!,
    expiresAtMs: nowMs + SLOT_TTL_MS,
    promptTokens: ask.promptTokens,
    expectedOutputTokens: ask.outputTokens,
    workspace: ask.workspace,
  };
}
