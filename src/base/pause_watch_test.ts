import { ManualClock } from "./clock.ts";
import { describe, it } from "./describe.ts";
import { PauseWatch } from "./pause_watch.ts";

const MIN_PAUSE_MS = 400;

/** A clock whose monotonic time can stand still. */
class SuspendedClock extends ManualClock {
  suspendedMs = 0;

  override monoMs(): number {
    return super.monoMs() - this.suspendedMs;
  }
}

describe("pause watch", () => {
  it("finds no pause while it is called often", async (t) => {
    const clock = new ManualClock(0);
    const watch = new PauseWatch(clock, MIN_PAUSE_MS);
    for (let i = 0; i < 10; i++) {
      await clock.advance(MIN_PAUSE_MS - 1);
      t.is(watch.note(), undefined);
    }
  });

  it("finds a pause once, with its bounds", async (t) => {
    const clock = new ManualClock(0);
    const watch = new PauseWatch(clock, MIN_PAUSE_MS);
    await clock.advance(100);
    t.is(watch.note(), undefined);
    await clock.advance(2_000);
    t.deepEqual(watch.note(), { fromMs: 100, toMs: 2_100, lengthMs: 2_000 });
    t.is(watch.note(), undefined);
  });

  it("finds a pause in which the monotonic clock stood still", async (t) => {
    const clock = new SuspendedClock(0);
    const watch = new PauseWatch(clock, MIN_PAUSE_MS);
    await clock.advance(2_000);
    clock.suspendedMs = 1_990;
    t.deepEqual(watch.note(), { fromMs: 0, toMs: 10, lengthMs: 2_000 });
  });

  it("takes a clock that is set back for no pause", (t) => {
    let wallMs = 10_000;
    const clock = Object.assign(new ManualClock(0), { nowMs: () => wallMs });
    const watch = new PauseWatch(clock, MIN_PAUSE_MS);
    wallMs = 0;
    t.is(watch.note(), undefined);
  });
});
