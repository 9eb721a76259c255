import test from "ava";
import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import { CrashHistory, type CrashRow } from "./mod.ts";

const HOUR_MS = 3_600_000;
/** Size that fits into a datagram without fragmentation, besides the message's frame. */
const MAX_MESSAGE_BYTES = 1_300;

/** Returns a history in which a request has crashed some upstreams. */
function historyOf(crashes: number, nowMs = 1_000): CrashHistory {
  const history = new CrashHistory();
  for (let at = 0; at < crashes; at++) {
    history.noteCrash("r", `u${at}`, nowMs, nowMs);
  }
  return history;
}

describe("suspects", () => {
  describe("the crash history", () => {
    it("puts a request on trial at the third crash and rejects it at the fourth", (t) => {
      const statuses = [0, 1, 2, 3, 4].map((crashes) =>
        historyOf(crashes).statusOf("r", 1_000)
      );
      t.deepEqual(statuses, [
        "clear",
        "suspected",
        "suspected",
        "onTrial",
        "rejected",
      ]);
    });

    it("counts a crash once that two VMs observed", (t) => {
      const history = historyOf(1);
      t.deepEqual(history.merge([["r", "u0", 90, false]], 1_050), []);
      t.is(history.crashCount("r", 1_050), 1);
    });

    it("counts each crash of an upstream that comes back and crashes again", (t) => {
      const history = historyOf(1, 1_000);
      history.noteCrash("r", "u0", 1_200, 1_300);
      history.noteCrash("r", "u0", 1_500, 1_600);
      t.is(history.crashCount("r", 1_600), 3);
    });

    it("counts one crash if the request was sent there before the first crash was known", (t) => {
      const history = historyOf(1, 1_000);
      history.noteCrash("r", "u0", 950, 1_010);
      t.is(history.crashCount("r", 1_010), 1);
    });

    it("clears a request that ran, whatever is reported of those crashes later", (t) => {
      const history = historyOf(3);
      history.clear("r", 1_100);
      history.merge([["r", "u1", 100, false]], 1_200);
      t.is(history.statusOf("r", 1_200), "clear");
    });

    it("has requests hashed only while one is suspected", (t) => {
      const history = historyOf(0);
      t.false(history.hasSuspects);
      history.noteCrash("r", "u", 1_000, 1_000);
      t.true(history.hasSuspects);
      history.clear("r", 1_100);
      t.false(history.hasSuspects);
      history.noteCrash("r", "v", 1_200, 1_200);
      history.sweep(1_200 + HOUR_MS);
      t.false(history.hasSuspects);
    });

    it("counts new crashes after the request was cleared", (t) => {
      const history = historyOf(3);
      history.clear("r", 1_100);
      history.noteCrash("r", "u9", 1_200, 1_300);
      t.is(history.crashCount("r", 1_300), 1);
    });

    it("rejects a request for new crashes, however many of it were cleared", (t) => {
      const history = historyOf(40);
      history.clear("r", 1_100);
      for (let at = 0; at < 60; at++) {
        history.noteCrash("r", `v${at}`, 1_200, 1_300);
        history.clear("r", 1_400);
      }
      for (const key of ["w", "x", "y", "z"]) {
        history.noteCrash("r", key, 1_500, 1_600);
      }
      t.is(history.statusOf("r", 1_600), "rejected");
      t.true(history.rows(1_600).length <= 16);
    });

    // What is sent again after ten seconds leaves out cleared requests, so a VM that was cut off keeps the suspicion.
    it("tells a VM that was cut off of a request that was cleared meanwhile", (t) => {
      const [lead, cutOff] = [historyOf(3), historyOf(3)];
      lead.clear("r", 1_100);
      cutOff.merge(lead.takeRowsToResend(20_000), 20_000);
      t.is(cutOff.statusOf("r", 20_000), "clear");
    });

    it("lets a rejected request run again after the time that it returns", (t) => {
      const history = historyOf(4);
      const againMs = 1_000 + history.rejectedForMs("r", 1_000);
      t.is(history.statusOf("r", againMs - 1), "rejected");
      t.not(history.statusOf("r", againMs), "rejected");
    });

    it("drops expired crashes, and accepts none that others dropped", (t) => {
      const history = historyOf(4);
      history.sweep(1_000 + HOUR_MS);
      t.is(history.size, 0);
      t.deepEqual(history.merge([["r", "u0", HOUR_MS, false]], 5_000), []);
      t.is(history.size, 0);
    });

    it("keeps a request with several crashes through a flood of others", (t) => {
      const history = historyOf(4);
      for (let at = 0; at < 50_000; at++) {
        history.noteCrash(`flood${at}`, "u", 2_000, 2_000);
      }
      t.is(history.statusOf("r", 2_000), "rejected");
      t.true(history.size <= 4_096, `${history.size} entries`);
    });

    it("sends a bounded message, with the requests with most crashes first", (t) => {
      const history = new CrashHistory();
      const digest = (at: number) => at.toString(16).padStart(16, "0");
      for (let at = 0; at < 100; at++) {
        for (let crash = 0; crash < (at === 50 ? 4 : 2); crash++) {
          const upstream = `i-${digest(crash).slice(6)}@1769340000000`;
          history.noteCrash(digest(at), upstream, 1_000, 1_000);
        }
      }
      const rows = history.takeRowsToResend(61_000);
      t.is(rows.length, 20);
      t.true(rows.slice(0, 4).every(([name]) => name === digest(50)));
      const bytes = JSON.stringify(rows).length;
      t.true(bytes < MAX_MESSAGE_BYTES, `${bytes} bytes`);
    });
  });
});

const row: fc.Arbitrary<CrashRow> = fc.tuple(
  fc.constantFrom("a", "b"),
  fc.constantFrom("u1", "u2", "u3", "u4", "u5"),
  fc.constant(0),
  fc.boolean(),
);

test("suspects > the crash history > agrees on every VM, in whatever order and however often rows arrive", (t) => {
  fc.assert(
    fc.property(
      fc.array(row, { maxLength: 30 }),
      fc.infiniteStream(fc.nat()),
      (rows, draws) => {
        const shuffled = [...rows, ...rows]
          .map((one) => ({ one, at: draws.next().value }))
          .sort((a, b) => a.at - b.at).map(({ one }) => one);
        const [history, other] = [new CrashHistory(), new CrashHistory()];
        history.merge(rows, 0);
        other.merge(shuffled, 0);
        for (const digest of ["a", "b"]) {
          t.is(history.statusOf(digest, 0), other.statusOf(digest, 0));
        }
      },
    ),
    { seed: 31, numRuns: 500 },
  );
  t.pass();
});
