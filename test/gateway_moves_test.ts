import { describe, it } from "../src/base/describe.ts";
import { formatStream } from "../src/standins/mod.ts";
import { MOVED_STREAM_EVENTS, playMove } from "./moving_lab.ts";

const WHOLE = formatStream(0, MOVED_STREAM_EVENTS);

describe("gateway, a stream that moves", () => {
  it("is not framed as complete where its engine closes it in order after a whole event", async (t) => {
    const { answer, idle } = await playMove(t, "connection", "whole");
    t.is(idle.requests.length, 1);
    t.true(answer.isComplete);
    t.is(answer.body, WHOLE);
  });

  for (const skippedEvents of [-2, -1, 1]) {
    it(`ends openly where its new engine goes on ${skippedEvents} events after the next one`, async (t) => {
      const { answer, idle } = await playMove(t, "connection", "whole", {
        skippedEvents,
      });
      t.is(idle.requests.length, 1);
      t.false(answer.isComplete);
      const last = Number(idle.requests[0].lastEventId);
      t.is(answer.body, formatStream(0, last));
    });
  }

  it("does not move where no retry is left", async (t) => {
    const { answer, idle } = await playMove(t, "connection", "whole", {
      bounds: { repeatRatio: 0, repeatSlack: 0 },
      deadlineMs: 6_000,
    });
    t.is(idle.requests.length, 0);
    t.is(answer.body, WHOLE);
  });

  for (
    const [framing, move] of [
      ["connection", "cut"],
      ["connection", "never"],
      ["chunks", "whole"],
    ] as const
  ) {
    it(`is not framed as complete where it is framed by ${framing} and the answer to the move is ${move}`, async (t) => {
      const { answer } = await playMove(t, framing, move);
      t.is(answer.isComplete, answer.body === WHOLE);
    });
  }
});
