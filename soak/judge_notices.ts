/**
 * Checks what VMs made of what upstreams said of themselves in their answers.
 *
 * @module
 */

import type { Attempt } from "./attempts.ts";
import type { Arrival, Breach, Evidence } from "./judge.ts";

/** VMs of the soak run in turn in one of the two regions. */
const REGION_NAMES = ["north", "south"];
/** 1.5 times the platform's bounds, because the gateways' processes share cores with the soak's own process. */
const LEAVING_BOUND_MS = 6_000;
const REST_GRACE_MS = 750;
/** Requests of one VM that may reach an upstream within the rest that it has asked that VM for. */
const MAX_IN_REST = 2;
/** A VM that was harmed so long before may not have heard of others. */
const CONTACT_BOUND_MS = 6_000;

/** Finds requests at upstreams that had said that they leave, and more than two in a rest. */
export function findNoticeBreaches(evidence: Evidence): Breach[] {
  const attempts = new Map(evidence.attempts.map((each) => [each.id, each]));
  return [
    ...findAfterLeaving(evidence, attempts),
    ...findInRest(evidence, attempts),
  ];
}

/** Whether no VM that `isConcerned` accepts had a trouble of its own; those of store and upstreams excuse nothing here. */
function areVmsTroubleFree(
  { troubles }: Evidence,
  fromMs: number,
  toMs: number,
  isConcerned = (who: string) => who.startsWith("vm:"),
): boolean {
  return !troubles.some((trouble) =>
    isConcerned(trouble.who) && trouble.fromMs <= toMs &&
    trouble.toMs >= fromMs
  );
}

/** All VMs of the region know within a second of the first answer that says so. */
function findAfterLeaving(
  evidence: Evidence,
  attempts: ReadonlyMap<string, Attempt>,
): Breach[] {
  const toldMs = new Map<string, number>();
  const isTold = ({ attemptId, arrivedMs, leavingSinceMs }: Arrival) =>
    arrivedMs >= leavingSinceMs && attempts.get(attemptId)?.status === 200;
  for (const arrival of evidence.arrivals) {
    if (!isTold(arrival)) continue;
    const { endMs } = attempts.get(arrival.attemptId)!;
    const firstMs = Math.min(toldMs.get(arrival.runnerId) ?? Infinity, endMs);
    toldMs.set(arrival.runnerId, firstMs);
  }
  return evidence.arrivals.flatMap(({ attemptId, runnerId, arrivedMs }) => {
    const sinceMs = toldMs.get(runnerId) ?? Infinity;
    const sentMs = attempts.get(attemptId)?.sentMs ?? -Infinity;
    const isLate = sentMs > sinceMs + LEAVING_BOUND_MS;
    const isExcused = isLate &&
      !areVmsTroubleFree(evidence, sinceMs - CONTACT_BOUND_MS, arrivedMs);
    const what = `reached ${runnerId}, which had said that it leaves`;
    return isLate && !isExcused
      ? [{ rule: "DRAIN" as const, attempt: attemptId, what }]
      : [];
  });
}

/** A caller's request comes from the VM that it was sent to, unless that VM is of another region and relayed it. */
function findInRest(
  evidence: Evidence,
  attempts: ReadonlyMap<string, Attempt>,
): Breach[] {
  const reached = [
    ...evidence.refusals.map((each) => ({ ...each, atMs: each.refusedMs })),
    ...evidence.arrivals.map((each) => ({ ...each, atMs: each.arrivedMs })),
  ].map((each) => {
    const vm = attempts.get(each.attemptId)?.vmIndex;
    const isOwn = vm !== undefined &&
      REGION_NAMES[vm % REGION_NAMES.length] === each.region;
    return { runnerId: each.runnerId, atMs: each.atMs, vm: isOwn ? vm : -1 };
  }).filter(({ vm }) => vm >= 0);
  return evidence.refusals.flatMap((asked) => {
    const { attemptId, runnerId, refusedMs, restMs } = asked;
    const vm = attempts.get(attemptId)?.vmIndex;
    const count = reached.filter((each) =>
      each.vm === vm && each.runnerId === runnerId &&
      each.atMs > refusedMs + REST_GRACE_MS && each.atMs < refusedMs + restMs
    ).length;
    const isExcused = !areVmsTroubleFree(
      evidence,
      refusedMs,
      refusedMs + restMs,
      (who) =>
        who === `vm:${vm}`,
    );
    const what = `vm ${vm}: ${count} requests in ${runnerId}'s rest`;
    return count > MAX_IN_REST && !isExcused
      ? [{ rule: "REST" as const, attempt: attemptId, what }]
      : [];
  });
}
