import test from "ava";
import {
  backoffMs,
  ManualClock,
  Random,
  rendezvous,
  secretDigest,
  secretMatches,
} from "./mod.ts";

test("rendezvous moves only the keys of the member that is gone", (t) => {
  const members = ["a", "b", "c", "d"];
  for (let i = 0; i < 200; i++) {
    const before = rendezvous(`key${i}`, members, (m) => m);
    const after = rendezvous(
      `key${i}`,
      members.filter((m) => m !== "c"),
      (m) => m,
    );
    t.deepEqual(after, before.filter((m) => m !== "c"));
  }
});

test("a secret matches only its own digest", (t) => {
  t.true(secretMatches("swordfish", secretDigest("swordfish")));
  t.false(secretMatches("swordfisj", secretDigest("swordfish")));
  t.false(secretMatches("swordfish", "ab"));
});

test("backoff stays within its limits and is the same for the same seed", (t) => {
  const limits = { firstMs: 50, maxMs: 2000 };
  const waits = (seed: number) => {
    const random = new Random(seed);
    return Array.from(
      { length: 12 },
      (_, attempt) => backoffMs(attempt, limits, random),
    );
  };
  t.deepEqual(waits(7), waits(7));
  t.true(waits(7).every((ms) => ms >= 25 && ms <= 2000));
});

test("a manual clock runs timers in order of time", async (t) => {
  const clock = new ManualClock(0);
  const seen: string[] = [];
  clock.after(20, () => seen.push("b20"));
  clock.after(10, () => seen.push("a10"));
  const ticker = clock.every(8, () => seen.push(`t${clock.nowMs()}`));
  await clock.advance(20);
  ticker.close();
  await clock.advance(20);
  t.deepEqual(seen, ["t8", "a10", "t16", "b20"]);
});
