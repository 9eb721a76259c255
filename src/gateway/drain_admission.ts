/**
 * Whether this VM, if it is draining, still accepts a request.
 *
 * @module
 */

import { canFinish, chooseService } from "../routing/mod.ts";
import { type CallInput, firstAttemptOf } from "./call_input.ts";
import type { GatewayContext } from "./context.ts";

/** What is known of a request before it is accepted. */
type ArrivedRequest = Pick<
  CallInput,
  "head" | "route" | "config" | "deadlineMonoMs"
>;

/** Whether a request can finish before this VM's planned stop is over; always if there is none. */
export function canFinishHere(
  context: GatewayContext,
  request: ArrivedRequest,
): boolean {
  if (!context.isDraining) return true;
  const { route, head, deadlineMonoMs } = request;
  const nowMs = context.clock.monoMs();
  return canFinish({
    route,
    outputTokens: head.outputTokens,
    maxMs: deadlineMonoMs - nowMs,
    usualMs: context.callDurations.usualMs(route.name),
    isUsual: answersAsUsual(context, request),
  }, {
    sinceMs: nowMs - context.drainStartMonoMs,
    leftMs: context.endMonoMs - nowMs,
  });
}

/** Whether an upstream of the request's service is not set aside; of other regions' upstreams that is not known here. */
function answersAsUsual(
  { upstreams }: GatewayContext,
  { route, head, config }: ArrivedRequest,
): boolean {
  const service = config.service(chooseService(route, firstAttemptOf(head)));
  if (!service) return true;
  const candidates = upstreams.currentCandidates(service);
  return candidates.length === 0 ||
    candidates.some(({ isAside }) => !isAside);
}
