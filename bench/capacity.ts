/**
 * Figures for docs/CAPACITY.md: runs the benches of the parts at several sizes, fits a line to each figure, and
 * evaluates it at the target size. `npm run bench -- capacity --json [--parts pool,table,members,claims,path]`
 *
 * The `case` of a fitted row names the role and what the figure grows with; its `policy` names the sizes that were
 * measured.
 *
 * @module
 */

import { run as runClaims } from "./control_claims.ts";
import { run as runMembers } from "./control_members.ts";
import { run as runTable } from "./control_table.ts";
import { run as runDecisions } from "./decision_cost.ts";
import { run as runPath } from "./path.ts";
import type { Row } from "./row.ts";

/** The target size of the fleet. The sizes for one region or VM below follow from it. */
const TARGET = { vms: 1400, runners: 10_000, regions: 21, tokensPerS: 14e6 };
/** Region sizes are evenly spread from 1 to 10, so the largest region has 10 / 5.5 times the average size. */
const LARGEST_REGION_FACTOR = 10 / 5.5;
const VMS_PER_REGION = TARGET.vms / TARGET.regions;
const TOKENS_PER_S_PER_VM = TARGET.tokensPerS / TARGET.vms;
/** Streams open at once on a VM: 23 requests/s of 440 tokens at 60 ms each. */
const STREAMS_PER_VM = 600;
/** Rows for 4,500 workspaces, 10,000 upstreams, 21 x 5 traffic rows, the regions and the services. */
const TABLE_ROWS = 14_700;
const POOL_SIZE = 64;

/** A figure that grows with a size, and the sizes at which its fitted line is evaluated. */
interface Fit {
  readonly role: string;
  readonly growsWith: string;
  readonly bench: string;
  readonly measure: string;
  readonly policy?: string;
  /** The size that a row was measured at, or `undefined` if the row is not part of this fit. */
  readonly sizeOf: (row: Row, rows: readonly Row[]) => number | undefined;
  readonly averageSize: number;
  readonly largestSize: number;
}

const FITS: readonly Fit[] = [
  {
    role: "caller's edge",
    growsWith: "tokens/s",
    bench: "path",
    measure: "processor time",
    policy: "ibisgap",
    sizeOf: (row, rows) =>
      rows.find((other) =>
        other.case === row.case && other.policy === row.policy &&
        other.measure === "tokens"
      )?.value,
    averageSize: TOKENS_PER_S_PER_VM,
    largestSize: TOKENS_PER_S_PER_VM,
  },
  {
    role: "caller's edge",
    growsWith: "streams",
    bench: "path",
    measure: "memory above idle",
    policy: "ibisgap",
    sizeOf: (row) => parseNumber(row.case, /(\d+) streams/),
    averageSize: STREAMS_PER_VM,
    largestSize: STREAMS_PER_VM,
  },
  {
    role: "pool lead",
    growsWith: "upstreams",
    bench: "decision_cost",
    measure: "cpu_per_step",
    sizeOf: (row) => parseNumber(row.case, /^(\d+) upstreams, 1000 queued/),
    averageSize: POOL_SIZE,
    largestSize: POOL_SIZE,
  },
  {
    role: "pool lead",
    growsWith: "queued requests",
    bench: "decision_cost",
    measure: "cpu_per_step",
    sizeOf: (row) => parseNumber(row.case, /^8 upstreams, (\d+) queued/),
    averageSize: 1000,
    largestSize: 1000,
  },
  ...["memory per 1,000 rows", "processor time per edit", "image"].map(
    (measure): Fit => ({
      role: "table",
      growsWith: "rows",
      bench: "control_table",
      measure,
      sizeOf: (row) => parseNumber(row.case, /^(\d+) rows/),
      averageSize: TABLE_ROWS,
      largestSize: TABLE_ROWS,
    }),
  ),
  ...["bytes per edit and VM", "store calls idle", "edit to in force p99"].map(
    (measure): Fit => ({
      role: "table watcher",
      growsWith: "VMs of 3 regions",
      bench: "control_table",
      measure,
      sizeOf: (row) => parseNumber(row.case, /^(\d+) VMs/),
      averageSize: VMS_PER_REGION * 3,
      largestSize: VMS_PER_REGION * 3 * LARGEST_REGION_FACTOR,
    }),
  ),
  ...[
    "members bytes sent, mean VM",
    "members bytes sent, most loaded VM",
    "slots bytes sent, mean VM",
    "slots bytes sent, most loaded VM",
    "cpu per VM",
  ].map((measure): Fit => ({
    role: "members and digests",
    growsWith: "VMs a region",
    bench: "control_members",
    measure,
    sizeOf: (row) => parseNumber(row.case, /^3x(\d+)$/),
    averageSize: VMS_PER_REGION,
    largestSize: VMS_PER_REGION * LARGEST_REGION_FACTOR,
  })),
  ...["CPU", "store writes", "added latency p99"].map((measure): Fit => ({
    role: "claim owner",
    growsWith: "claims/s",
    bench: "control_claims",
    policy: "group commit, 60 writes/s",
    measure,
    sizeOf: (row) => parseNumber(row.case, /^(\d+) claims/),
    averageSize: 300,
    largestSize: 300,
  })),
];

/** Runs the benches of the parts and fits a line to each figure. */
export async function run(args: readonly string[]): Promise<Row[]> {
  const at = args.indexOf("--parts");
  const parts = at < 0
    ? ["pool", "table", "members", "claims", "path"]
    : args[at + 1].split(",");
  const rows: Row[] = [];
  const runPart = async (part: string, run: () => Promise<readonly Row[]>) => {
    if (parts.includes(part)) rows.push(...await run());
  };
  await runPart("pool", runDecisions);
  await runPart(
    "table",
    () => runTable(["--vms", "6,24,48", "--edits", "100"]),
  );
  await runPart("members", () => runMembers(["--cases", "3x2,3x8,3x32,21x4"]));
  await runPart("claims", () => runClaims(["--seconds", "3"]));
  await runPart("path", () => runPath(["--mode", "paced"]));
  return [...rows, ...FITS.flatMap((fit) => fitRows(fit, rows))];
}

/** Fits a line through the measured points and evaluates it at the target sizes. */
function fitRows(fit: Fit, rows: readonly Row[]): Row[] {
  const points: [size: number, value: number][] = [];
  let unit = "";
  for (const row of rows) {
    const isMatch = row.bench === fit.bench && row.measure === fit.measure &&
      (fit.policy === undefined || row.policy === fit.policy);
    const size = isMatch ? fit.sizeOf(row, rows) : undefined;
    if (size === undefined) continue;
    points.push([size, row.value]);
    unit = row.unit;
  }
  if (points.length < 2) return [];
  const { slope, offset } = fitLine(points);
  const sizes = points.map(([size]) => size);
  const maxSize = Math.max(...sizes);
  const makeRow = (name: string, value: number, unit: string): Row => ({
    bench: "capacity",
    case: `${fit.role}, by ${fit.growsWith}`,
    policy: `measured at ${sizes.map(Math.round).join(", ")}`,
    measure: `${fit.measure}, ${name}`,
    value: Number(value.toPrecision(3)),
    unit,
    seed: 0,
  });
  return [
    makeRow("slope", slope, `${unit} each`),
    makeRow("offset", offset, unit),
    makeRow("at the average", offset + slope * fit.averageSize, unit),
    makeRow("at the largest", offset + slope * fit.largestSize, unit),
    makeRow("extrapolated by", Math.max(1, fit.largestSize / maxSize), "times"),
  ];
}

function fitLine(points: readonly [number, number][]) {
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanSize = mean(points.map(([size]) => size));
  const meanValue = mean(points.map(([, value]) => value));
  const covariance = mean(
    points.map(([size, value]) => (size - meanSize) * (value - meanValue)),
  );
  const variance = mean(points.map(([size]) => (size - meanSize) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, offset: meanValue - slope * meanSize };
}

function parseNumber(text: string, pattern: RegExp): number | undefined {
  const match = pattern.exec(text);
  return match ? Number(match[1]) : undefined;
}
