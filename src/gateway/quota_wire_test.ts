import { describe, it } from "../base/describe.ts";
import type { ShareReport } from "../quota/mod.ts";
import { decodeShares, encodeShares } from "./quota_wire.ts";

const ROW = {
  workspace: "convoys",
  demandPerS: 12,
  share: 0.5,
  given: 7,
  taken: 9,
};

function sendShares(report: ShareReport): ShareReport | undefined {
  return decodeShares(JSON.parse(JSON.stringify(encodeShares(report))));
}

describe("shares sent to another region", () => {
  it("arrive as they were sent", (t) => {
    const report = { region: "south", rows: [ROW], isComplete: true, asks: [] };
    t.deepEqual(sendShares(report), report);
    const partial = { ...report, isComplete: false, asks: ["clinic"] };
    t.deepEqual(sendShares(partial), partial);
  });

  it("count as incomplete if their sender doesn't tell", (t) => {
    t.is(decodeShares({ region: "south", rows: [] })?.isComplete, false);
  });

  it("count as incomplete if a row was skipped", (t) => {
    const { rows, ...rest } = encodeShares(
      { region: "south", rows: [ROW], isComplete: true, asks: [] },
    ) as { rows: unknown[] };
    const report = decodeShares({ ...rest, rows: [...rows, ["clinic", 1]] });
    t.deepEqual(report?.rows, [ROW]);
    t.is(report?.isComplete, false);
  });
});
