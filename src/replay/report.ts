/**
 * The measures of a replay, over all requests or a part of them.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { codes } from "../base/mod.ts";
import type { RunIndex } from "./runs.ts";
import { isComplete, lastAttempt, type Seen } from "./seen.ts";

/** All measures by name; see docs/TRACE.md. */
export const measureNames = [
  "requests",
  "completeShare",
  "onTimeShare",
  "refusedShare",
  "unansweredShare",
  "awayShare",
  "foreignAnswers",
  "incompleteAnswers",
  "brokenStreams",
  "residencyViolations",
  "doubleRuns",
  "notRunButRan",
  "answeredNotRun",
  "adviceMissing",
  "attemptsMean",
  "warmShare",
  "firstTokenP50Ms",
  "firstTokenP95Ms",
  "firstTokenP99Ms",
  "totalP50Ms",
  "totalP95Ms",
  "totalP99Ms",
] as const;

/** The name of a measure. */
export type Measure = typeof measureNames[number];

/** The part of the requests that is measured; absent fields let all through. */
export interface Part {
  readonly group?: string | undefined;
  readonly region?: string | undefined;
  readonly fromMs?: number | undefined;
  readonly toMs?: number | undefined;
}

const HIGHEST_MS = 3_600_000;

type Take = (
  seen: readonly Seen[],
  runs: RunIndex | undefined,
) => number | undefined;

const retryable = new Set(
  Object.values(codes).filter((row) => row.retryable).map((row) => row.code),
);

const measures: Record<Measure, Take> = {
  requests: (seen) => seen.length,
  completeShare: (seen) => share(seen, isComplete),
  onTimeShare: (seen) => share(seen, isOnTime),
  refusedShare: (seen) => share(seen, (s) => lastAttempt(s)?.end === "failed"),
  unansweredShare: (seen) => share(seen, isUnanswered),
  awayShare: (seen) => share(seen.filter(isComplete), wentAway),
  foreignAnswers: (seen) =>
    seen.filter((s) => s.attempts.some((a) => a.check === "foreign")).length,
  incompleteAnswers: (seen) => seen.filter(hasBadEnd).length,
  brokenStreams: (seen) =>
    seen.filter((s) => s.attempts.some((a) => a.end === "broken")).length,
  residencyViolations: (seen, runs) => runs && count(seen, runs, "leftHome"),
  doubleRuns: (seen, runs) => runs && count(seen, runs, "ranTwice"),
  notRunButRan: (seen, runs) => runs && count(seen, runs, "ranThoughDenied"),
  answeredNotRun: (seen, runs) =>
    runs && count(seen, runs, "answeredWithoutRun"),
  adviceMissing: (seen) => seen.filter(lacksAdvice).length,
  attemptsMean: (seen) =>
    seen.length === 0 ? undefined : seen.reduce(
      (sum, s) => sum + s.attempts.length,
      0,
    ) / seen.length,
  warmShare: (seen, runs) => runs && warmShare(seen, runs),
  firstTokenP50Ms: (seen) => firstToken(seen, 50),
  firstTokenP95Ms: (seen) => firstToken(seen, 95),
  firstTokenP99Ms: (seen) => firstToken(seen, 99),
  totalP50Ms: (seen) => total(seen, 50),
  totalP95Ms: (seen) => total(seen, 95),
  totalP99Ms: (seen) => total(seen, 99),
};

/** The result of one replay. */
export class Report {
  readonly #seen: readonly Seen[];
  readonly #runs: RunIndex | undefined;

  /** Without `runs`, measures that need the upstreams' records are undefined. */
  constructor(seen: readonly Seen[], runs: RunIndex | undefined) {
    this.#seen = seen;
    this.#runs = runs;
  }

  /** One measure; undefined if there is nothing to measure it by. */
  measure(name: Measure, part: Part = {}): number | undefined {
    return measures[name](this.select(part), this.#runs);
  }

  /** All measures of a part. */
  all(part: Part = {}): Record<Measure, number | undefined> {
    const values = measureNames.map((name) => [name, this.measure(name, part)]);
    return Object.fromEntries(values) as Record<Measure, number | undefined>;
  }

  /** The requests of a part. */
  select(part: Part): readonly Seen[] {
    return this.#seen.filter(({ request }) =>
      (part.group === undefined || request.group === part.group) &&
      (part.region === undefined || request.region === part.region) &&
      request.arrivalMs >= (part.fromMs ?? 0) &&
      request.arrivalMs < (part.toMs ?? Infinity)
    );
  }

  /** The groups that occur, sorted. */
  groups(): string[] {
    return [...new Set(this.#seen.map((s) => s.request.group))].sort();
  }

  /** All requests with all that their callers saw. */
  calls(): readonly Seen[] {
    return this.#seen;
  }

  /** How often each result code was an attempt's answer. */
  codeCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const seen of this.#seen) {
      for (const { code } of seen.attempts) {
        if (code !== undefined) counts[code] = (counts[code] ?? 0) + 1;
      }
    }
    return counts;
  }
}

function share(
  seen: readonly Seen[],
  test: (seen: Seen) => boolean,
): number | undefined {
  return seen.length === 0 ? undefined : seen.filter(test).length / seen.length;
}

function count(
  seen: readonly Seen[],
  runs: RunIndex,
  rule: "leftHome" | "ranTwice" | "ranThoughDenied" | "answeredWithoutRun",
): number {
  return seen.filter((s) => runs[rule](s)).length;
}

function deadlineMs(seen: Seen): number {
  const { arrivalMs, deadlineMs } = seen.request;
  return seen.arrivedAtMs + deadlineMs - arrivalMs;
}

function isOnTime(seen: Seen): boolean {
  return isComplete(seen) && lastAttempt(seen)!.endedAtMs <= deadlineMs(seen);
}

function isUnanswered(seen: Seen): boolean {
  const end = lastAttempt(seen)?.end;
  return end === undefined || end === "timeout" || end === "broken";
}

function wentAway(seen: Seen): boolean {
  const region = lastAttempt(seen)?.region;
  return region !== undefined && region !== seen.request.home;
}

/** A clean end of an answer that was not whole. */
function hasBadEnd(seen: Seen): boolean {
  return seen.attempts.some((a) =>
    a.end === "answered" && (a.check === "cut" || a.check === "garbled")
  );
}

function lacksAdvice(seen: Seen): boolean {
  return seen.attempts.some((a) =>
    a.end === "failed" && a.ran === "no" && retryable.has(a.code ?? 0) &&
    a.retryAtMs === undefined && a.goTo === undefined
  );
}

function warmShare(seen: readonly Seen[], runs: RunIndex): number | undefined {
  let warm = 0;
  let all = 0;
  for (const s of seen) {
    if (s.request.kind !== "chat") continue;
    for (const run of runs.of(s)) {
      warm += run.warmTokens;
      all += s.request.promptTokens;
    }
  }
  return all === 0 ? undefined : warm / all;
}

function firstToken(
  seen: readonly Seen[],
  percent: number,
): number | undefined {
  const waits = seen.filter(isComplete).flatMap((s) => {
    const atMs = lastAttempt(s)?.firstTokenAtMs;
    return atMs === undefined ? [] : [atMs - s.arrivedAtMs];
  });
  return percentile(waits, percent);
}

function total(seen: readonly Seen[], percent: number): number | undefined {
  const waits = seen.filter(isComplete).map((s) =>
    lastAttempt(s)!.endedAtMs - s.arrivedAtMs
  );
  return percentile(waits, percent);
}

function percentile(
  waitsMs: readonly number[],
  percent: number,
): number | undefined {
  if (waitsMs.length === 0) return undefined;
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const waitMs of waitsMs) {
    histogram.recordValue(Math.min(HIGHEST_MS, Math.max(0, waitMs)));
  }
  return histogram.getValueAtPercentile(percent);
}
