/**
 * Checks that requests go on to further upstreams no more often than the world's retry budget allows.
 *
 * @module
 */

import type { Attempt } from "./attempts.ts";
import type { Arrival, Breach, Evidence, Refusal } from "./judge.ts";
import type { Upstream } from "./judge_versions.ts";

/** The retry budget of each service in the world's settings, for all VMs together. */
export const BUDGET = { ratio: 0.2, slack: 50, windowMs: 10_000 } as const;
/** The service that runs all kinds of requests but idempotent calls. */
const MAIN_SERVICE = "s";

/** What this judge needs of the {@link Evidence} of a run. */
export interface BudgetEvidence extends Pick<Evidence, "configs"> {
  readonly attempts: readonly Pick<Attempt, "id" | "kind" | "sentMs">[];
  readonly arrivals: readonly Pick<
    Arrival,
    "attemptId" | "arrivedMs" | "service"
  >[];
  readonly refusals: readonly Pick<
    Refusal,
    "attemptId" | "refusedMs" | "runnerId"
  >[];
  readonly upstreams: readonly Pick<Upstream, "id" | "service">[];
}

/** A request's arrival at an upstream, whether or not that ran it. */
interface AnyArrival {
  readonly attemptId: string;
  readonly atMs: number;
  readonly service: string;
}

/** Finds windows in which a service got more arrivals beyond the first of their request than the budget allows. */
export function findBudgetBreaches(evidence: BudgetEvidence): Breach[] {
  const arrivals = allArrivals(evidence);
  const services = new Set(arrivals.map(({ service }) => service));
  return [...services].flatMap((service) =>
    findInService(
      service,
      arrivals.filter((arrival) => arrival.service === service),
      requestTimes(evidence, service),
    )
  );
}

function allArrivals(
  { arrivals, refusals, upstreams }: BudgetEvidence,
): AnyArrival[] {
  const serviceOf = new Map(upstreams.map(({ id, service }) => [id, service]));
  const run = arrivals.map(({ attemptId, arrivedMs, service }) => ({
    attemptId,
    atMs: arrivedMs,
    service,
  }));
  const refused = refusals.map(({ attemptId, refusedMs, runnerId }) => ({
    attemptId,
    atMs: refusedMs,
    service: serviceOf.get(runnerId) ?? MAIN_SERVICE,
  }));
  return [...run, ...refused].sort((a, b) => a.atMs - b.atMs);
}

/** When the requests for a service were sent, whether or not they arrived. */
function requestTimes(
  { attempts, configs }: BudgetEvidence,
  service: string,
): number[] {
  const serviceOf = ({ kind, sentMs }: Pick<Attempt, "kind" | "sentMs">) =>
    kind === "safe"
      ? configs.findLast(({ sinceMs }) => sinceMs <= sentMs)?.plainService
      : MAIN_SERVICE;
  return attempts.filter((attempt) => serviceOf(attempt) === service)
    .map(({ sentMs }) => sentMs).sort((a, b) => a - b);
}

function findInService(
  service: string,
  arrivals: readonly AnyArrival[],
  requestMs: readonly number[],
): Breach[] {
  const seen = new Set<string>();
  const further = arrivals.filter(({ attemptId }) => {
    if (seen.has(attemptId)) return true;
    seen.add(attemptId);
    return false;
  });
  const { ratio, slack, windowMs } = BUDGET;
  for (const [index, { attemptId, atMs }] of further.entries()) {
    const count = further.slice(index)
      .filter((other) => other.atMs < atMs + windowMs).length;
    const requests = Math.max(
      ...[0, windowMs / 2, windowMs].map((back) =>
        countBetween(requestMs, atMs - back, atMs - back + windowMs)
      ),
    );
    const allowed = Math.floor(ratio * requests + slack);
    if (count <= allowed) continue;
    const what =
      `${service}: ${count} arrivals beyond the first, ${allowed} allowed for ${requests} requests`;
    return [{ rule: "BUDGET", attempt: attemptId, what }];
  }
  return [];
}

function countBetween(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return times.filter((ms) => ms >= fromMs && ms < toMs).length;
}
