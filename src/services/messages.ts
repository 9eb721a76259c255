/**
 * The messages that each service handles, by service name. See {@link Task}.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { Failure } from "../base/mod.ts";
import type {
  ClaimAnswer,
  ClaimKey,
  ClaimVerdict,
  Table,
  UpstreamRow,
} from "../agreement/mod.ts";
import type { SuspectVerdict, Traits } from "../suspects/mod.ts";
import type { SlotAnswer, SlotReport, SlotRequest } from "../decisions/mod.ts";

/** The messages of the table service, named `table`. */
export type TableMessages = {
  /** The newest version in force here, or `undefined` before the first one. */
  current: { in: void; out: Table | undefined };
  /** Resolves when `version` or a newer one is in force here, or with `undefined` at `deadlineMs`. */
  waitFor: {
    in: { readonly version: number; readonly deadlineMs: number };
    out: Table | undefined;
  };
};

/** A VM as other VMs see it. */
export interface VmInfo {
  readonly id: string;
  /** Increases with each start of a VM under the same id. */
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

/** The newest value of a topic that a VM of its region published. */
export interface TopicValue {
  readonly topic: string;
  readonly vmId: string;
  readonly body: unknown;
  /** When it arrived here or, for another region's, when that region sent the digest; by this VM's clock. */
  readonly seenAtMs: number;
}

/** The messages of the membership service, named `members`. */
export type MembersMessages = {
  /** The live and draining VMs of this region, including this one. */
  region: { in: void; out: readonly VmInfo[] };
  /** A bounded number of VMs of each other region, as named in its digests. */
  others: { in: void; out: ReadonlyMap<string, readonly VmInfo[]> };
  /** Starts to drain: announces it to all other VMs, and the directory no longer lists this VM. */
  leave: { in: void; out: void };
  /** Probes a VM at once instead of at its next turn, because a call to it failed. */
  check: { in: { readonly vmId: string }; out: void };
  /**
   * Publishes the newest value of a topic to this region and, in its digest, to the others. Values are small and
   * published at most once a second.
   */
  publish: {
    in: { readonly topic: string; readonly body: unknown };
    out: void;
  };
  /** The newest values of the topics by region, including this region. */
  topics: { in: void; out: ReadonlyMap<string, readonly TopicValue[]> };
};

/** The entry VMs that a caller should use until `askAgainAtMs`, best first. */
export interface DirectoryAnswer {
  readonly vms: readonly {
    readonly id: string;
    /** Base URL for callers. */
    readonly url: string;
    readonly region: string;
    /** The share of the caller's requests, 0 to 1. */
    readonly weight: number;
  }[];
  readonly askAgainAtMs: number;
}

/** The messages of the directory service, named `directory`. */
export type DirectoryMessages = {
  lookup: { in: { readonly workspace: string }; out: DirectoryAnswer };
};

/** The messages of the slots service, named `slots`. It finds the lead of the pool, here or on another VM. */
export type SlotsMessages = {
  acquire: { in: SlotRequest; out: SlotAnswer };
  report: { in: SlotReport; out: void };
  /** Cancels a queued or granted attempt whose caller disconnected. */
  cancel: {
    in: { readonly attemptId: string; readonly service: string };
    out: void;
  };
};

/** The messages of the claims service, named `claims`. */
export type ClaimsMessages = {
  /** Records a claim before the first byte goes to an upstream. `bodyDigest` tells a reused key from a retry. */
  claim: {
    in: ClaimKey & { readonly bodyDigest: string; readonly deadlineMs: number };
    out: ClaimVerdict;
  };
  /** Stores the answer of a call that ended, for retries of it. */
  finish: {
    in: ClaimKey & { readonly claimId: string; readonly answer: ClaimAnswer };
    out: void;
  };
  /** Releases the claim of a call that sent no byte, so that the key can be claimed again. */
  release: { in: ClaimKey & { readonly claimId: string }; out: void };
  /** Records that the outcome of a call is unknown. */
  abandon: { in: ClaimKey & { readonly claimId: string }; out: void };
  /** Returns the outcome of the call with a key, for `GET /v1/requests/KEY`. */
  lookup: {
    in: ClaimKey;
    out: Result<
      "none" | "running" | "unknown" | { readonly answer: ClaimAnswer },
      Failure
    >;
  };
};

/** An order to an engine. It names the wanted state, so that repeating it is harmless. */
export type EngineOrder =
  | { readonly want: "active" | "parked" | "stopped" }
  | { readonly load: string }
  | { readonly role: string };

/** The messages of the fencing service, named `fencing`. */
export type FencingMessages = {
  /** Sends an order with a fencing number. Resolves when the engine has accepted it, or at `deadlineMs`. */
  order: {
    in: {
      readonly upstream: UpstreamRow;
      readonly order: EngineOrder;
      readonly deadlineMs: number;
    };
    out: Result<{ readonly fence: number }, Failure>;
  };
};

/** The messages of the suspects service, named `suspects`. */
export type SuspectsMessages = {
  /** Decides whether a request may run now. `hasLeave` is set if it already has permission for its trial. */
  judge: {
    in: {
      readonly traits: Traits;
      readonly hasLeave: boolean;
      /** How long the request may wait for the trial of one of its parts. */
      readonly mostWaitMs: number;
    };
    out: SuspectVerdict;
  };
  /**
   * A connection broke during a request. Resolves when it is known whether the upstream has crashed, and the request may
   * be the cause.
   */
  lost: {
    in: {
      readonly traits: Traits;
      readonly isTrial: boolean;
      readonly upstreamId: string;
      /** Base URL of the upstream. */
      readonly url: string;
      readonly sentAgoMs: number;
      /** The time since the first bytes of the answer, absent if none came. */
      readonly beganAgoMs?: number;
    };
    out: boolean;
  };
  /** A request was answered, or has run for long enough, at an upstream that is still running. */
  served: {
    in: {
      readonly traits: Traits;
      /** The time since the first bytes of the answer. */
      readonly beganAgoMs: number;
    };
    out: void;
  };
  /** The trial for which this VM had the permission is over. */
  trialOver: {
    in: { readonly trait: string; readonly hasCrashed: boolean };
    out: void;
  };
};
