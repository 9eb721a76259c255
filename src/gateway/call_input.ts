/**
 * A request as a listener receives it, and the result codes of unreadable bodies and of refusals.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { CodeName } from "../base/mod.ts";
import type { CallerHead } from "../platform/mod.ts";
import type { GatewayConfig, Route, ServiceConfig } from "../routing/mod.ts";
import type { KnownCaller } from "../workspaces/mod.ts";
import type { BodyError } from "./body.ts";
import type { PipeOptions } from "./pipe.ts";

/** The result code of each {@link BodyError}. */
export const BODY_CODES: Record<BodyError, CodeName> = {
  tooLarge: "bodyTooLarge",
  noMemory: "queueFull",
  broken: "canceled",
};

/** The result code of each reason to refuse a request. */
export const REFUSAL_CODES = {
  noUpstream: "noUpstream",
  overloaded: "queueFull",
  overQuota: "rateLimited",
  cannotResume: "cannotResume",
} as const;

/** Final failures: another VM has recorded crashes under the request, even if this VM has not received them yet. */
export const FINAL_CODES: ReadonlySet<CodeName> = new Set<CodeName>([
  "endsUpstreams",
  "partEndsUpstreams",
  "onTrialElsewhere",
]);

/** A request as a listener receives it. */
export interface CallInput {
  readonly request: IncomingMessage;
  readonly head: CallerHead;
  readonly route: Route;
  readonly config: GatewayConfig;
  /** The caller, and what its workspace changes of the route. */
  readonly caller: KnownCaller;
  /** Deadline on the monotonic clock. */
  readonly deadlineMonoMs: number;
  /**
   * Whether it is the first on its connection. Node accepts one new connection per turn of the event loop, so a busy
   * process reads such a request seconds after it was sent, and its caller may have left.
   */
  readonly isFirst: boolean;
  /** Whether another VM relayed it here; it then stays in this region. */
  readonly relayed: boolean;
  /** Whether the VM that relayed it holds the permission for its trial run, although upstreams crashed under it. */
  readonly isTrialRun: boolean;
  /** The only version of an upstream's software that it may run at, if the VM that relayed it named one. */
  readonly version?: string;
  /** Maximum upstreams that this VM may send it to; fewer than the route's if another VM has sent it already. */
  readonly mostUpstreams: number;
}

/** How an answer is forwarded. Only the VM that the caller is connected to resumes; a second one counts from zero. */
export function pipeOptionsOf(
  { route, relayed, head }: CallInput,
  { engine }: ServiceConfig,
): Omit<PipeOptions, "heldMemory"> {
  const isStreamRoute = route.kind === "stream";
  const mayContinue = engine?.moves === true || (route.resumable && !relayed);
  return {
    isStreamRoute,
    isResumable: isStreamRoute && mayContinue,
    resumesAfter: (route.resumable && head.resumesAfter) || undefined,
  };
}

/** Whether a request's answer is a stream that can move to another engine together with its memory. */
export function canMove(
  { route }: CallInput,
  { engine }: ServiceConfig,
): boolean {
  return route.kind === "stream" && engine?.moves === true;
}

/** The attempt that began the stream which a request goes on with; the request's own one if it begins anew. */
export function firstAttemptOf(
  { attemptId, resumesAfter, firstAttemptId }: CallerHead,
): string {
  return resumesAfter ? firstAttemptId ?? attemptId : attemptId;
}
