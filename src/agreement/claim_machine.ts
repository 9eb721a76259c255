/**
 * What the state machines of a claim shard share: limits, inputs and the effects they ask for.
 *
 * @module
 */

import type { Write } from "../adapters/mod.ts";
import type { BackoffLimits } from "../base/mod.ts";
import type { ClaimAnswer } from "./claim.ts";
import type { TakeoverLimits } from "./claim_head.ts";
import type { EventLimits, Ticket } from "./uncommitted_log.ts";
import type { PromiseLimits } from "./witness_tracker.ts";
import type { ClaimState, VmRef } from "./claim_record.ts";
import type { ReplicaMessage } from "./claim_witness.ts";

/** Both clocks, read together. */
export interface Now {
  readonly nowMs: number;
  readonly monoMs: number;
}

/** Limits of a shard. */
export interface ShardLimits extends TakeoverLimits, PromiseLimits {
  readonly shardCount: number;
  /** How long a claim is remembered after its last step. */
  readonly retentionMs: number;
  /** The longest time after which a caller may repeat a key. */
  readonly callerRetryMs: number;
  /** An idle owner writes this often, to show that it is in touch with the store. */
  readonly touchMs: number;
  /** A store call that takes longer counts as failing. */
  readonly slowMs: number;
  /** Longest time between the grant and the first byte to an upstream. */
  readonly dispatchMs: number;
  /** After this a claim of a VM elsewhere, whose life is not seen here, counts as gone. */
  readonly remoteRunMs: number;
  /** A VM further down in rank waits this much longer, per place, before it takes a shard over. */
  readonly rankDelayMs: number;
  readonly segmentBytes: number;
  /** Most events and bytes in one write or message. */
  readonly batch: EventLimits;
  /** Most callers that wait at one shard. */
  readonly queueLimit: number;
  /** Most bytes of events that wait for the store in an outage: a take-over must carry them in one write. */
  readonly logBytes: number;
  readonly backoff: BackoffLimits;
}

/** The defaults; docs/design/claims.md says why. */
export const DEFAULT_SHARD_LIMITS: ShardLimits = {
  shardCount: 1,
  retentionMs: 7_200_000,
  callerRetryMs: 3_600_000,
  touchMs: 2000,
  slowMs: 1000,
  outageAfterMs: 6000,
  outageLimitMs: 4 * 3_600_000,
  clockSkewMs: 1000,
  promiseMs: 5000,
  promiseMarginMs: 500,
  dispatchMs: 30_000,
  remoteRunMs: 600_000,
  rankDelayMs: 500,
  segmentBytes: 8192,
  batch: { events: 512, bytes: 262_144 },
  queueLimit: 2000,
  logBytes: 786_432,
  backoff: { firstMs: 50, maxMs: 2000 },
};

/** What the machine's driver knows of the region. */
export interface ShardView {
  readonly region: string;
  /** The other VMs of the region that are alive. */
  readonly live: readonly VmRef[];
  /** Whom an owner should list as witnesses, best first. */
  readonly witnesses: readonly VmRef[];
  /** This VM's place among those who may take the shard over, 0 for the first. */
  readonly rank: number;
  /** This VM's share of the store's writes, for this shard. */
  readonly writesPerS: number;
}

/** An owner's reply. */
export type ShardReply =
  | {
    readonly type: "granted";
    readonly claimId: string;
    readonly dispatchBeforeMonoMs: number;
  }
  | { readonly type: "answered"; readonly answer: ClaimAnswer }
  /** No claim stands on the key; only to a lookup. */
  | { readonly type: "none" }
  | { readonly type: "running" | "unknown" | "mismatch" | "spent" | "done" }
  | { readonly type: "unavailable"; readonly retryAtMs: number }
  | { readonly type: "notOwner"; readonly owner?: VmRef };

/**
 * What the driver is to do. A shard has one call to the store under way at a time: `read`, `load` and `write` are each
 * answered by one `on…` call of the machine.
 */
export type Effect =
  | { readonly type: "read" }
  | { readonly type: "load"; readonly from: number; readonly to: number }
  | { readonly type: "write"; readonly writes: readonly Write[] }
  | {
    readonly type: "replicate";
    readonly to: VmRef;
    readonly message: ReplicaMessage;
    readonly uptoN: number;
    readonly sentMonoMs: number;
  }
  | {
    readonly type: "reply";
    readonly ticket: Ticket;
    readonly reply: ShardReply;
  }
  | {
    readonly type: "log";
    readonly level: "info" | "warn" | "error";
    readonly event: string;
    readonly detail: string;
  };

/** A step of a granted claim. */
export interface ClaimChange {
  readonly key: string;
  readonly claimId: string;
  readonly state: Exclude<ClaimState, "claimed">;
  readonly answer?: ClaimAnswer;
}

/** Collects effects until the driver takes them. */
export class Outbox {
  #effects: Effect[] = [];

  push(effect: Effect): void {
    this.#effects.push(effect);
  }

  drain(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
