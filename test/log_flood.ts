/**
 * Writes 20,000 log lines at once to a standard output that nobody reads, then reports on standard error that it is
 * done.
 *
 * @module
 */

import { LineLog, openStandardOutput } from "../src/gateway/mod.ts";

const LINE_COUNT = 20_000;
/** Lines for each simulated second. This is below the log's rate limit, so that only the missing reader limits them. */
const LINES_PER_S = 200;

const sink = openStandardOutput();
let nowMs = 0;
const log = new LineLog(sink, { vm: "vm-1" }, () => nowMs);
for (let i = 0; i < LINE_COUNT; i++) {
  if (i % LINES_PER_S === 0) nowMs += 1_000;
  log.info("request", {
    attempt: `a-${i}`,
    outcome: "ok",
    text: "x".repeat(200),
  });
}
process.stderr.write(`written ${LINE_COUNT}, waiting ${sink.waitingBytes()}\n`);
setTimeout(() => process.exit(0), 60_000);
