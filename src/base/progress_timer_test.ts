import { describe, it } from "./describe.ts";
import { ManualClock, ProgressTimer } from "./mod.ts";

const TIMES = { mostIdleMs: 100, mostMs: 1_000 };

/** Lets an operation make progress every `everyMs` until it is ended. Returns how long it went on. */
async function runUntilStuck(everyMs: number): Promise<number> {
  const clock = new ManualClock(0);
  const startMs = clock.monoMs();
  let stuckMs: number | undefined;
  const onStuck = () => stuckMs = clock.monoMs() - startMs;
  const timer = new ProgressTimer({ clock, ...TIMES, onStuck });
  clock.every(everyMs, () => timer.noteProgress());
  for (let ms = 0; ms < 2 * TIMES.mostMs; ms += 10) await clock.advance(10);
  return stuckMs ?? Infinity;
}

describe("an operation that is timed by its progress", () => {
  it("is ended when it makes none", async (t) => {
    t.is(await runUntilStuck(5_000), TIMES.mostIdleMs);
  });

  it("goes on beyond that time while it makes some, until its longest time", async (t) => {
    t.is(await runUntilStuck(90), TIMES.mostMs);
  });

  it("is not ended once it is over", async (t) => {
    const clock = new ManualClock(0);
    const timer = new ProgressTimer({
      clock,
      ...TIMES,
      onStuck: () => t.fail(),
    });
    timer.close();
    await clock.advance(2 * TIMES.mostMs);
    t.pass();
  });
});
