/**
 * The question of a VM to its region's lead where a request goes, and the answer.
 *
 * @module
 */

import type { RegionRoom, Step } from "../routing/mod.ts";
import type { GatewayConfig } from "../routing/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import { decodeUse } from "./quota_wire.ts";
import type { PlaceAsk } from "./place_here.ts";
import type { Grant } from "./upstream_link.ts";

/** A question; see {@link PlaceAsk} for the fields that it shares with it. */
export interface PlaceQuestion {
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
export type PlaceVerdict =
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
    readonly elsewhere: readonly RegionRoom[];
    readonly counted?: true;
  };

/** An answer. */
export interface PlaceAnswer {
  readonly question: number;
  readonly verdict: PlaceVerdict;
}

/** What a question says besides the request. */
export interface Asker {
  readonly question: number;
  readonly from: string;
  /** Upstreams that the asking VM itself has lost a moment ago; the lead may reach them. */
  readonly lost: readonly string[];
  readonly nowMs: number;
}

/** Most lost upstreams that a question names: who has lost more has lost its own links. */
const MOST_LOST = 8;

/** The question about a request. */
export function encodeAsk(
  ask: PlaceAsk,
  { question, from, lost, nowMs }: Asker,
): PlaceQuestion {
  return {
    question,
    from,
    service: ask.service.name,
    parts: ask.prompt.parts.map(({ id, tokens }) => [id, tokens]),
    promptTokens: ask.prompt.tokens,
    objectiveMs: ask.objectiveMs,
    eventGapMs: ask.eventGapMs,
    endGapMs: ask.endGapMs < Infinity ? ask.endGapMs : undefined,
    waitedMs: nowMs - ask.arrivedMs,
    leftMs: ask.deadlineMs - nowMs,
    tried: [...ask.tried],
    lost: lost.length > MOST_LOST ? [] : lost,
    triedRegions: [...ask.triedRegions],
    homeRegions: ask.homeRegions,
    isRelayed: ask.isRelayed,
    ...(ask.isSuspect ? { isSuspect: true } : {}),
    quota: ask.quota,
  };
}

/** Reads a datagram; `undefined` if it is no question. */
export function decodeQuestion(params: unknown): PlaceQuestion | undefined {
  const question = params as Partial<PlaceQuestion> | null;
  return typeof question?.question === "number" &&
      typeof question.from === "string" &&
      typeof question.service === "string" &&
      [
        question.parts,
        question.tried,
        question.lost,
        question.triedRegions,
        question.homeRegions,
      ].every(Array.isArray) &&
      [question.promptTokens, question.waitedMs, question.leftMs].every(
        Number.isFinite,
      )
    ? question as PlaceQuestion
    : undefined;
}

/** The request that a question is about; `undefined` if the service is not known here. */
export function askOf(
  question: PlaceQuestion,
  config: GatewayConfig | undefined,
  nowMs: number,
): PlaceAsk | undefined {
  const service = config?.service(question.service);
  if (!config || !service) return undefined;
  return {
    service,
    config,
    prompt: {
      parts: question.parts.map(([id, tokens]) => ({ id, tokens })),
      tokens: question.promptTokens,
    },
    objectiveMs: question.objectiveMs,
    eventGapMs: question.eventGapMs,
    endGapMs: question.endGapMs ?? Infinity,
    arrivedMs: nowMs - question.waitedMs,
    deadlineMs: nowMs + question.leftMs,
    tried: new Set(question.tried),
    triedRegions: new Set(question.triedRegions),
    homeRegions: question.homeRegions,
    isRelayed: question.isRelayed,
    isSuspect: question.isSuspect === true,
    quota: decodeUse(question.quota),
  };
}

/** Reads a datagram; `undefined` if it is no answer. */
export function decodePlaceAnswer(params: unknown): PlaceAnswer | undefined {
  const answer = params as Partial<PlaceAnswer> | null;
  return typeof answer?.question === "number" &&
      typeof answer.verdict?.type === "string"
    ? answer as PlaceAnswer
    : undefined;
}
