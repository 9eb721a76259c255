/**
 * Tables of a replay for people, and the same as JSON.
 *
 * @module
 */

import type { OutcomeResult } from "./outcomes.ts";
import type { Measure, Part, Report } from "./report.ts";
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

/** Rows with aligned columns; the first row is the head. */
export function alignRows(rows: readonly (readonly string[])[]): string {
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

/** The measures by group and region, the promises, and the outcomes. */
export function printReport(
  trace: Trace,
  report: Report,
  outcomes: readonly OutcomeResult[],
): string {
  const parts = partsOf(trace, report);
  const rows = parts.map(({ name, part }) => [
    name,
    ...columns.map((measure) => number(report.measure(measure, part))),
  ]);
  const judged = outcomes.map((result) => [
    describeOutcome(result),
    number(result.value),
    result.held ? "held" : "FAILED",
  ]);
  const answers = Object.entries(report.codeCounts())
    .map(([code, count]) => `${code}: ${count}`).join(", ");
  return [
    `trace ${trace.header.name}, seed ${trace.header.seed}`,
    alignRows([["part", ...columns], ...rows]),
    `result codes seen: ${answers || "none"}`,
    ...(judged.length > 0
      ? [alignRows([["outcome", "measured", ""], ...judged])]
      : []),
  ].join("\n\n");
}

/** The report as one JSON value. */
export function reportJson(
  trace: Trace,
  report: Report,
  outcomes: readonly OutcomeResult[],
): unknown {
  return {
    trace: trace.header.name,
    seed: trace.header.seed,
    parts: partsOf(trace, report).map(({ name, part }) => ({
      name,
      ...part,
      measures: report.all(part),
    })),
    codes: report.codeCounts(),
    outcomes: outcomes.map(({ outcome, value, held }) => ({
      ...outcome,
      value,
      held,
    })),
  };
}

function partsOf(
  trace: Trace,
  report: Report,
): readonly { name: string; part: Part }[] {
  return [
    { name: "all", part: {} },
    ...report.groups().map((group) => ({ name: group, part: { group } })),
    ...trace.header.topology.regions.map(({ id }) => ({
      name: `in ${id}`,
      part: { region: id },
    })),
  ];
}

function describeOutcome({ outcome }: OutcomeResult): string {
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

function number(value: number | undefined): string {
  if (value === undefined) return "-";
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}
