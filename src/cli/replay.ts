/**
 * `ibisgap replay`: replays a trace against running VMs and checks stated outcomes.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { defineCommand } from "citty";
import {
  buildDefaultKey,
  buildReportJson,
  checkOutcomes,
  formatReport,
  type Outcome,
  parseTargets,
  readOutcomes,
  readTrace,
  type RecordSource,
  replay,
  type ReplayProgress,
} from "../replay/mod.ts";

/** Exit code when a stated outcome did not hold. */
const EXIT_OUTCOME_FAILED = 1;
/** Exit code when a file can't be read. */
const EXIT_USAGE = 2;

/** The command `ibisgap replay`; see docs/TRACE.md. */
export const replayCommand = defineCommand({
  meta: {
    name: "replay",
    description: "Replays a trace and checks what its callers got",
  },
  args: {
    trace: { type: "positional", required: true, description: "Trace file" },
    outcomes: { type: "string", description: "File of stated outcomes" },
    target: {
      type: "string",
      default: "http://127.0.0.1:7070",
      description: "Entry VMs: [REGION=]URL,...",
    },
    keys: {
      type: "string",
      description: "JSON file of keys by workspace; without it key-WORKSPACE",
    },
    records: {
      type: "string",
      description: "Stand-in upstreams to read records of: REGION=URL,...",
    },
    json: { type: "boolean", description: "Prints the report as JSON" },
  },
  async run({ args }) {
    const trace = readTrace(args.trace);
    if (trace.isErr()) return fail(trace.error);
    const outcomes = args.outcomes ? readOutcomes(args.outcomes) : undefined;
    if (outcomes?.isErr()) return fail(outcomes.error);
    const statedOutcomes: Outcome[] = outcomes?.isOk() ? outcomes.value : [];
    const report = await replay(trace.value, {
      targets: parseTargets(args.target),
      getKey: readKeys(args.keys),
      recordSources: args.records ? parseRecords(args.records) : undefined,
      onProgress: process.stderr.isTTY ? showProgress : undefined,
    });
    const results = checkOutcomes(report, statedOutcomes);
    console.log(
      args.json
        ? JSON.stringify(buildReportJson(trace.value, report, results), null, 2)
        : formatReport(trace.value, report, results),
    );
    if (results.some((result) => !result.held)) {
      process.exitCode = EXIT_OUTCOME_FAILED;
    }
  },
});

function fail(message: string): void {
  console.error(`ibisgap replay: ${message}`);
  process.exitCode = EXIT_USAGE;
}

function readKeys(path: string | undefined): (workspace: string) => string {
  if (!path) return buildDefaultKey;
  const keys = JSON.parse(readFileSync(path, "utf8")) as Record<string, string>;
  return (workspace) => keys[workspace] ?? buildDefaultKey(workspace);
}

function parseRecords(text: string): RecordSource[] {
  return parseTargets(text).map(({ url, region }) => ({
    upstream: url,
    region: region ?? "",
    controlUrl: url,
  }));
}

/** Shows the progress on a terminal, in one line that each call overwrites. */
export function showProgress(progress: ReplayProgress): void {
  const { nowMs, endMs, sent, open, total } = progress;
  const line =
    `${(nowMs / 1000).toFixed(1)} of ${(endMs / 1000).toFixed(1)} s` +
    `  sent ${sent}/${total}  open ${open}`;
  process.stderr.write(
    `\r${line.padEnd(60)}${sent === total && open === 0 ? "\n" : ""}`,
  );
}
