import { describe, it } from "../base/describe.ts";
import { UpstreamRest } from "./mod.ts";

const SLOTS = 10;

/** An upstream that asked for 3 s of rest at 1,000 ms. */
function openRest(): UpstreamRest {
  const rest = new UpstreamRest();
  rest.note(3_000, 1_000, 0);
  return rest;
}

describe("routing", () => {
  describe("the rest of an upstream", () => {
    it("keeps every request away until it is over", (t) => {
      const rest = openRest();
      t.is(rest.leftMs(0, SLOTS, 1_000), 3_000);
      t.is(rest.leftMs(0, SLOTS, 3_999), 1);
      t.is(rest.leftMs(0, SLOTS, 4_000), 0);
    });

    it("is extended by a longer one, and not shortened by a shorter one", (t) => {
      const rest = openRest();
      rest.note(500, 2_000, 0);
      t.is(rest.leftMs(0, SLOTS, 2_000), 2_000);
      rest.note(3_000, 2_000, 0);
      t.is(rest.leftMs(0, SLOTS, 2_000), 3_000);
    });

    it("ends a little later on each VM, by chance", (t) => {
      const rest = new UpstreamRest();
      t.is(rest.note(3_000, 0, 0.5), 3_150);
    });

    it("is followed by a ramp from one request to all slots", (t) => {
      const rest = openRest();
      const mostRunning = (nowMs: number) => {
        let running = 0;
        while (running < SLOTS && rest.leftMs(running, SLOTS, nowMs) === 0) {
          running++;
        }
        return running;
      };
      t.deepEqual([4_000, 4_300, 4_600, 5_000].map(mostRunning), [1, 3, 6, 10]);
    });

    it("of an hour ends after a minute, and of nothing at once", (t) => {
      const rest = new UpstreamRest();
      t.is(rest.note(3_600_000, 0, 0), 60_000);
      const none = new UpstreamRest();
      none.note(0, 0, 0);
      t.is(none.leftMs(SLOTS - 1, SLOTS, 0), 0);
    });

    it("with its ramp keeps the state of the upstream", (t) => {
      const rest = openRest();
      t.is(rest.rampEndMs, 5_000);
    });
  });
});
