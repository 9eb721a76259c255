import { describe, it } from "../base/describe.ts";
import { hash32 } from "../base/mod.ts";
import { EnginePace, selectMoveTarget, type StepCandidate } from "./mod.ts";

const pace = new EnginePace();
for (let i = 0; i < 50; i++) pace.noteGap(500_000, 20, 900);

function engine(
  key: string,
  overrides: Partial<StepCandidate> = {},
): StepCandidate {
  return {
    key,
    hash: hash32(key),
    preference: 0,
    running: 10,
    waitingTokens: 0,
    slots: 64,
    unreadTokens: 0,
    isDoubtful: false,
    suspectCount: 0,
    isAside: false,
    isWithinColdRate: true,
    restLeftMs: 0,
    ...overrides,
  };
}

const slowStream = { waitingTokens: 60_000, eventsLeft: 30, eventGapMs: 600 };

describe("routing", () => {
  // Reading a prompt of 60,000 tokens takes a second. During that time every stream beside it has gaps that are longer
  // than allowed.
  describe("moving a stream", () => {
    it("goes from an engine that reads a long prompt to one that does not", (t) => {
      t.is(
        selectMoveTarget(slowStream, [engine("calm")], pace, 0)?.key,
        "calm",
      );
    });

    const stayCases: [string, Partial<typeof slowStream>, StepCandidate[]][] = [
      ["the engine reads nothing", { waitingTokens: 0 }, [engine("calm")]],
      ["the engine reads a short prompt", { waitingTokens: 2_000 }, [
        engine("calm"),
      ]],
      ["the stream is about to end", { eventsLeft: 2 }, [engine("calm")]],
      ["gaps are not limited", { eventGapMs: 0 }, [engine("calm")]],
      ["the other engines read as well", {}, [
        engine("busy", { waitingTokens: 60_000 }),
      ]],
      ["the other engines are full", {}, [engine("full", { running: 60 })]],
      ["the other engines fail or are cold", {}, [
        engine("failing", { isDoubtful: true }),
        engine("lost", { isAside: true }),
        engine("cold", { isWithinColdRate: false }),
      ]],
    ];
    for (const [when, stream, others] of stayCases) {
      it(`does not happen when ${when}`, (t) => {
        t.is(
          selectMoveTarget({ ...slowStream, ...stream }, others, pace, 0),
          undefined,
        );
      });
    }

    // These engines read without a break and their streams still keep within the allowed gap, so a move would only cost
    // time.
    it("does not happen at engines whose streams never exceed the allowed gap", (t) => {
      const fastPace = new EnginePace();
      for (let i = 0; i < 500; i++) fastPace.noteGap(500_000, 20, 290);
      const stream = { ...slowStream, eventGapMs: 300 };
      t.is(selectMoveTarget(stream, [engine("calm")], fastPace, 0), undefined);
    });

    // Forty streams leave one engine at the same moment. No load report shows yet where the first of them went.
    it("spreads the streams of one engine over the less loaded half of the others", (t) => {
      const others = [3, 5, 8, 30, 40].map((running) =>
        engine(`e${running}`, { running })
      );
      const used = new Set(
        Array.from(
          { length: 40 },
          (_, i) =>
            selectMoveTarget(slowStream, [...others], pace, i / 40)?.key,
        ),
      );
      t.deepEqual([...used].sort(), ["e3", "e5", "e8"]);
    });
  });
});
