/**
 * Formats the report of a replay as tables for people and as JSON.
 *
 * @module
 */

import type { OutcomeResult } from "./outcomes.ts";
import type { Measure, Report, RequestFilter } from "./report.ts";
import type { Trace } from "./trace.ts";

const columns: readonly Measure[] = [
  "requests",
  "completeShare",
  "onTimeShare",
  "refusedShare",
  "awayShare",
  "warmShare",
  "firstTokenP50Ms",
  "firstTokenP95Ms",
  "firstTokenP99Ms",
  "totalP95Ms",
];

/** Formats rows with aligned columns. The first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, i) =>
      i === 0 ? cell.padEnd(widths[i]) : cell.padStart(widths[i])
    )
      .join("  ").trimEnd()
  ).join("\n");
}

/** Formats the measures by group and region, the result codes, and the outcomes. */
export function formatReport(
  trace: Trace,
  report: Report,
  outcomes: readonly OutcomeResult[],
): string {
  const parts = listParts(trace, report);
  const rows = parts.map(({ name, part }) => [
    name,
    ...columns.map((measure) => formatNumber(report.measure(measure, part))),
  ]);
  const outcomeRows = outcomes.map((result) => [
    formatOutcome(result),
    formatNumber(result.value),
    result.held ? "held" : "FAILED",
  ]);
  const codeList = Object.entries(report.countCodes())
    .map(([code, count]) => `${code}: ${count}`).join(", ");
  return [
    `trace ${trace.header.name}, seed ${trace.header.seed}`,
    formatTable([["part", ...columns], ...rows]),
    `result codes seen: ${codeList || "none"}`,
    ...(outcomeRows.length > 0
      ? [formatTable([["outcome", "measured", ""], ...outcomeRows])]
      : []),
  ].join("\n\n");
}

/** Builds the report as one JSON value. */
export function buildReportJson(
  trace: Trace,
  report: Report,
  outcomes: readonly OutcomeResult[],
): unknown {
  return {
    trace: trace.header.name,
    seed: trace.header.seed,
    parts: listParts(trace, report).map(({ name, part }) => ({
      name,
      ...part,
      measures: report.measureAll(part),
    })),
    codes: report.countCodes(),
    outcomes: outcomes.map(({ outcome, value, held }) => ({
      ...outcome,
      value,
      held,
    })),
  };
}

function listParts(
  trace: Trace,
  report: Report,
): readonly { name: string; part: RequestFilter }[] {
  return [
    { name: "all", part: {} },
    ...report.listGroups().map((group) => ({ name: group, part: { group } })),
    ...trace.header.topology.regions.map(({ id }) => ({
      name: `in ${id}`,
      part: { region: id },
    })),
  ];
}

function formatOutcome({ outcome }: OutcomeResult): string {
  const { measure, group, region, fromMs, toMs, atMost, atLeast } = outcome;
  const span = fromMs === undefined && toMs === undefined
    ? []
    : [`from ${fromMs ?? 0} to ${toMs ?? "end"} ms`];
  const limits = [
    ...(atLeast === undefined ? [] : [`>= ${atLeast}`]),
    ...(atMost === undefined ? [] : [`<= ${atMost}`]),
  ];
  return [measure, ...limits, group, region && `in ${region}`, ...span]
    .filter((part) => part !== undefined).join(" ");
}

function formatNumber(value: number | undefined): string {
  if (value === undefined) return "-";
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}
