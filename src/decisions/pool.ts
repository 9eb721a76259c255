/**
 * A pool's lead as a state machine: it alone admits, queues and places the requests of its upstreams.
 *
 * @module
 */

import type { Table, UpstreamRow } from "../agreement/mod.ts";
import { failure } from "../base/mod.ts";
import type { SlotAnswer, SlotReport, SlotRequest } from "./slots.ts";

/** What the lead's task must do after a step: answer a request, or order an upstream to a state. */
export type PoolOutput =
  | {
    readonly type: "answer";
    readonly attemptId: string;
    readonly answer: SlotAnswer;
  }
  | {
    readonly type: "order";
    readonly upstreamId: string;
    readonly want: "active" | "parked";
  };

/** A load report of an upstream, as old as `atMs` says. */
export interface LoadReport {
  readonly upstreamId: string;
  readonly running: number;
  readonly waiting: number;
  readonly atMs: number;
}

/** What another region's digest says of this service there. */
export interface FarRegion {
  readonly region: string;
  /** One-way delay of the link. */
  readonly linkMs: number;
  /** Time until the first token for a request without a warm prefix, when its pool decides now. */
  readonly predictedWaitMs: number;
  /** Whether it takes requests of others now; never true while it sends away itself. */
  readonly takesIn: boolean;
  readonly seenAtMs: number;
}

/** What a region tells others of one of its pools. */
export interface PoolDigest {
  readonly predictedWaitMs: number;
  readonly takesIn: boolean;
  readonly queued: number;
  readonly running: number;
  readonly slots: number;
}

/** A slot that an entry VM says it holds, told to a new lead. */
export interface HeldSlot {
  readonly attemptId: string;
  readonly upstreamId: string;
  readonly expiresAtMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly workspace: string;
}

/** Who the pool is, and its seed for ties. */
export interface PoolOptions {
  readonly service: string;
  readonly region: string;
  readonly seed: number;
}

/** How long a slot is held without a renewal: a dead VM's slots are back after this. */
export const SLOT_TTL_MS = 6000;

/** The lead's state; each method is one step and returns what its task must do. */
export class Pool {
  readonly options: PoolOptions;
  #upstreams: readonly UpstreamRow[] = [];
  #next = 0;

  constructor(options: PoolOptions) {
    this.options = options;
  }

  /** Takes the rows in force: the pool's upstreams and whatever else of the table decides. */
  configure(
    _table: Table,
    upstreams: readonly UpstreamRow[],
    _nowMs: number,
  ): PoolOutput[] {
    this.#upstreams = upstreams.filter((upstream) =>
      upstream.state === "active"
    );
    return [];
  }

  /** A request asks for a slot: it is answered now or queued. */
  request(request: SlotRequest, nowMs: number): PoolOutput[] {
    const usable = this.#upstreams.filter((upstream) =>
      !request.exclude.includes(upstream.id)
    );
    if (usable.length === 0) {
      return [{
        type: "answer",
        attemptId: request.attemptId,
        answer: {
          type: "refuse",
          failure: failure("noUpstream", { retryAtMs: nowMs + 1000 }),
        },
      }];
    }
    const upstream = usable[this.#next++ % usable.length];
    return [{
      type: "answer",
      attemptId: request.attemptId,
      answer: {
        type: "grant",
        attemptId: request.attemptId,
        upstreamId: upstream.id,
        url: upstream.url,
        expiresAtMs: nowMs + SLOT_TTL_MS,
        queuedMs: 0,
      },
    }];
  }

  /** An attempt ended: frees its slot and learns from it. */
  report(_report: SlotReport, _nowMs: number): PoolOutput[] {
    return [];
  }

  /** Holds these slots for another {@link SLOT_TTL_MS}; answers with those it does not know. */
  renew(_attemptIds: readonly string[], _nowMs: number): readonly string[] {
    return [];
  }

  /** The caller has gone: forgets a queued attempt or frees its slot. */
  cancel(_attemptId: string, _nowMs: number): PoolOutput[] {
    return [];
  }

  /** An upstream's own report of its load. */
  observe(_load: LoadReport, _nowMs: number): PoolOutput[] {
    return [];
  }

  /** What other regions say; replaces what they said before. */
  setFar(_regions: readonly FarRegion[], _nowMs: number): void {}

  /** A new lead learns what entry VMs hold; it starts cautious until it has heard them. */
  adopt(_held: readonly HeldSlot[], _nowMs: number): PoolOutput[] {
    return [];
  }

  /** Time passes: expired slots come back, late requests are refused, queued ones are placed. Every 50 ms or so. */
  tick(_nowMs: number): PoolOutput[] {
    return [];
  }

  /** What other regions are told. */
  digest(_nowMs: number): PoolDigest {
    return {
      predictedWaitMs: 0,
      takesIn: true,
      queued: 0,
      running: 0,
      slots: 0,
    };
  }

  /** The pool's state for people. */
  dump(): unknown {
    return { upstreams: this.#upstreams.map((upstream) => upstream.id) };
  }
}
