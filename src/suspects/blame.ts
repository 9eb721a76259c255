/**
 * Decides whether a request may run, given the crashes of all requests: by itself, and by the parts of its prompt.
 *
 * @module
 */

import { isTrialCrash, TRIAL_CRASH_TTL_MS, upstreamOf } from "./crash.ts";
import type { CrashHistory, SuspectStatus } from "./crash_history.ts";
import { isPartTrait, type Traits } from "./traits.ts";

/** Number of crashes from which on a trait may be the cause of them all. */
const CRASHES_TO_SUSPECT = 2;
const PART_CRASHES_BEFORE_TRIAL = 2;
/**
 * Delays after each crash of a trial until the next trial; after the last one no trial takes place until the crashes
 * expire or an operator clears the part. A program that was mended shows by a trial that it runs the part.
 */
const TRIAL_DELAYS_MS: readonly number[] = [30_000, 5 * 60_000];

/** Why a request may not simply run. */
export interface Blame {
  readonly status: SuspectStatus;
  /** The trait that crashed most upstreams, of those that may be the cause. */
  readonly trait: string;
  /** Upstreams that crashed with that trait. */
  readonly crashes: readonly string[];
  /** Time until the request may be tried again; 0 unless it is rejected. */
  readonly retryAfterMs: number;
}

const SEVERITY: Readonly<Record<SuspectStatus, number>> = {
  clear: 0,
  suspected: 1,
  onTrial: 2,
  rejected: 3,
};

/**
 * Judges a request by all of its traits. `crashesBeforeTrial` is the number of crashes with a part from which on requests
 * with it run one at a time.
 */
export function findBlame(
  history: CrashHistory,
  traits: Traits,
  nowMs: number,
  crashesBeforeTrial = PART_CRASHES_BEFORE_TRIAL,
): Blame {
  const whole = blameRequest(history, traits[0], nowMs);
  const parts = blameParts(history, traits, nowMs, crashesBeforeTrial);
  return parts && SEVERITY[parts.status] > SEVERITY[whole.status]
    ? parts
    : whole;
}

function blameRequest(
  history: CrashHistory,
  request: string,
  nowMs: number,
): Blame {
  const status = history.statusOf(request, nowMs);
  return {
    status,
    trait: request,
    crashes: history.crashedUpstreams(request),
    retryAfterMs: status === "rejected"
      ? history.rejectedForMs(request, nowMs)
      : 0,
  };
}

function blameParts(
  history: CrashHistory,
  traits: Traits,
  nowMs: number,
  crashesBeforeTrial: number,
): Blame | undefined {
  const own = new Set<string>(traits);
  const suspected = traits.slice(1).filter((part) =>
    history.crashCount(part, nowMs) >= CRASHES_TO_SUSPECT
  );
  if (suspected.length === 0) return undefined;
  const proofsMs = findProofs(history, own, nowMs);
  const possible = proofsMs.length > 0
    ? suspected
    : suspected.filter((part) => !isExplained(history, part, traits, nowMs));
  if (possible.length === 0) return undefined;
  const [trait] = possible.sort((a, b) =>
    history.crashCount(b, nowMs) - history.crashCount(a, nowMs) ||
    history.clearedCount(a) - history.clearedCount(b) || (a < b ? -1 : 1)
  );
  const crashes = history.crashedUpstreams(trait);
  const retryAfterMs = timeToNextTrial(proofsMs, nowMs);
  if (retryAfterMs > 0) {
    return { status: "rejected", trait, crashes, retryAfterMs };
  }
  const count = history.crashCount(trait, nowMs);
  const status = proofsMs.length > 0 || count >= crashesBeforeTrial
    ? "onTrial"
    : "suspected";
  return { status, trait, crashes, retryAfterMs: 0 };
}

/**
 * Whether something else explains the crashes of `part`. If a trait that the request doesn't have was there at each of
 * them, the request differs from those that crashed upstreams, and its run shows which of the two is the cause. If it was
 * the same request each time, nothing speaks against the part more than against that request.
 */
function isExplained(
  history: CrashHistory,
  part: string,
  [, ...parts]: Traits,
  nowMs: number,
): boolean {
  const upstreams = history.activeUpstreams(part, nowMs);
  return history.traitsAt(upstreams[0]).some((other) =>
    !parts.includes(other) &&
    upstreams.every((upstream) => history.hasCrashed(other, upstream, nowMs))
  );
}

/**
 * Returns the times of those trials that crashed their upstream and whose suspected traits the request has all: it would
 * do the same. Any trait of a trial may be the cause; those that are cleared since are not. Nor does a trial prove
 * anything if a trait that crashed as many upstreams had just come to the same one.
 */
function findProofs(
  history: CrashHistory,
  own: ReadonlySet<string>,
  nowMs: number,
): number[] {
  const proofs = new Map<string, number>();
  for (const trait of own) {
    for (const [name, atMs] of history.activeCrashes(trait, nowMs)) {
      if (isTrialCrash(name)) proofs.set(name, atMs);
    }
  }
  if (proofs.size === 0) return [];
  const counts = [...own].map((trait) => history.crashCount(trait, nowMs));
  const ownCount = Math.max(...counts);
  const isDisputed = (name: string) => {
    const upstream = upstreamOf(name);
    return history.traitsAt(upstream).some((other) => {
      if (own.has(other)) return false;
      const count = history.crashCount(other, nowMs);
      if (!isPartTrait(other) && count < CRASHES_TO_SUSPECT) return false;
      return history.isActive(other, name, nowMs) ||
        (count >= ownCount && history.hasCrashed(other, upstream, nowMs));
    });
  };
  return [...proofs].filter(([name]) => !isDisputed(name))
    .map(([, atMs]) => atMs);
}

function timeToNextTrial(proofsMs: readonly number[], nowMs: number): number {
  if (proofsMs.length === 0) return 0;
  const delayMs = TRIAL_DELAYS_MS[proofsMs.length - 1] ?? TRIAL_CRASH_TTL_MS;
  return Math.max(...proofsMs) + delayMs - nowMs;
}
