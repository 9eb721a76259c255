import { describe, it } from "./describe.ts";
import { LagDetector } from "./mod.ts";
import { StallingClock } from "../../test/stalling_clock.ts";

describe("lag detector", () => {
  it("reports no lag while timers run on time", async (t) => {
    const clock = new StallingClock();
    const detector = new LagDetector(clock);
    await clock.inner.advance(5_000);
    t.false(detector.wasLate);
    detector.close();
  });

  for (const first of ["a message", "a timer"]) {
    it(`reports for a short time that the process was late, when ${first} runs first`, async (t) => {
      const clock = new StallingClock();
      const detector = new LagDetector(clock);
      await clock.inner.advance(1_000);
      clock.stalledMs += 300;
      if (first === "a timer") await clock.inner.advance(50);
      t.true(detector.wasLate);
      await clock.inner.advance(300);
      t.true(detector.wasLate);
      await clock.inner.advance(400);
      t.false(detector.wasLate);
      detector.close();
    });
  }
});
