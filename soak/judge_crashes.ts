/**
 * Checks what VMs made of requests that crash upstreams, as a whole or by a part of their prompts.
 *
 * @module
 */

import type { Arrival, Breach, Evidence } from "./judge.ts";
import { deadlyPartOf, type PartCall } from "./part_requests.ts";

/** Upstreams that a fatal request may crash before all VMs know of it, and after that. */
const MAX_EARLY_CRASHES = 3;
const MAX_LATE_CRASHES = 3;
/** How many crashes it takes until the part must be known. */
const CRASHES_TO_KNOW = 5;
/** Requests that may reach upstreams after that. */
const MAX_LATE = 3;
/** An upstream is down for at least this long, so requests that reach it sooner share one crash. */
const DOWN_MS = 800;
/** All VMs know of a crash within this time if nothing else happens to them. */
const NEWS_MS = 2_000;
/** The same if something did: the platform's `contact` bound. */
const CONTACT_BOUND_MS = 6_000;
/** Fewer requests don't tell how often they are served. */
const MIN_CALLS = 20;

/**
 * Finds fatal requests that crashed too many upstreams. Each may crash three, and three more later than the contact bound
 * after the third crash. If no VM and no store has trouble meanwhile, all VMs know of each crash within a second, and six
 * crashes are the maximum.
 */
export function findCrashBreaches(
  { fatalArrivals, troubles }: Evidence,
): Breach[] {
  const byRequest = new Map<string, number[]>();
  for (const { body, arrivedMs } of fatalArrivals) {
    const timesMs = byRequest.get(body) ?? [];
    timesMs.push(arrivedMs);
    byRequest.set(body, timesMs);
  }
  return [...byRequest].flatMap(([body, timesMs]): Breach[] => {
    timesMs.sort((a, b) => a - b);
    const boundMs = (timesMs.at(MAX_EARLY_CRASHES - 1) ?? Infinity) +
      CONTACT_BOUND_MS;
    const late = timesMs.filter((ms) => ms > boundMs).length;
    const isTroubleFree = !troubles.some(({ who, fromMs, toMs }) =>
      (who === "store" || who.startsWith("vm:")) &&
      fromMs <= timesMs.at(-1)! && toMs >= timesMs[0]
    );
    const maxCrashes = isTroubleFree
      ? MAX_EARLY_CRASHES + MAX_LATE_CRASHES
      : Infinity;
    if (late <= MAX_LATE_CRASHES && timesMs.length <= maxCrashes) return [];
    const what = `ended ${timesMs.length} upstreams, ${late} of them late`;
    return [{ rule: "CRASH", attempt: body, what }];
  });
}

/** Finds parts that reached upstreams too often, or whose sound neighbors were served half as often as before. */
export function findPartBreaches(evidence: Evidence): Breach[] {
  const byPart = new Map<string, Arrival[]>();
  for (const arrival of evidence.partArrivals) {
    const part = deadlyPartOf(arrival.body);
    if (part === undefined) continue;
    const arrivals = byPart.get(part) ?? [];
    arrivals.push(arrival);
    byPart.set(part, arrivals);
  }
  return [...byPart].flatMap(([part, arrivals]) => {
    arrivals.sort((a, b) => a.arrivedMs - b.arrivedMs);
    return [
      ...findLate(evidence, part, arrivals),
      ...findUnserved(evidence, part, arrivals),
    ];
  });
}

/** The times of crashes: of the arrivals that found their upstream up. */
function crashTimes(arrivals: readonly Arrival[]): number[] {
  const lastMs = new Map<string, number>();
  return arrivals.filter(({ runnerId, arrivedMs }) => {
    const isNew = arrivedMs - (lastMs.get(runnerId) ?? -Infinity) >= DOWN_MS;
    if (isNew) lastMs.set(runnerId, arrivedMs);
    return isNew;
  }).map(({ arrivedMs }) => arrivedMs);
}

/** From when on all VMs must know of a crash, given what else happened to VMs and the store. */
function knownFromMs({ troubles }: Evidence, crashMs: number): number {
  let fromMs = crashMs + NEWS_MS;
  for (const { who, fromMs: beganMs, toMs } of troubles) {
    const isConcerned = who === "store" || who === "restore" ||
      who.startsWith("vm:");
    if (isConcerned && beganMs <= fromMs && toMs + CONTACT_BOUND_MS > fromMs) {
      fromMs = toMs + CONTACT_BOUND_MS;
    }
  }
  return fromMs;
}

function findLate(
  evidence: Evidence,
  part: string,
  arrivals: readonly Arrival[],
): Breach[] {
  const times = crashTimes(arrivals);
  const fifthMs = times.at(CRASHES_TO_KNOW - 1);
  if (fifthMs === undefined) return [];
  const fromMs = knownFromMs(evidence, fifthMs);
  const late = arrivals.filter(({ arrivedMs }) => arrivedMs > fromMs).length;
  if (late <= MAX_LATE) return [];
  const what = `ended ${times.length} upstreams, ${late} reached more late`;
  return [{ rule: "BUDGET", attempt: part, what }];
}

function findUnserved(
  evidence: Evidence,
  part: string,
  arrivals: readonly Arrival[],
): Breach[] {
  const times = crashTimes(arrivals);
  const fromMs = knownFromMs(
    evidence,
    times.at(CRASHES_TO_KNOW - 1) ?? times.at(-1)!,
  );
  const calls = evidence.partCalls.filter(({ series }) => series === part);
  const lastMs = Math.max(
    ...calls.filter(({ isDeadly }) => isDeadly).map(({ sentMs }) => sentMs),
  );
  const sound = calls.filter(({ isDeadly }) => !isDeadly);
  const before = sound.filter(({ sentMs }) => sentMs < times[0] - DOWN_MS);
  const after = sound.filter(({ sentMs }) =>
    sentMs > fromMs + NEWS_MS && sentMs <= lastMs
  );
  const isJudged = Math.min(before.length, after.length) >= MIN_CALLS &&
    isOtherwiseTroubleFree(evidence, arrivals, fromMs, lastMs);
  if (!isJudged || shareServed(after) * 2 >= shareServed(before)) return [];
  const what = `sound requests served: ${shareServed(before).toFixed(2)} ` +
    `before, ${shareServed(after).toFixed(2)} after`;
  return [{ rule: "LOST", attempt: part, what }];
}

/** Whether nothing but the crashes of these requests happened to upstreams, VMs and the store. */
function isOtherwiseTroubleFree(
  { troubles }: Evidence,
  arrivals: readonly Arrival[],
  fromMs: number,
  toMs: number,
): boolean {
  return !troubles.some((trouble) =>
    trouble.fromMs <= toMs && trouble.toMs >= fromMs &&
    !arrivals.some(({ runnerId, arrivedMs }) =>
      runnerId === trouble.who && arrivedMs <= trouble.fromMs &&
      trouble.fromMs - arrivedMs < DOWN_MS
    )
  );
}

function shareServed(calls: readonly PartCall[]): number {
  return calls.filter(({ isServed }) => isServed).length / calls.length;
}
