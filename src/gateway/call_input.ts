/**
 * A request as a listener takes it, and how a body that cannot be read is answered.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { CodeName } from "../base/mod.ts";
import type { CallerHead } from "../platform/mod.ts";
import type { GatewayConfig, Route } from "../routing/mod.ts";
import type { KnownCaller } from "../workspaces/mod.ts";
import type { BodyError } from "./body.ts";

/** The result code of each {@link BodyError}. */
export const BODY_CODES: Record<BodyError, CodeName> = {
  tooLarge: "bodyTooLarge",
  noMemory: "queueFull",
  broken: "canceled",
};

/** What a caller is told of each reason to refuse. */
export const REFUSAL_CODES = {
  noUpstream: "noUpstream",
  overloaded: "queueFull",
  overQuota: "rateLimited",
} as const;

/** A request as a listener takes it. */
export interface CallInput {
  readonly request: IncomingMessage;
  readonly head: CallerHead;
  readonly route: Route;
  readonly config: GatewayConfig;
  /** Who calls, and what its workspace changes of the route. */
  readonly caller: KnownCaller;
  /** Deadline on the monotonic clock. */
  readonly deadlineMonoMs: number;
  /** Whether it is the first on its connection. */
  readonly isFirst: boolean;
  /** Whether another VM handed it over; it then stays in this region. */
  readonly relayed: boolean;
  /** Whether the other VM has the leave to run it although upstreams ended under it. */
  readonly isTrialRun: boolean;
  /** Upstreams that this VM may send it to; fewer than the route's if another VM has sent it already. */
  readonly mostUpstreams: number;
}
