/**
 * Types of a {@link World}: its options, its state and the outcomes that it records.
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

/** Options of a world. */
export interface WorldOptions {
  readonly table: Table;
  readonly service: string;
  readonly regions: readonly string[];
  readonly linkMs: number;
  /** Delay of load reports. Also their interval, unless it is shorter than 100 ms. */
  readonly lagMs: number;
  readonly seed: number;
  readonly cacheBlocks: number;
  /** Share of the responses whose usage reports cached tokens. */
  readonly usageShare: number;
  readonly createPolicy: (context: PolicyContext) => Policy;
  /** Whether requests that are not bound go to the region with the shortest wait by the digests. */
  readonly isLatencyOnly?: boolean;
}

/** The outcome of a request. */
export interface Outcome {
  readonly request: WorkloadRequest;
  result: "open" | "served" | "late" | "refused" | "broken";
  firstTokenMs?: number;
  /** Region that served the request. */
  servedIn?: string;
  /** Upstream that the request was last placed on. */
  upstreamId?: string;
  code?: string;
  attempts: number;
  /** How often the request was sent to another region. */
  moves: number;
  cachedTokens: number;
  responses: number;
  submissions: number;
  refusedAfterMs?: number;
}

/** A region of a running world. */
export interface Region {
  readonly id: string;
  readonly engines: readonly Engine[];
  readonly byId: ReadonlyMap<string, Engine>;
  policy: Policy;
  /** The last digest of each other region, by its id. */
  readonly remotes: Map<string, RemoteRegion>;
  /** Ids of the attempts that hold a slot. */
  readonly held: Set<string>;
}

/** One attempt to serve a request. */
export interface Attempt {
  readonly id: string;
  readonly outcome: Outcome;
  readonly region: Region;
  readonly home: Region;
  readonly exclude: readonly string[];
  /** Whether the request has come back from another region or could not reach it. */
  readonly isReturned: boolean;
  upstreamId?: string;
  grantedAtMs: number;
  state: "asked" | "granted" | "started" | "closed";
}

/** Builds what an entry VM tells a new lead of a slot that it holds. */
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
