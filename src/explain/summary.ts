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
  /** The caller was told to retry later, or that nothing can serve the request. */
  | "refused"
  | "caller left";

/** The number of requests of one route with one fate. */
export interface FateCount {
  readonly route: string;
  readonly fate: Fate;
  readonly requests: number;
}

const FATE_BY_OUTCOME: Readonly<Record<string, Fate>> = {
  upstreamTimeout: "out of time",
  expiredInQueue: "out of time",
  streamBroken: "broken",
  upstreamFailed: "broken",
  internal: "broken",
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

/**
 * Counts requests by route and fate. A relayed request is counted once, at the VM that its caller was connected to. A
 * busy VM logs only a sample of its successful requests, so only those that were logged are counted.
 */
export function summarize(lines: readonly ParsedLine[]): FateCount[] {
  const counts = new Map<string, FateCount>();
  for (const line of lines) {
    const { event, fields } = line;
    if (event !== "request" || fields.relayed === "true") continue;
    const route = fields.route ?? "(no route)";
    const fate = fateOf(line);
    const key = `${route} ${fate}`;
    const requests = (counts.get(key)?.requests ?? 0) + 1;
    counts.set(key, { route, fate, requests });
  }
  return [...counts.values()].sort((a, b) =>
    a.route.localeCompare(b.route) || b.requests - a.requests
  );
}

/** Formats the counts as a text table. */
export function summaryText(counts: readonly FateCount[]): string {
  const width = Math.max(5, ...counts.map(({ route }) => route.length));
  const rows = counts.map(({ route, fate, requests }) =>
    `${route.padEnd(width)}  ${fate.padEnd(11)}  ${
      String(requests).padStart(8)
    }`
  );
  return [
    `${"route".padEnd(width)}  ${"fate".padEnd(11)}  requests`,
    ...rows,
  ].join("\n");
}
