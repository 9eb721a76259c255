/**
 * `npm run replay [-- NAME...] [--json]`: replays the traces of the repository against child processes, prints their
 * tables, and exits with 1 if an expected outcome was missed. `--calls DIR` writes what each caller saw to
 * `DIR/NAME.calls.jsonl`.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { showProgress } from "../src/cli/replay.ts";
import {
  buildReportJson,
  checkOutcomes,
  formatReport,
  readOutcomes,
  readTrace,
  replay,
} from "../src/replay/mod.ts";
import { withTestbed } from "./replay_lab.ts";

const TRACES = ["cooperative", "directorate"];

const json = process.argv.includes("--json");
const callsAt = process.argv.indexOf("--calls");
const callsDir = callsAt < 0 ? undefined : process.argv[callsAt + 1];
const names = process.argv.slice(2).filter((arg) =>
  !arg.startsWith("-") && arg !== callsDir
);
for (const name of names.length > 0 ? names : TRACES) {
  if (!await replayTrace(name)) process.exitCode = 1;
}

/** Replays one trace and returns whether all its expected outcomes were met. */
async function replayTrace(name: string): Promise<boolean> {
  const trace = readTrace(`traces/${name}.jsonl`)._unsafeUnwrap();
  const outcomes = readOutcomes(`traces/${name}.outcomes.json`)
    ._unsafeUnwrap();
  const report = await withTestbed(trace, (testbed) =>
    replay(trace, {
      targets: testbed.targets(),
      recordSources: testbed.records(),
      injector: testbed,
      onProgress: process.stderr.isTTY ? showProgress : undefined,
    }));
  if (callsDir) {
    const lines = report.getRecords().map((call) =>
      JSON.stringify(call) + "\n"
    );
    writeFileSync(`${callsDir}/${name}.calls.jsonl`, lines.join(""));
  }
  const results = checkOutcomes(report, outcomes);
  console.log(
    json
      ? JSON.stringify(buildReportJson(trace, report, results))
      : `${formatReport(trace, report, results)}\n`,
  );
  return results.every((result) => result.held);
}
