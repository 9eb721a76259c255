import { describe, it } from "../base/describe.ts";
import { Random } from "../base/mod.ts";
import { UsualDurations } from "./mod.ts";

const CALLS = 400;

/** Returns the share of a route's calls that took longer than the calls before them let expect. */
function shareAbove(drawMs: (random: Random) => number): number {
  const durations = new UsualDurations();
  const random = new Random(7);
  let above = 0;
  for (let i = 0; i < CALLS; i++) {
    const ms = drawMs(random);
    if (i > 20 && ms > durations.usualMs("r")) above++;
    durations.note("r", ms);
  }
  return above / CALLS;
}

describe("the usual duration of a route's calls", () => {
  it("is 0 where no call is known", (t) => {
    t.is(new UsualDurations().usualMs("r"), 0);
  });

  it("is exceeded by few calls, also if durations vary much", (t) => {
    t.true(shareAbove((random) => random.exponential(3_000)) < 0.06);
    t.true(shareAbove((random) => 100 + 20 * random.next()) < 0.02);
  });

  it("is that of the route alone, and follows changes", (t) => {
    const durations = new UsualDurations();
    for (let i = 0; i < 50; i++) durations.note("fast", 50);
    for (let i = 0; i < 50; i++) durations.note("slow", 3_000);
    t.true(durations.usualMs("fast") < 100);
    t.true(durations.usualMs("slow") >= 2_900);
    for (let i = 0; i < 50; i++) durations.note("slow", 50);
    t.true(durations.usualMs("slow") < 200);
  });

  it("is kept for a bounded number of routes", (t) => {
    const durations = new UsualDurations();
    for (let i = 0; i < 2_000; i++) durations.note(`r${i}`, 50);
    t.is(durations.usualMs("r0"), 0);
    t.true(durations.usualMs("r1999") > 0);
  });
});
