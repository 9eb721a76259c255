import { describe, it } from "../base/describe.ts";
import type { ShareReport } from "../quota/mod.ts";
import {
  decodeHandover,
  decodeShares,
  decodeStandby,
  decodeUses,
  encodeHandover,
  encodeShares,
  encodeUses,
} from "./quota_wire.ts";

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

describe("a handover of the count", () => {
  const row = {
    workspace: "convoys",
    given: { south: 7 },
    taken: {},
    level: 0.5,
    units: -120,
  };

  it("arrives as it was sent", (t) => {
    const handover = { rows: [row], unusedMs: 1_500 };
    const sent: unknown = JSON.parse(JSON.stringify(encodeHandover(handover)));
    t.deepEqual(decodeHandover(sent), handover);
  });

  it("is ignored without the time in which nothing else was used", (t) => {
    t.is(decodeHandover({ rows: [] }), undefined);
    t.is(decodeHandover({ rows: [], unusedMs: -1 }), undefined);
    t.is(decodeHandover(null), undefined);
  });

  it("is distinct from a standby row, which leaves open what is left", (t) => {
    const rows = [["convoys", {}, {}, 0.5]];
    const expected = { workspace: "convoys", given: {}, taken: {}, level: 0.5 };
    t.deepEqual(decodeStandby({ rows }), [expected]);
  });
});

describe("local use told to leads", () => {
  it("arrives as it was sent", (t) => {
    const uses = [{ workspace: "convoys", units: 9_240 }];
    const sent: unknown = JSON.parse(JSON.stringify(encodeUses(uses)));
    t.deepEqual(decodeUses(sent), uses);
  });

  it("leaves out what is malformed", (t) => {
    t.deepEqual(decodeUses({ uses: [{ workspace: 1, units: 1 }, null] }), []);
    t.deepEqual(decodeUses(undefined), []);
  });
});
