import { describe, it } from "../base/describe.ts";
import { hash32, Random } from "../base/mod.ts";
import { affinityOf, type Candidate, EnginePace, rank } from "./mod.ts";

/** One engine of the load below: reads prompts one after the other and keeps the parts that it read last. */
class ModelEngine {
  readonly kept = new Map<string, number>();
  freeAtMs = 0;
  waiting: { untilMs: number; tokens: number }[] = [];
}

const SHARED_TOKENS = 6_300;
const OWN_TOKENS = 2_890;
const KEPT_PROMPTS = 40;
const READ_PER_MS = 91.8;

const TERMS = {
  pace: new EnginePace(),
  objectiveMs: 800,
  eventGapMs: 300,
  endGapMs: Infinity,
};

/** Plays `perS` long prompts a second over 100 subjects on 6 engines for 30 s; answers with the share that starts in time. */
function playPrompts(
  perS: number,
  choose: (engines: readonly Candidate[], subject: string) => string,
): number {
  const random = new Random(7);
  const engines = new Map(
    Array.from({ length: 6 }, (_, i) => [`e${i}`, new ModelEngine()]),
  );
  let inTime = 0;
  let asked = 0;
  for (
    let nowMs = 0;
    nowMs < 30_000;
    nowMs += random.exponential(1000 / perS)
  ) {
    const subject = `subject-${random.int(100)}`;
    const seen = [...engines].map(([key, engine]) => {
      engine.waiting = engine.waiting.filter(({ untilMs }) => untilMs > nowMs);
      const isWarm = engine.kept.has(subject);
      return {
        key,
        hash: hash32(key),
        slots: 128,
        running: engine.waiting.length,
        waitingTokens: engine.waiting.reduce(
          (sum, { tokens }) => sum + tokens,
          0,
        ),
        unreadTokens: OWN_TOKENS + (isWarm ? 0 : SHARED_TOKENS),
        doubtful: false,
      };
    });
    const engine = engines.get(choose(seen, subject))!;
    const tokens = OWN_TOKENS + (engine.kept.has(subject) ? 0 : SHARED_TOKENS);
    engine.kept.delete(subject);
    engine.kept.set(subject, nowMs);
    if (engine.kept.size > KEPT_PROMPTS) {
      engine.kept.delete(
        engine.kept.keys().next().value!,
      );
    }
    engine.freeAtMs = Math.max(engine.freeAtMs, nowMs) + tokens / READ_PER_MS;
    engine.waiting.push({ untilMs: engine.freeAtMs, tokens });
    asked++;
    if (engine.freeAtMs - nowMs <= 700) inTime++;
  }
  return inTime / asked;
}

describe("placing under load", () => {
  // The peak of one region: 100 long prompts a second, which six engines can serve if each subject is read in one place,
  // and not if every engine reads every subject.
  it("a peak is served in time that the least loaded engine would not serve", (t) => {
    const leastLoaded = playPrompts(
      100,
      (engines) =>
        [...engines].sort((a, b) => a.waitingTokens - b.waitingTokens)[0].key,
    );
    const placed = playPrompts(
      100,
      (engines, subject) =>
        rank(
          engines,
          affinityOf([{ id: subject, tokens: SHARED_TOKENS }, {
            id: "own",
            tokens: OWN_TOKENS,
          }]),
          TERMS,
        )[0].key,
    );
    t.log(
      `in time: least loaded ${leastLoaded.toFixed(3)}, placed ${
        placed.toFixed(3)
      }`,
    );
    t.true(placed > 0.95);
    t.true(leastLoaded < 0.7);
  });

  // One subject is asked for by everybody: its home engine alone could not serve it.
  it("one popular prompt does not queue while others idle", (t) => {
    const placed = playPrompts(
      120,
      (engines) =>
        rank(
          engines,
          affinityOf([{ id: "same", tokens: SHARED_TOKENS }, {
            id: "own",
            tokens: OWN_TOKENS,
          }]),
          TERMS,
        )[0].key,
    );
    t.true(placed > 0.5, placed.toFixed(3));
  });
});
