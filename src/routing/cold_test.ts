import { describe, it } from "../base/describe.ts";
import { ColdRateLimiter } from "./mod.ts";

/** Returns the most sends in any second of ten, by owners that all try every millisecond. */
function maxSendsPerSecond(owners: number, perS: number): number {
  const sentMs: number[] = [];
  const limiters = Array.from({ length: owners }, () => new ColdRateLimiter());
  for (let nowMs = 0; nowMs < 10_000; nowMs++) {
    for (const limiter of limiters) {
      if (limiter.tryTake(nowMs, perS)) sentMs.push(nowMs);
    }
  }
  return Math.max(
    ...sentMs.map((startMs) =>
      sentMs.filter((ms) => ms >= startMs && ms < startMs + 1_000).length
    ),
  );
}

describe("routing", () => {
  // A failure domain comes back cold while VMs disagree on which VMs are alive. Two VMs consider themselves the owner
  // of an upstream, which then gets the requests of both. It can handle 1.5 times its rate and three requests more.
  describe("a cold upstream", () => {
    for (const perS of [1, 2.8, 4.27, 6, 10, 40]) {
      it(`with a rate of ${perS} per second withstands two owners at once`, (t) => {
        t.true(maxSendsPerSecond(2, perS) <= perS * 1.5 + 3);
      });
    }

    it("gets most of its rate from one owner", (t) => {
      t.true(maxSendsPerSecond(1, 10) >= 7);
    });
  });
});
