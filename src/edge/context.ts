/**
 * Dependencies that the modules of the edge share.
 *
 * @module
 */

import type { Log } from "../kernel/mod.ts";
import type { UpstreamClient } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { TaskPort } from "../kernel/mod.ts";
import type {
  ClaimsMessages,
  DirectoryMessages,
  MembersMessages,
  MetricsMessages,
  SlotsMessages,
  SuspectsMessages,
  TableMessages,
} from "../services/mod.ts";
import type { VmIdentity } from "./answer.ts";

/** Limits of the edge. The daemon's settings have the same fields. */
export interface EdgeLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly bodyWaitMs: number;
  readonly stalledCallerMs: number;
  readonly upstreamStallMs: number;
  readonly openRequests: number;
  readonly attempts: number;
  readonly drainMs: number;
}

/** The services, clients and limits that handling a request needs. */
export interface EdgeContext {
  readonly vm: VmIdentity;
  readonly limits: EdgeLimits;
  readonly clock: Clock;
  readonly log: Log;
  readonly upstreams: UpstreamClient;
  readonly table: TaskPort<TableMessages>;
  readonly members: TaskPort<MembersMessages>;
  readonly slots: TaskPort<SlotsMessages>;
  readonly claims: TaskPort<ClaimsMessages>;
  readonly directory: TaskPort<DirectoryMessages>;
  readonly suspects: TaskPort<SuspectsMessages>;
  readonly metrics: TaskPort<MetricsMessages>;
  /** Creates a unique id for an attempt. */
  createAttemptId(): string;
}
