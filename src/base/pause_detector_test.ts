import { Clock, ManualClock, PauseDetector, type Timer } from "./mod.ts";
import { describe, it } from "./describe.ts";

/** A clock whose time can pass while its timers don't run, as in a frozen process. */
class FreezableClock extends Clock {
  readonly inner = new ManualClock(0);
  frozenMs = 0;
  nowMs(): number {
    return this.inner.nowMs() + this.frozenMs;
  }
  monoMs(): number {
    return this.nowMs();
  }
  after(delayMs: number, run: () => void): Timer {
    return this.inner.after(delayMs, run);
  }
  every(periodMs: number, run: () => void): Timer {
    return this.inner.every(periodMs, run);
  }
}

describe("pause detector", () => {
  it("reports no pause while timers run", async (t) => {
    const clock = new FreezableClock();
    const detector = new PauseDetector(clock);
    await clock.inner.advance(10_000);
    t.false(detector.consumePause());
    detector.close();
  });

  // A VM is frozen for five seconds. Afterwards a message or a timer may run first. In both cases the next check, and only
  // that one, must report the pause.
  it("reports a pause once, whether a message or a timer comes first", async (t) => {
    const clock = new FreezableClock();
    const detector = new PauseDetector(clock);
    await clock.inner.advance(1000);
    clock.frozenMs += 5000;
    t.true(detector.consumePause());
    t.false(detector.consumePause());
    clock.frozenMs += 5000;
    await clock.inner.advance(1000);
    t.true(detector.consumePause());
    t.false(detector.consumePause());
    detector.close();
  });
});
