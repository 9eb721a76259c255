/**
 * Slots: what a VM asks of a pool's lead, what the lead answers, and what it is told afterwards.
 *
 * @module
 */

import type { Failure } from "../base/mod.ts";

/** A request for a slot: what a pool's lead must know of a request, and nothing of its content. */
export interface SlotRequest {
  /** Unique for each attempt. */
  readonly attemptId: string;
  readonly service: string;
  readonly workspace: string;
  /** Higher goes first. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  /** Hashes of the prompt's leading blocks, longest last; a warm prefix shares the first ones. */
  readonly prefixHashes: readonly number[];
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Upstreams already tried for this request. */
  readonly exclude: readonly string[];
  /** Set when the caller itself bound the request to its home; the stricter of this and the table holds. */
  readonly boundByCaller?: boolean;
  /** Set once the request was at another region, or that region refused it: it moves no second time. */
  readonly stayHome?: boolean;
  /** The region it came from, when another sent it here. */
  readonly sentFrom?: string;
  readonly tableVersion: number;
}

/** A slot: the right to run one attempt at one upstream until `expiresAtMs`, unless renewed. */
export interface SlotGrant {
  readonly type: "grant";
  readonly attemptId: string;
  readonly upstreamId: string;
  readonly url: string;
  readonly expiresAtMs: number;
  readonly queuedMs: number;
  /** The priority to ask of an engine; higher is prefilled first. A plain service ignores it. */
  readonly enginePriority?: number;
}

/** Advice to send the request to another region instead. */
export interface SlotShift {
  readonly type: "shift";
  readonly region: string;
}

/** What a lead answers to a {@link SlotRequest}. */
export type SlotAnswer = SlotGrant | SlotShift | {
  readonly type: "refuse";
  readonly failure: Failure;
};

/** What became of an attempt, told to the lead so that it learns and frees the slot. */
export interface SlotReport {
  readonly attemptId: string;
  readonly service: string;
  readonly upstreamId: string;
  /**
   * `started`: the first token came and the slot stays held; sent once, so that a slow upstream is known by its next
   * first token and not by its next end. `refused`: the upstream did not run it. `failed`: it may have run.
   */
  readonly outcome:
    | "started"
    | "done"
    | "canceled"
    | "refused"
    | "failed"
    | "unreachable";
  /** From the grant to the first token (for a plain service, to the answer's headers). */
  readonly firstTokenMs?: number;
  /** Prompt tokens that the engine says it had cached, where its answer's usage tells. */
  readonly cachedTokens?: number;
  readonly outputTokens: number;
  readonly totalMs: number;
}
