import { describe, it } from "../base/describe.ts";
import { Random } from "../base/mod.ts";
import { EnginePace } from "./mod.ts";

/**
 * A kind of engine: prompt tokens read per ms, and the gaps of a stream while the engine reads nothing and while it
 * reads without a break.
 */
interface EngineModel {
  readonly readPerMs: number;
  readonly quietGapMs: number;
  readonly busyGapMs: number;
}

const MODELS: readonly EngineModel[] = [
  { readPerMs: 92, quietGapMs: 30, busyGapMs: 290 },
  { readPerMs: 62, quietGapMs: 45, busyGapMs: 560 },
  { readPerMs: 5, quietGapMs: 200, busyGapMs: 1_500 },
  { readPerMs: 600, quietGapMs: 8, busyGapMs: 60 },
];

/** Feeds samples of streams on one kind of engine, each with noise of up to a fifth. */
function feedStreams(
  pace: EnginePace,
  model: EngineModel,
  streams: number,
): void {
  const random = new Random(5);
  const addNoise = (ms: number) => ms * (0.8 + 0.4 * random.next());
  for (let i = 0; i < streams; i++) {
    pace.noteFirstEvent(12_000, addNoise(12_000 / model.readPerMs));
    pace.noteGap(0, 20, addNoise(model.quietGapMs));
    pace.noteGap(500_000, 20, addNoise(model.busyGapMs));
  }
}

describe("routing", () => {
  describe("engine pace", () => {
    for (const model of MODELS) {
      it(`is learned for engines that read ${model.readPerMs} tokens per ms`, (t) => {
        const pace = new EnginePace();
        feedStreams(pace, model, 1_000);
        const readMs = 12_000 / model.readPerMs;
        t.true(Math.abs(pace.readMs(12_000) / readMs - 1) < 0.15);
        t.true(Math.abs(pace.maxGapMs(0) / model.quietGapMs - 1) < 0.15);
        t.true(Math.abs(pace.maxGapMs(1e6) / model.busyGapMs - 1) < 0.3);
      });
    }

    it("follows engines that become half as fast", (t) => {
      const pace = new EnginePace();
      feedStreams(pace, MODELS[1], 200);
      const halfSpeed = { readPerMs: 31, quietGapMs: 90, busyGapMs: 1_100 };
      feedStreams(pace, halfSpeed, 200);
      t.true(Math.abs(pace.readMs(31_000) / 1_000 - 1) < 0.15);
      t.true(pace.maxGapMs(1e6) > 900);
    });

    // One engine hangs, and another reports at once that it has read a prompt that it had cached. Neither shows the
    // speed of the service's engines.
    it("ignores samples of an engine that stops or misreports", (t) => {
      const pace = new EnginePace();
      feedStreams(pace, MODELS[1], 200);
      const before = pace.maxGapMs(20_000);
      for (let i = 0; i < 50; i++) {
        pace.noteFirstEvent(12_000, 1);
        pace.noteFirstEvent(12_000, 30_000);
        pace.noteGap(0, 20, 5_000);
      }
      t.true(Math.abs(pace.maxGapMs(20_000) / before - 1) < 0.01);
    });

    it("estimates the number of running requests at which events have a given gap", (t) => {
      const pace = new EnginePace();
      const random = new Random(3);
      for (let i = 0; i < 400; i++) {
        const running = 5 + random.int(50);
        pace.noteGap(0, running, 25 + 0.3 * running);
      }
      t.true(
        Math.abs(pace.runningAtGap(37) - 40) < 6,
        `${pace.runningAtGap(37)}`,
      );
    });

    it("predicts a gap that grows with the tokens to read, up to the gap of an engine that reads without a break", (t) => {
      const pace = new EnginePace();
      feedStreams(pace, MODELS[1], 200);
      const pauses = [0, 4_000, 12_000, 24_000, 100_000].map((tokens) =>
        pace.maxGapMs(tokens)
      );
      t.deepEqual(pauses, [...pauses].sort((a, b) => a - b));
      t.is(pace.maxGapMs(100_000), pace.maxGapMs(1_000_000));
    });
  });
});
