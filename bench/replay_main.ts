/**
 * `npm run replay [-- NAME...] [--json]`: replays the traces that ship against a system of child processes, prints
 * their tables, and exits with 1 if a stated outcome was not held. `--calls DIR` writes what each caller saw to
 * `DIR/NAME.calls.jsonl`.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { showProgress } from "../src/cli/replay.ts";
import {
  judge,
  printReport,
  readOutcomes,
  readTrace,
  replay,
  reportJson,
} from "../src/replay/mod.ts";
import { withLab } from "./replay_lab.ts";

const TRACES = ["cooperative", "directorate"];

const json = process.argv.includes("--json");
const callsAt = process.argv.indexOf("--calls");
const callsDir = callsAt < 0 ? undefined : process.argv[callsAt + 1];
const named = process.argv.slice(2).filter((arg) =>
  !arg.startsWith("-") && arg !== callsDir
);
for (const name of named.length > 0 ? named : TRACES) {
  if (!await replayOne(name)) process.exitCode = 1;
}

/** Replays one; whether all its outcomes were held. */
async function replayOne(name: string): Promise<boolean> {
  const trace = readTrace(`traces/${name}.jsonl`)._unsafeUnwrap();
  const outcomes = readOutcomes(`traces/${name}.outcomes.json`)
    ._unsafeUnwrap();
  const report = await withLab(trace, (lab) =>
    replay(trace, {
      targets: lab.targets(),
      records: lab.records(),
      injector: lab,
      onProgress: process.stderr.isTTY ? showProgress : undefined,
    }));
  if (callsDir) {
    const lines = report.calls().map((seen) => JSON.stringify(seen) + "\n");
    writeFileSync(`${callsDir}/${name}.calls.jsonl`, lines.join(""));
  }
  const results = judge(report, outcomes);
  console.log(
    json
      ? JSON.stringify(reportJson(trace, report, results))
      : `${printReport(trace, report, results)}\n`,
  );
  return results.every((result) => result.held);
}
