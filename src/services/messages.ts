/**
 * The messages that services answer, by service name. See {@link Task}.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { Failure } from "../base/mod.ts";
import type { Table } from "../agreement/mod.ts";

/** What the table service answers; its name is `table`. */
export type TableMessages = {
  /** The newest version in force here; `undefined` before the first. */
  current: { in: void; out: Table | undefined };
  /** Resolves once `version` or a newer one is in force here, or with `undefined` at `deadlineMs`. */
  waitFor: {
    in: { readonly version: number; readonly deadlineMs: number };
    out: Table | undefined;
  };
};

/** A VM as the others see it. */
export interface VmInfo {
  readonly id: string;
  /** Grows each time a VM is started under the same id. */
  readonly incarnation: number;
  readonly region: string;
  readonly failureDomain: string;
  /** `host:port` of its listener for other VMs. */
  readonly peerAddress: string;
  /** Base URL of its listener for callers. */
  readonly callerUrl: string;
  readonly state: "live" | "leaving";
  readonly tableVersion: number;
}

/** What the membership service answers; its name is `members`. */
export type MembersMessages = {
  /** The live and leaving VMs of this region, this one among them. */
  region: { in: void; out: readonly VmInfo[] };
  /** A bounded number of VMs of each other region, as its digests named them. */
  others: { in: void; out: ReadonlyMap<string, readonly VmInfo[]> };
  /** Starts to leave: told to all, and gone from the directory. */
  leave: { in: void; out: void };
};

/** A request for a slot: what a pool's lead must know of a request, and nothing of its content. */
export interface SlotRequest {
  /** Unique for each attempt. */
  readonly attemptId: string;
  readonly service: string;
  readonly workspace: string;
  readonly priority: number;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  /** Hashes of the prompt's leading blocks, longest last; a warm prefix shares the first ones. */
  readonly prefixHashes: readonly number[];
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Upstreams already tried for this request. */
  readonly exclude: readonly string[];
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
  readonly outcome: "done" | "canceled" | "refused" | "failed" | "unreachable";
  readonly firstTokenMs?: number;
  readonly outputTokens: number;
  readonly totalMs: number;
}

/** What the slots service answers; its name is `slots`. It finds the lead of the pool, here or on another VM. */
export type SlotsMessages = {
  acquire: { in: SlotRequest; out: SlotAnswer };
  report: { in: SlotReport; out: void };
  /** Gives up a queued or granted attempt whose caller has gone. */
  cancel: {
    in: { readonly attemptId: string; readonly service: string };
    out: void;
  };
};

/** Names a call that may not be repeated. */
export interface ClaimKey {
  readonly service: string;
  readonly workspace: string;
  /** The caller's Idempotency-Key. */
  readonly key: string;
}

/** The stored answer of a call, bounded in size. */
export interface ClaimAnswer {
  readonly httpStatus: number;
  readonly contentType: string;
  readonly bodyBase64: string;
  /** Whether the body was left out because it exceeds the bound. */
  readonly truncated: boolean;
}

/** What a claim service answers to a claim. Only `granted` allows a dispatch, and only until `dispatchBeforeMonoMs`. */
export type ClaimVerdict =
  | {
    readonly type: "granted";
    readonly claimId: string;
    readonly dispatchBeforeMonoMs: number;
  }
  | { readonly type: "running" }
  | { readonly type: "answered"; readonly answer: ClaimAnswer }
  | { readonly type: "unknown" }
  | { readonly type: "mismatch" }
  | { readonly type: "refused"; readonly failure: Failure };

/** What the claims service answers; its name is `claims`. */
export type ClaimsMessages = {
  /** Records the claim before a first byte goes to an upstream. `bodyDigest` tells a reused key from a repeat. */
  claim: {
    in: ClaimKey & { readonly bodyDigest: string; readonly deadlineMs: number };
    out: ClaimVerdict;
  };
  /** The call ended: its answer is kept for repeats. */
  finish: {
    in: ClaimKey & { readonly claimId: string; readonly answer: ClaimAnswer };
    out: void;
  };
  /** No byte went out: the key may be claimed again. */
  release: { in: ClaimKey & { readonly claimId: string }; out: void };
  /** The outcome cannot be known. */
  abandon: { in: ClaimKey & { readonly claimId: string }; out: void };
  /** What became of a key, for `GET /v1/requests/KEY`. */
  lookup: {
    in: ClaimKey;
    out: Result<
      "none" | "running" | "unknown" | { readonly answer: ClaimAnswer },
      Failure
    >;
  };
};
