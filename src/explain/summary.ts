/**
 * Counts the requests in the logs of all VMs by whether and why they were late or lost.
 *
 * @module
 */

import type { ParsedLine } from "./log_line.ts";

/** The result of a request, as seen by the VM that its caller was connected to. */
export type Fate =
  | "on time"
  /** The answer, or the first event of a stream, came later than the route's objective. */
  | "late start"
  /** A stream started in time and later paused for longer than its route allows. */
  | "long pause"
  /** The deadline passed before the answer was complete. */
  | "out of time"
  /** The request's upstream was lost or failed, and the request could not be retried. */
  | "broken"
  /** The caller was told to retry later, since there was no place for the request. */
  | "no capacity"
  /** The request was beyond its workspace's limit. */
  | "over quota"
  /** The caller was told that the request can't be served, or not now, for another reason. */
  | "refused"
  | "caller left";

/** What requests can be counted by. */
export const GROUPINGS = [
  "route",
  "workspace",
  "region",
  "priority",
  "service",
] as const;

/** One of {@link GROUPINGS}. */
export type Grouping = typeof GROUPINGS[number];

/** The number of requests of one group with one fate. */
export interface FateCount {
  /** The route's name, for example; "(none)" if the request has no route. */
  readonly group: string;
  readonly fate: Fate;
  readonly requests: number;
  /** How many of them waited in their lead's queue. */
  readonly queued: number;
}

const FATE_BY_OUTCOME: Readonly<Record<string, Fate>> = {
  upstreamTimeout: "out of time",
  expiredInQueue: "out of time",
  streamBroken: "broken",
  upstreamFailed: "broken",
  cutByStop: "broken",
  internal: "broken",
  queueFull: "no capacity",
  noUpstream: "no capacity",
  rateLimited: "over quota",
  canceled: "caller left",
};

function toNumber(text: string | undefined): number | undefined {
  return text === undefined || text === "" ? undefined : Number(text);
}

/** Determines a request's fate from its last line. */
export function fateOf({ fields }: ParsedLine): Fate {
  const { outcome, kind } = fields;
  if (outcome !== "ok") return FATE_BY_OUTCOME[outcome] ?? "refused";
  const isStream = kind === "stream";
  const startMs = toNumber(isStream ? fields.firstByteMs : fields.totalMs);
  if (
    startMs !== undefined &&
    startMs > (toNumber(fields.objectiveMs) ?? Infinity)
  ) {
    return "late start";
  }
  const gapMs = toNumber(fields.gapMs) || Infinity;
  const pauseMs = toNumber(fields.longestPauseMs) ?? 0;
  return isStream && pauseMs > gapMs ? "long pause" : "on time";
}

/** Returns the region of each VM, which it logs when it starts. */
function readRegions(lines: readonly ParsedLine[]): Map<string, string> {
  const regions = new Map<string, string>();
  for (const { event, fields } of lines) {
    if (event === "starting") regions.set(fields.vm, fields.region);
  }
  return regions;
}

/**
 * Counts requests by group and fate. A relayed request is counted once, at the VM that its caller was connected to. A
 * busy VM logs only a sample of its successful requests, so only those that were logged are counted.
 */
export function summarize(
  lines: readonly ParsedLine[],
  grouping: Grouping = "route",
): FateCount[] {
  const regions = readRegions(lines);
  const counts = new Map<string, FateCount>();
  for (const line of lines) {
    const { event, fields } = line;
    if (event !== "request" || fields.relayed === "true") continue;
    const group =
      (grouping === "region" ? regions.get(fields.vm) : fields[grouping]) ??
        "(none)";
    const fate = fateOf(line);
    const key = `${group} ${fate}`;
    const before = counts.get(key) ?? { requests: 0, queued: 0 };
    counts.set(key, {
      group,
      fate,
      requests: before.requests + 1,
      queued: before.queued + (fields.queuedMs === undefined ? 0 : 1),
    });
  }
  return [...counts.values()].sort((a, b) =>
    a.group.localeCompare(b.group) || b.requests - a.requests
  );
}

/** Formats the counts as a text table. */
export function summaryText(
  counts: readonly FateCount[],
  grouping: Grouping = "route",
): string {
  const width = Math.max(
    grouping.length,
    ...counts.map(({ group }) => group.length),
  );
  const rows = counts.map(({ group, fate, requests, queued }) =>
    [
      group.padEnd(width),
      fate.padEnd(11),
      String(requests).padStart(8),
      String(queued).padStart(6),
    ].join("  ")
  );
  return [
    `${grouping.padEnd(width)}  ${"fate".padEnd(11)}  requests  queued`,
    ...rows,
  ].join("\n");
}
