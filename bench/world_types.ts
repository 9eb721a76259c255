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
import type { WorkloadRequest } from "./workload.ts";

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
  readonly createPolicy: (context: PolicyContext) => Policy;
  /** Requests go wherever the digests show the shortest wait. */
  readonly isLatencyOnly?: boolean;
}

/** What became of a request. */
export interface Outcome {
  readonly request: WorkloadRequest;
  result: "open" | "served" | "late" | "refused" | "broken";
  firstTokenMs?: number;
  /** Region that served it. */
  servedIn?: string;
  /** The upstream it was last placed on. */
  upstreamId?: string;
  code?: string;
  attempts: number;
  moves: number;
  cachedTokens: number;
  responses: number;
  submissions: number;
  refusedAfterMs?: number;
}

/** A region while the world runs. */
export interface Region {
  readonly id: string;
  readonly engines: readonly Engine[];
  readonly byId: ReadonlyMap<string, Engine>;
  policy: Policy;
  readonly remotes: Map<string, RemoteRegion>;
  readonly held: Set<string>;
}

/** One attempt to serve a request. */
export interface Attempt {
  readonly id: string;
  readonly outcome: Outcome;
  readonly region: Region;
  readonly home: Region;
  readonly exclude: readonly string[];
  readonly isReturned: boolean;
  upstreamId?: string;
  grantedAtMs: number;
  state: "asked" | "granted" | "started" | "closed";
}

/** What an entry VM tells a new lead of a slot that it holds. */
export function heldSlot(attempt: Attempt, nowMs: number): HeldSlot {
  const { request } = attempt.outcome;
  return {
    attemptId: attempt.id,
    upstreamId: attempt.upstreamId!,
    expiresAtMs: nowMs + SLOT_TTL_MS,
    promptTokens: request.promptTokens,
    expectedOutputTokens: request.outputTokens,
    workspace: request.workspace,
  };
}
