import { PauseDetector } from "./mod.ts";
import { StallingClock } from "../../test/stalling_clock.ts";
import { describe, it } from "./describe.ts";

describe("pause detector", () => {
  it("reports no pause while timers run", async (t) => {
    const clock = new StallingClock();
    const detector = new PauseDetector(clock);
    await clock.inner.advance(10_000);
    t.false(detector.consumePause());
    detector.close();
  });

  // A VM is frozen for five seconds. Afterwards a message or a timer may run first. In both cases the next check, and only
  // that one, must report the pause.
  it("reports a pause once, whether a message or a timer comes first", async (t) => {
    const clock = new StallingClock();
    const detector = new PauseDetector(clock);
    await clock.inner.advance(1000);
    clock.stalledMs += 5000;
    t.true(detector.consumePause());
    t.false(detector.consumePause());
    clock.stalledMs += 5000;
    await clock.inner.advance(1000);
    t.true(detector.consumePause());
    t.false(detector.consumePause());
    detector.close();
  });
});
