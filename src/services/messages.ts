/**
 * The messages that services answer, by service name. See {@link Task}.
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
import type { SuspectVerdict } from "../suspects/mod.ts";
import type { SlotAnswer, SlotReport, SlotRequest } from "../decisions/mod.ts";

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

/** The newest value of a topic, as a VM of its region published it. */
export interface TopicValue {
  readonly topic: string;
  readonly vmId: string;
  readonly body: unknown;
  /** When it was heard here. */
  readonly seenAtMs: number;
}

/** What the membership service answers; its name is `members`. */
export type MembersMessages = {
  /** The live and leaving VMs of this region, this one among them. */
  region: { in: void; out: readonly VmInfo[] };
  /** A bounded number of VMs of each other region, as its digests named them. */
  others: { in: void; out: ReadonlyMap<string, readonly VmInfo[]> };
  /** Starts to leave: told to all, and gone from the directory. */
  leave: { in: void; out: void };
  /** A call to this VM failed: it is probed now, not at its turn. */
  check: { in: { readonly vmId: string }; out: void };
  /** Tells this region, and by its digest the others, the newest value of a topic; small, every second at most. */
  publish: {
    in: { readonly topic: string; readonly body: unknown };
    out: void;
  };
  /** The newest values of the topics by region, this one among them. */
  topics: { in: void; out: ReadonlyMap<string, readonly TopicValue[]> };
};

/** Which entry VMs a caller should use, best first, until `askAgainAtMs`. */
export interface DirectoryAnswer {
  readonly vms: readonly {
    readonly id: string;
    /** Base URL for callers. */
    readonly url: string;
    readonly region: string;
    /** Share of the caller's requests, 0 to 1. */
    readonly weight: number;
  }[];
  readonly askAgainAtMs: number;
}

/** What the directory service answers; its name is `directory`. */
export type DirectoryMessages = {
  lookup: { in: { readonly workspace: string }; out: DirectoryAnswer };
};

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

/** An order to an engine. It states the wanted end, so that repeating it is harmless. */
export type EngineOrder =
  | { readonly want: "active" | "parked" | "stopped" }
  | { readonly load: string }
  | { readonly role: string };

/** What the fencing service answers; its name is `fencing`. */
export type FencingMessages = {
  /** Sends an order under a fencing number; resolves once the engine has taken it, or by `deadlineMs`. */
  order: {
    in: {
      readonly upstream: UpstreamRow;
      readonly order: EngineOrder;
      readonly deadlineMs: number;
    };
    out: Result<{ readonly fence: number }, Failure>;
  };
};

/** What the service of suspects answers; its name is `suspects`. Requests are named by their digests. */
export type SuspectsMessages = {
  /** Whether a request may run now. `hasLeave` if it was given the leave for its trial already. */
  judge: {
    in: { readonly digest: string; readonly hasLeave: boolean };
    out: SuspectVerdict;
  };
  /** A connection broke under a request; answered when it is known whether the upstream has ended. */
  lost: {
    in: {
      readonly digest: string;
      readonly upstreamId: string;
      /** Base URL of the upstream. */
      readonly url: string;
      readonly sentAgoMs: number;
      /** Time since the first bytes of the answer; absent if none came. */
      readonly beganAgoMs?: number;
    };
    out: void;
  };
  /** A request was answered by an upstream that is still there. */
  served: { in: { readonly digest: string }; out: void };
};
