import { describe, it } from "../base/describe.ts";
import { bestPool } from "./lead_view.ts";

const NOW_MS = 1_700_000_000_000;

const pool = (predictedWaitMs: number, takesIn: boolean, ageMs: number) => ({
  topic: "load/plan/0",
  vmId: "vm-1",
  body: { predictedWaitMs, takesIn },
  seenAtMs: NOW_MS - ageMs,
});

const waitOf = (...pools: ReturnType<typeof pool>[]) =>
  bestPool(pools, NOW_MS)?.predictedWaitMs;

describe("the best pool of another region", () => {
  it("has the shortest wait of those that take requests in", (t) => {
    t.is(waitOf(pool(9, true, 0), pool(5, true, 0), pool(1, false, 0)), 5);
    t.is(waitOf(pool(9, false, 0), pool(1, false, 0)), 1);
    t.is(waitOf(), undefined);
  });

  // Nothing is sent on a value older than three seconds, so such a pool would hide the others.
  it("is not one whose value is too old for sending, while there is another", (t) => {
    t.is(waitOf(pool(1, true, 2_001), pool(9, true, 2_000)), 9);
    t.is(waitOf(pool(1, true, 4_000), pool(9, true, 5_000)), 1);
  });
});
