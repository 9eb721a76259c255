/**
 * Slots: what a VM asks of a pool's lead, what the lead answers, and what is reported to it afterwards.
 *
 * @module
 */

import type { Failure } from "../base/mod.ts";

/** A request for a slot: what a pool's lead needs to place a request, without its content. */
export interface SlotRequest {
  /** Unique for each attempt. */
  readonly attemptId: string;
  readonly service: string;
  readonly workspace: string;
  /** A request with a higher priority goes first. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  /** Hashes of the prompt's leading blocks, longest last; prompts with a common prefix share the first ones. */
  readonly prefixHashes: readonly number[];
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Upstreams already tried for this request. */
  readonly exclude: readonly string[];
  /** Set when the caller itself bound the request to its home region; the stricter of this and the table applies. */
  readonly boundByCaller?: boolean;
  /** Set once the request was at another region, or that region refused it, so that it is not sent a second time. */
  readonly stayHome?: boolean;
  /** The region that sent the request here, if another one did. */
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
  /** The priority for the engine, which prefills higher ones first. A plain service ignores it. */
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

/** The outcome of an attempt, reported to the lead so that it updates its estimates and frees the slot. */
export interface SlotReport {
  readonly attemptId: string;
  readonly service: string;
  readonly upstreamId: string;
  /**
   * `started`: the first token came and the slot stays held. It is sent once, so that a slow upstream is noticed at its
   * next first token and not at the end of its next answer. `refused`: the upstream did not run the attempt. `failed`:
   * the attempt may have run.
   */
  readonly outcome:
    | "started"
    | "done"
    | "canceled"
    | "refused"
    | "failed"
    | "unreachable";
  /** Time from the grant to the first token (for a plain service, to the answer's headers). */
  readonly firstTokenMs?: number;
  /** Prompt tokens that the engine had cached, if the usage in its answer reports them. */
  readonly cachedTokens?: number;
  readonly outputTokens: number;
  readonly totalMs: number;
}
