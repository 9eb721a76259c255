import { describe, it } from "../base/describe.ts";
import { LineLog } from "./line_log.ts";

/** A sink that keeps the written lines. */
function memorySink() {
  const lines: string[] = [];
  return {
    lines,
    sink: {
      write: (line: string) => void lines.push(line),
      waitingBytes: () => 0,
    },
  };
}

function attemptsIn(lines: readonly string[]): string[] {
  return lines.map((line) => /attempt=(\S+)/.exec(line)?.[1])
    .filter((attempt) => attempt !== undefined);
}

describe("line log", () => {
  describe("a VM with more requests than its log budget", () => {
    // If every VM writes the first lines of each second, these are different requests on two VMs. An engineer who looks
    // up a successful request then finds it on only one of the two VMs that had a part in it.
    it("logs the same requests on every VM", (t) => {
      const near = memorySink();
      const far = memorySink();
      let nowMs = 0;
      const logs = [near, far].map(({ sink }) =>
        new LineLog(sink, {}, () => nowMs)
      );
      for (let second = 0; second < 3; second++) {
        nowMs = second * 1_000;
        const attempts = Array.from(
          { length: 1_000 },
          (_, i) => `${second}-${i}`,
        );
        for (const attempt of attempts) logs[0].info("request", { attempt });
        for (const attempt of attempts.toReversed()) {
          logs[1].info("request", { attempt });
        }
      }
      const ofLastSecond = (lines: readonly string[]) =>
        attemptsIn(lines).filter((attempt) => attempt.startsWith("2-")).sort();
      t.true(ofLastSecond(near.lines).length > 200);
      t.deepEqual(ofLastSecond(near.lines), ofLastSecond(far.lines));
    });

    it("still logs failures and state changes, and counts the dropped lines", (t) => {
      const { lines, sink } = memorySink();
      const log = new LineLog(sink, {}, () => 0);
      for (let i = 0; i < 5_000; i++) log.info("request", { attempt: `a${i}` });
      log.info("upstream gone", { upstream: "u" });
      log.warn("request", { attempt: "failed", outcome: "queueFull" });
      t.regex(lines.at(-2)!, /event="upstream gone" linesLeftOut=4700 /);
      t.regex(lines.at(-1)!, /attempt=failed/);
    });
  });
});
