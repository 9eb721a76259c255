/**
 * Computes the measures of a replay, over all requests or a part of them.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { codes } from "../base/mod.ts";
import type { RunIndex } from "./runs.ts";
import {
  getLastAttempt,
  isComplete,
  type RequestRecord,
} from "./request_record.ts";

/** The names of all measures; see docs/TRACE.md. */
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

/** Selects the requests that are measured. An absent field selects all. */
export interface RequestFilter {
  readonly group?: string | undefined;
  readonly region?: string | undefined;
  readonly fromMs?: number | undefined;
  readonly toMs?: number | undefined;
}

const MAX_WAIT_MS = 3_600_000;

type ComputeMeasure = (
  records: readonly RequestRecord[],
  runs: RunIndex | undefined,
) => number | undefined;

const retryableCodes = new Set(
  Object.values(codes).filter((row) => row.retryable).map((row) => row.code),
);

const measures: Record<Measure, ComputeMeasure> = {
  requests: (records) => records.length,
  completeShare: (records) => computeShare(records, isComplete),
  onTimeShare: (records) => computeShare(records, isOnTime),
  refusedShare: (records) =>
    computeShare(records, (s) => getLastAttempt(s)?.end === "failed"),
  unansweredShare: (records) => computeShare(records, isUnanswered),
  awayShare: (records) =>
    computeShare(records.filter(isComplete), wasServedAway),
  foreignAnswers: (records) =>
    records.filter((s) => s.attempts.some((a) => a.check === "foreign")).length,
  incompleteAnswers: (records) => records.filter(hasIncompleteAnswer).length,
  brokenStreams: (records) =>
    records.filter((s) => s.attempts.some((a) => a.end === "broken")).length,
  residencyViolations: (records, runs) =>
    runs && countRequests(records, runs, "leftHome"),
  doubleRuns: (records, runs) =>
    runs && countRequests(records, runs, "ranTwice"),
  notRunButRan: (records, runs) =>
    runs && countRequests(records, runs, "ranThoughDenied"),
  answeredNotRun: (records, runs) =>
    runs && countRequests(records, runs, "answeredWithoutRun"),
  adviceMissing: (records) => records.filter(lacksRetryAdvice).length,
  attemptsMean: (records) =>
    records.length === 0 ? undefined : records.reduce(
      (sum, s) => sum + s.attempts.length,
      0,
    ) / records.length,
  warmShare: (records, runs) => runs && computeWarmShare(records, runs),
  firstTokenP50Ms: (records) => getFirstTokenMs(records, 50),
  firstTokenP95Ms: (records) => getFirstTokenMs(records, 95),
  firstTokenP99Ms: (records) => getFirstTokenMs(records, 99),
  totalP50Ms: (records) => getTotalMs(records, 50),
  totalP95Ms: (records) => getTotalMs(records, 95),
  totalP99Ms: (records) => getTotalMs(records, 99),
};

/** The result of one replay. */
export class Report {
  readonly #records: readonly RequestRecord[];
  readonly #runs: RunIndex | undefined;

  /** Without `runs`, the measures that need the upstreams' records are `undefined`. */
  constructor(records: readonly RequestRecord[], runs: RunIndex | undefined) {
    this.#records = records;
    this.#runs = runs;
  }

  /** Computes one measure; `undefined` if there are no requests or records to compute it from. */
  measure(name: Measure, filter: RequestFilter = {}): number | undefined {
    return measures[name](this.selectRecords(filter), this.#runs);
  }

  /** Computes all measures of the selected requests. */
  measureAll(filter: RequestFilter = {}): Record<Measure, number | undefined> {
    const pairs = measureNames.map((
      name,
    ) => [name, this.measure(name, filter)]);
    return Object.fromEntries(pairs) as Record<Measure, number | undefined>;
  }

  /** Returns the records of the selected requests. */
  selectRecords(filter: RequestFilter): readonly RequestRecord[] {
    return this.#records.filter(({ request }) =>
      (filter.group === undefined || request.group === filter.group) &&
      (filter.region === undefined || request.region === filter.region) &&
      request.arrivalMs >= (filter.fromMs ?? 0) &&
      request.arrivalMs < (filter.toMs ?? Infinity)
    );
  }

  /** Returns the groups that occur, sorted. */
  listGroups(): string[] {
    return [...new Set(this.#records.map((s) => s.request.group))].sort();
  }

  /** Returns the records of all requests. */
  getRecords(): readonly RequestRecord[] {
    return this.#records;
  }

  /** Counts the attempts that ended with each result code. */
  countCodes(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const record of this.#records) {
      for (const { code } of record.attempts) {
        if (code !== undefined) counts[code] = (counts[code] ?? 0) + 1;
      }
    }
    return counts;
  }
}

function computeShare(
  records: readonly RequestRecord[],
  test: (record: RequestRecord) => boolean,
): number | undefined {
  return records.length === 0
    ? undefined
    : records.filter(test).length / records.length;
}

function countRequests(
  records: readonly RequestRecord[],
  runs: RunIndex,
  rule: "leftHome" | "ranTwice" | "ranThoughDenied" | "answeredWithoutRun",
): number {
  return records.filter((s) => runs[rule](s)).length;
}

function getDeadlineMs(record: RequestRecord): number {
  const { arrivalMs, deadlineMs } = record.request;
  return record.arrivedAtMs + deadlineMs - arrivalMs;
}

function isOnTime(record: RequestRecord): boolean {
  return isComplete(record) &&
    getLastAttempt(record)!.endedAtMs <= getDeadlineMs(record);
}

function isUnanswered(record: RequestRecord): boolean {
  const end = getLastAttempt(record)?.end;
  return end === undefined || end === "timeout" || end === "broken";
}

function wasServedAway(record: RequestRecord): boolean {
  const region = getLastAttempt(record)?.region;
  return region !== undefined && region !== record.request.home;
}

/** Whether an attempt's answer ended cleanly although it was incomplete or garbled. */
function hasIncompleteAnswer(record: RequestRecord): boolean {
  return record.attempts.some((a) =>
    a.end === "answered" && (a.check === "cut" || a.check === "garbled")
  );
}

function lacksRetryAdvice(record: RequestRecord): boolean {
  return record.attempts.some((a) =>
    a.end === "failed" && a.ran === "no" && retryableCodes.has(a.code ?? 0) &&
    a.retryAtMs === undefined && a.goTo === undefined
  );
}

function computeWarmShare(
  records: readonly RequestRecord[],
  runs: RunIndex,
): number | undefined {
  let warmTokens = 0;
  let promptTokens = 0;
  for (const s of records) {
    if (s.request.kind !== "chat") continue;
    for (const run of runs.findRuns(s)) {
      warmTokens += run.warmTokens;
      promptTokens += s.request.promptTokens;
    }
  }
  return promptTokens === 0 ? undefined : warmTokens / promptTokens;
}

function getFirstTokenMs(
  records: readonly RequestRecord[],
  percent: number,
): number | undefined {
  const waitsMs = records.filter(isComplete).flatMap((s) => {
    const atMs = getLastAttempt(s)?.firstTokenAtMs;
    return atMs === undefined ? [] : [atMs - s.arrivedAtMs];
  });
  return computePercentile(waitsMs, percent);
}

function getTotalMs(
  records: readonly RequestRecord[],
  percent: number,
): number | undefined {
  const waitsMs = records.filter(isComplete).map((s) =>
    getLastAttempt(s)!.endedAtMs - s.arrivedAtMs
  );
  return computePercentile(waitsMs, percent);
}

function computePercentile(
  waitsMs: readonly number[],
  percent: number,
): number | undefined {
  if (waitsMs.length === 0) return undefined;
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_WAIT_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const waitMs of waitsMs) {
    histogram.recordValue(Math.min(MAX_WAIT_MS, Math.max(0, waitMs)));
  }
  return histogram.getValueAtPercentile(percent);
}
