/**
 * The question of a VM to its region's lead where a request goes, and the answer.
 *
 * @module
 */

import type { RegionCapacity, Step } from "../routing/mod.ts";
import type { GatewayConfig } from "../routing/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import { decodeUse } from "./quota_wire.ts";
import type { PlacementRequest } from "./local_placement.ts";
import type { Grant } from "./upstream_link.ts";

/** A question; see {@link PlacementRequest} for the fields that it shares with it. */
export interface PlacementQuery {
  /** The asking VM's number of the question. */
  readonly question: number;
  readonly from: string;
  readonly service: string;
  readonly parts: readonly (readonly [id: string, tokens: number])[];
  readonly promptTokens: number;
  readonly objectiveMs: number;
  readonly eventGapMs: number;
  /** Absent if any gap will do. */
  readonly endGapMs?: number;
  readonly waitedMs: number;
  readonly leftMs: number;
  readonly tried: readonly string[];
  /** Left aside while there is another. */
  readonly lost: readonly string[];
  readonly triedRegions: readonly string[];
  readonly homeRegions: readonly string[];
  readonly isRelayed: boolean;
  /** Absent for requests of which nothing is known. */
  readonly isSuspect?: true;
  readonly quota?: QuotaUse;
}

/** What a lead decided. `unknown` if it does not know the service: it may be behind with the configuration. */
export type PlacementVerdict =
  | { readonly type: "unknown" }
  | {
    readonly type: "send";
    readonly upstreamKey: string;
    readonly grant: Grant;
    /** Set if the lead has counted the request's use of its workspace's limit. */
    readonly counted?: true;
  }
  | { readonly type: "relay"; readonly region: string; readonly counted?: true }
  | { readonly type: "wait"; readonly waitMs: number }
  | {
    readonly type: "refuse";
    readonly reason: Extract<Step<never>, { type: "refuse" }>["reason"];
    readonly comeBackMs: number;
    readonly here: number;
    readonly elsewhere: readonly RegionCapacity[];
    readonly counted?: true;
  };

/** An answer. */
export interface PlacementAnswer {
  readonly question: number;
  readonly verdict: PlacementVerdict;
}

/** What a question says besides the request. */
export interface QueryContext {
  readonly question: number;
  readonly from: string;
  /** Upstreams that the asking VM itself has lost a moment ago; the lead may reach them. */
  readonly lost: readonly string[];
  readonly nowMs: number;
}

/** Most lost upstreams that a question names: who has lost more has lost its own links. */
const MAX_LOST_UPSTREAMS = 8;

/** The question about a request. */
export function encodeQuery(
  request: PlacementRequest,
  { question, from, lost, nowMs }: QueryContext,
): PlacementQuery {
  return {
    question,
    from,
    service: request.service.name,
    parts: request.prompt.parts.map(({ id, tokens }) => [id, tokens]),
    promptTokens: request.prompt.tokens,
    objectiveMs: request.objectiveMs,
    eventGapMs: request.eventGapMs,
    endGapMs: request.endGapMs < Infinity ? request.endGapMs : undefined,
    waitedMs: nowMs - request.arrivedMs,
    leftMs: request.deadlineMs - nowMs,
    tried: [...request.tried],
    lost: lost.length > MAX_LOST_UPSTREAMS ? [] : lost,
    triedRegions: [...request.triedRegions],
    homeRegions: request.homeRegions,
    isRelayed: request.isRelayed,
    ...(request.isSuspect ? { isSuspect: true } : {}),
    quota: request.quota,
  };
}

/** Reads a datagram; `undefined` if it is no question. */
export function decodeQuery(params: unknown): PlacementQuery | undefined {
  const query = params as Partial<PlacementQuery> | null;
  return typeof query?.question === "number" &&
      typeof query.from === "string" &&
      typeof query.service === "string" &&
      [
        query.parts,
        query.tried,
        query.lost,
        query.triedRegions,
        query.homeRegions,
      ].every(Array.isArray) &&
      [query.promptTokens, query.waitedMs, query.leftMs].every(
        Number.isFinite,
      )
    ? query as PlacementQuery
    : undefined;
}

/** The request that a question is about; `undefined` if the service is not known here. */
export function toPlacementRequest(
  query: PlacementQuery,
  config: GatewayConfig | undefined,
  nowMs: number,
): PlacementRequest | undefined {
  const service = config?.service(query.service);
  if (!config || !service) return undefined;
  return {
    service,
    config,
    prompt: {
      parts: query.parts.map(([id, tokens]) => ({ id, tokens })),
      tokens: query.promptTokens,
    },
    objectiveMs: query.objectiveMs,
    eventGapMs: query.eventGapMs,
    endGapMs: query.endGapMs ?? Infinity,
    arrivedMs: nowMs - query.waitedMs,
    deadlineMs: nowMs + query.leftMs,
    tried: new Set(query.tried),
    triedRegions: new Set(query.triedRegions),
    homeRegions: query.homeRegions,
    isRelayed: query.isRelayed,
    isSuspect: query.isSuspect === true,
    quota: decodeUse(query.quota),
  };
}

/** Reads a datagram; `undefined` if it is no answer. */
export function decodePlacementAnswer(
  params: unknown,
): PlacementAnswer | undefined {
  const answer = params as Partial<PlacementAnswer> | null;
  return typeof answer?.question === "number" &&
      typeof answer.verdict?.type === "string"
    ? answer as PlacementAnswer
    : undefined;
}
