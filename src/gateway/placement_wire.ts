/**
 * The messages between a VM and its region's lead: queries where to send a request, renewals and withdrawals of queued
 * ones, and the lead's answers.
 *
 * @module
 */

import {
  isBoolean,
  isNumber,
  isText,
  listOf,
  nullable,
  objectOf,
  optional,
  tupleOf,
} from "../base/mod.ts";
import type { RegionCapacity, Step } from "../routing/mod.ts";
import type { GatewayConfig } from "../routing/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import { REFUSAL_CODES } from "./call_input.ts";
import { decodeUse } from "./quota_wire.ts";
import type { PlacementRequest, QueueFields } from "./local_placement.ts";
import type { Grant, RestingUpstream } from "./upstream_link.ts";

/** A query of a VM; see {@link PlacementRequest} for the fields that both have. */
export interface PlacementQuery {
  /** The query's number at the asking VM. */
  readonly question: number;
  readonly from: string;
  readonly service: string;
  readonly parts: readonly (readonly [id: string, tokens: number])[];
  readonly promptTokens: number;
  readonly objectiveMs: number;
  readonly eventGapMs: number;
  /** Absent if there is no limit to the gap. */
  readonly endGapMs?: number;
  readonly waitedMs: number;
  readonly leftMs: number;
  readonly tried: readonly string[];
  /** Upstreams to avoid while there is another one; see {@link QueryContext.lost}. */
  readonly lost: readonly string[];
  /** Upstreams that want no request from the asking VM, with the time left in ms; absent if there is none. */
  readonly resting?: readonly RestingUpstream[];
  readonly triedRegions: readonly string[];
  readonly homeRegions: readonly string[];
  readonly isRelayed: boolean;
  /** Absent for requests that are not suspected. */
  readonly isSuspect?: true;
  readonly quota?: QuotaUse;
  readonly version?: string;
  /**
   * Set, with `priority` and `outputTokens`, if the request waits in the lead's queue when it finds no place. For
   * `fingerprint` and `wasQueued` see {@link QueueFields}.
   */
  readonly workspace?: string;
  readonly priority?: number;
  readonly outputTokens?: number;
  readonly fingerprint?: string;
  readonly wasQueued?: true;
}

/** What a lead tells of the quota of a request. */
interface QuotaVerdict {
  /** Set if the lead has charged the request to its workspace's quota, or refused it for that. */
  readonly counted?: true;
  /** Units of the workspace that the asking VM may use if the lead falls silent; absent from VMs of earlier versions. */
  readonly quotaLeft?: number;
}

/** What a lead decided. `unknown` if its configuration, which may be older, lacks the service. */
export type PlacementVerdict =
  | { readonly type: "unknown" }
  /** The request waits in the lead's queue; another answer follows. */
  | { readonly type: "queued" }
  | QuotaVerdict & {
    readonly type: "send";
    readonly upstreamKey: string;
    readonly grant: Grant;
  }
  | QuotaVerdict & { readonly type: "relay"; readonly region: string }
  | { readonly type: "wait"; readonly waitMs: number }
  | QuotaVerdict & {
    readonly type: "refuse";
    readonly reason: Extract<Step<never>, { type: "refuse" }>["reason"];
    readonly comeBackMs: number;
    readonly here: number;
    readonly resting: number;
    readonly elsewhere: readonly RegionCapacity[];
  };

type Refusal = Extract<PlacementVerdict, { type: "refuse" }>;

/** The lead's answer to a query. */
export interface PlacementAnswer {
  readonly question: number;
  readonly verdict: PlacementVerdict;
}

/** What a query contains besides the request. */
export interface QueryContext {
  readonly question: number;
  readonly from: string;
  /** Upstreams to which the asking VM itself has just lost connections; the lead may reach them. */
  readonly lost: readonly string[];
  /** Upstreams of the service that want no request from the asking VM. */
  readonly resting: readonly RestingUpstream[];
  readonly nowMs: number;
}

/** A VM that has lost more upstreams than this has lost its own links, so that its query names none of them. */
const MAX_LOST_UPSTREAMS = 8;

/** Most resting upstreams that a query names; a grant of another one is not used. */
const MAX_RESTING_UPSTREAMS = 32;

/** Encodes the query about a request. */
export function encodeQuery(
  request: PlacementRequest,
  { question, from, lost, resting, nowMs }: QueryContext,
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
    ...(resting.length > 0
      ? { resting: resting.slice(0, MAX_RESTING_UPSTREAMS) }
      : {}),
    triedRegions: [...request.triedRegions],
    homeRegions: request.homeRegions,
    isRelayed: request.isRelayed,
    ...(request.isSuspect ? { isSuspect: true } : {}),
    quota: request.quota,
    version: request.version,
    ...request.queue,
  };
}

/** Decodes what a query tells for the lead's queue; `undefined` if the request doesn't wait there. */
function decodeQueueFields(query: PlacementQuery): QueueFields | undefined {
  const { workspace, priority, outputTokens, fingerprint, wasQueued } = query;
  if (typeof workspace !== "string") return undefined;
  const isFinite = Number.isFinite(priority) && Number.isFinite(outputTokens);
  if (!isFinite) return undefined;
  return {
    workspace,
    priority: priority!,
    outputTokens: outputTokens!,
    ...(typeof fingerprint === "string" ? { fingerprint } : {}),
    ...(wasQueued === true ? { wasQueued } : {}),
  };
}

const areTexts = listOf(isText);

const isQuery = objectOf<
  Omit<PlacementQuery, "isSuspect" | "quota" | "version" | keyof QueueFields>
>({
  question: isNumber,
  from: isText,
  service: isText,
  parts: listOf(tupleOf<readonly [string, number]>(isText, isNumber)),
  promptTokens: isNumber,
  objectiveMs: nullable(isNumber),
  eventGapMs: nullable(isNumber),
  endGapMs: optional(isNumber),
  waitedMs: isNumber,
  leftMs: isNumber,
  tried: areTexts,
  lost: areTexts,
  resting: optional(listOf(tupleOf<RestingUpstream>(isText, isNumber))),
  triedRegions: areTexts,
  homeRegions: areTexts,
  isRelayed: isBoolean,
});

/** Decodes a datagram; `undefined` if it is no query. Optional fields are checked as they are used. */
export function decodeQuery(params: unknown): PlacementQuery | undefined {
  return isQuery(params) ? params as PlacementQuery : undefined;
}

/** Converts a query to the request that it is about; `undefined` if the service is not known here. */
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
    restLeftMs: new Map(query.resting),
    lost: query.lost,
    triedRegions: new Set(query.triedRegions),
    homeRegions: query.homeRegions,
    isRelayed: query.isRelayed,
    isSuspect: query.isSuspect === true,
    quota: decodeUse(query.quota),
    version: typeof query.version === "string" ? query.version : undefined,
    queue: decodeQueueFields(query),
  };
}

const isQuotaVerdict = objectOf<QuotaVerdict>({
  counted: (value): value is true | undefined =>
    value === undefined || value === true,
  quotaLeft: optional(nullable(isNumber)),
});

const isGrant = objectOf<Grant>({
  running: isNumber,
  waitingTokens: isNumber,
  unreadTokens: isNumber,
  fetchFrom: optional(isText),
});

const isCapacity = objectOf<RegionCapacity>({
  region: isText,
  free: nullable(isNumber),
  queue: nullable(isNumber),
  isRecovering: optional(isBoolean),
  isScarce: isBoolean,
});

function isReason(value: unknown): value is Refusal["reason"] {
  return isText(value) &&
    (value === "expired" || Object.hasOwn(REFUSAL_CODES, value));
}

/** What each type of verdict has to tell. */
const VERDICT_CHECKS: Readonly<
  Record<PlacementVerdict["type"], (verdict: unknown) => boolean>
> = {
  unknown: () => true,
  queued: () => true,
  send: objectOf<{ upstreamKey: string; grant: Grant }>({
    upstreamKey: isText,
    grant: isGrant,
  }),
  relay: objectOf<{ region: string }>({ region: isText }),
  wait: objectOf<{ waitMs: number }>({ waitMs: isNumber }),
  refuse: objectOf<Omit<Refusal, "type" | keyof QuotaVerdict>>({
    reason: isReason,
    comeBackMs: isNumber,
    here: nullable(isNumber),
    resting: nullable(isNumber),
    elsewhere: listOf(isCapacity),
  }),
};

function isVerdict(value: unknown): value is PlacementVerdict {
  const type = (value as { type?: unknown } | null)?.type;
  return isText(type) && Object.hasOwn(VERDICT_CHECKS, type) &&
    isQuotaVerdict(value) &&
    VERDICT_CHECKS[type as PlacementVerdict["type"]](value);
}

const isAnswer = objectOf<PlacementAnswer>({
  question: isNumber,
  verdict: isVerdict,
});

/** Decodes a datagram; `undefined` if it is no answer. */
export function decodePlacementAnswer(
  params: unknown,
): PlacementAnswer | undefined {
  return isAnswer(params) ? params : undefined;
}

/** Tells a lead that nobody waits for the answer to a query any more. */
export interface Withdrawal {
  readonly question: number;
  readonly from: string;
}

/** Decodes a datagram; `undefined` if it is no withdrawal. */
export function decodeWithdrawal(params: unknown): Withdrawal | undefined {
  const withdrawal = params as Partial<Withdrawal> | null;
  return typeof withdrawal?.question === "number" &&
      typeof withdrawal.from === "string"
    ? withdrawal as Withdrawal
    : undefined;
}

/** Renews the places of a VM's requests in the queue of a lead. */
export interface Renewal {
  readonly from: string;
  readonly questions: readonly number[];
}

/** A lead's answer to a renewal: questions that it does not know. */
export interface RenewalAnswer {
  readonly unknown: readonly number[];
}

function areNumbers(value: unknown): value is readonly number[] {
  return Array.isArray(value) && value.every(Number.isFinite);
}

/** Decodes a datagram; `undefined` if it is no renewal. */
export function decodeRenewal(params: unknown): Renewal | undefined {
  const renewal = params as Partial<Renewal> | null;
  return typeof renewal?.from === "string" && areNumbers(renewal.questions)
    ? renewal as Renewal
    : undefined;
}

/** Decodes a datagram; `undefined` if it is no answer to a renewal. */
export function decodeRenewalAnswer(
  params: unknown,
): RenewalAnswer | undefined {
  const answer = params as Partial<RenewalAnswer> | null;
  return areNumbers(answer?.unknown) ? answer as RenewalAnswer : undefined;
}
