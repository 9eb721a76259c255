/**
 * Types shared by the state machines of a claim shard: limits, inputs and the effects that they request.
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

/** Wall clock and monotonic clock, read together. */
export interface Now {
  readonly nowMs: number;
  readonly monoMs: number;
}

/** Limits of a shard. */
export interface ShardLimits extends TakeoverLimits, PromiseLimits {
  readonly shardCount: number;
  /** How long a claim is kept after its last change. */
  readonly retentionMs: number;
  /** Longest time after which a caller may still retry a key. */
  readonly callerRetryMs: number;
  /** An idle owner writes this often, to show that it reaches the store. */
  readonly touchMs: number;
  /** A store call that takes longer counts as failing. */
  readonly slowMs: number;
  /** Longest time between the grant and the first byte sent to an upstream. */
  readonly dispatchMs: number;
  /** After this time a claimer in another region counts as gone, because its liveness is not visible in this region. */
  readonly remoteRunMs: number;
  /** A VM waits this much longer for each rank below the first before it takes over a shard. */
  readonly rankDelayMs: number;
  readonly segmentBytes: number;
  /** Maximum number and size of the events in one write or message. */
  readonly batch: EventLimits;
  /** Maximum number of callers that wait at one shard. */
  readonly queueLimit: number;
  /** Maximum size of the events that wait for the store in an outage: a takeover must carry them in one write. */
  readonly logBytes: number;
  readonly backoff: BackoffLimits;
}

/** Default limits; docs/design/claims.md gives the reasons. */
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

/** The region as the driver of the state machine sees it. */
export interface ShardView {
  readonly region: string;
  /** The other VMs of the region that are alive. */
  readonly live: readonly VmRef[];
  /** The VMs that an owner should list as witnesses, best first. */
  readonly witnesses: readonly VmRef[];
  /** This VM's rank among those that may take over the shard; 0 is first. */
  readonly rank: number;
  /** This VM's share of the store's write rate, for this shard. */
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
  /** There is no claim on the key. Sent only in reply to a lookup. */
  | { readonly type: "none" }
  | { readonly type: "running" | "unknown" | "mismatch" | "spent" | "done" }
  | { readonly type: "unavailable"; readonly retryAtMs: number }
  | { readonly type: "notOwner"; readonly owner?: VmRef };

/**
 * An action for the driver to perform. A shard has one store call in progress at a time: `read`, `load` and `write` are
 * each answered by one `on…` call of the state machine.
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

/** A state change of a granted claim. */
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
