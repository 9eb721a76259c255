import { describe, it } from "../base/describe.ts";
import { urgencyRank } from "./mod.ts";

describe("routing", () => {
  describe("urgency", () => {
    const rank = (objectiveMs: number, readMs: number, waitedMs = 0) =>
      urgencyRank({ objectiveMs, readMs, waitedMs });

    it("ranks a request that is due sooner first", (t) => {
      t.true(rank(800, 10) < rank(1_500, 10));
      t.true(rank(1_500, 10, 900) < rank(1_500, 10));
    });

    it("ranks a long prompt behind a short one that is due at the same time", (t) => {
      t.true(rank(800, 10) < rank(800, 400));
    });

    it("ranks a request that can't be on time any more behind all that can", (t) => {
      t.true(rank(1_200, 1_500) > rank(12_000, 10));
      t.true(rank(800, 10, 900) > rank(12_000, 10));
    });

    it("stays within the ranks that engines distinguish", (t) => {
      for (const objectiveMs of [0, 1, 500, 5_000, 1e6]) {
        const given = rank(objectiveMs, 5);
        t.true(Number.isInteger(given) && given >= 0 && given <= 9);
      }
    });
  });
});
