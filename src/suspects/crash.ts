/**
 * A crash of an upstream: how VMs name it, for how long it counts, and how they tell it to each other.
 *
 * @module
 */

/**
 * A crash, as VMs report it to each other. The union of such rows is the same in whatever order and however often they
 * arrive. A row with `isCleared` voids the crash, since the request ran elsewhere without one.
 */
export type CrashRow = readonly [
  digest: string,
  upstreamKey: string,
  agoMs: number,
  isCleared: boolean,
];

/** How long a crash counts. By then operators have replaced a program that crashes. */
const CRASH_TTL_MS = 30 * 60_000;
/** How long the crash of a trial counts, which proves more than others. */
export const TRIAL_CRASH_TTL_MS = 24 * 60 * 60_000;
/** Stands between the upstream and the request in the name of a trial's crash. */
const TRIAL_MARK = "!";
/** A crash as one VM remembers it. */
export interface Crash {
  /** On the monotonic clock of this VM. */
  readonly atMs: number;
  isCleared: boolean;
}

/** Whether a crash is that of a trial: of a run that was the only one with its suspected traits. */
export function isTrialCrash(name: string): boolean {
  return name.includes(TRIAL_MARK);
}

/** Names the crash of a trial, so that it is told from other crashes of that upstream. */
export function trialCrashName(crashName: string, request: string): string {
  return `${crashName}${TRIAL_MARK}${request}`;
}

/** The upstream that crashed. */
export function upstreamOf(crashName: string): string {
  return crashName.split(TRIAL_MARK, 1)[0];
}

/** How long a crash counts. */
export function ttlMs(name: string): number {
  return isTrialCrash(name) ? TRIAL_CRASH_TTL_MS : CRASH_TTL_MS;
}

/** Whether a crash is so old that it counts no more. */
export function isExpired(
  name: string,
  { atMs }: Crash,
  nowMs: number,
): boolean {
  return nowMs - atMs >= ttlMs(name);
}

/** Whether a crash counts. */
export function isActive(name: string, crash: Crash, nowMs: number): boolean {
  return !crash.isCleared && !isExpired(name, crash, nowMs);
}

/** Returns the row that tells other VMs of a crash. */
export function toRow(
  digest: string,
  upstreamKey: string,
  { atMs, isCleared }: Crash,
  nowMs: number,
): CrashRow {
  return [digest, upstreamKey, Math.round(nowMs - atMs), isCleared];
}
