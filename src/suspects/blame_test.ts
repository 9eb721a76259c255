import { describe, it } from "../base/describe.ts";
import { CrashHistory, findBlame, type SuspectStatus } from "./mod.ts";

const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;

/** A history in which requests crash upstreams one after the other, each a second after the last. */
class Story {
  readonly history = new CrashHistory();
  nowMs = 0;
  #crashes = 0;

  /** An upstream crashes under these requests, each named by its parts; the first one ran as a trial if `isTrial`. */
  crash(requests: readonly (readonly string[])[], isTrial = false): this {
    this.nowMs += SECOND_MS;
    const upstream = `u${this.#crashes++}`;
    for (const [index, parts] of requests.entries()) {
      const request = `r${upstream}${index}`;
      const trialRequest = isTrial && index === 0 ? request : undefined;
      for (const trait of [request, ...parts]) {
        this.history
          .noteCrash(trait, upstream, this.nowMs, this.nowMs, trialRequest);
      }
    }
    return this;
  }

  /** A request with these parts lives on that began `beganAgoMs` ago. */
  live(parts: readonly string[], beganAgoMs = 0): this {
    for (const part of parts) {
      this.history.clear(part, this.nowMs, this.nowMs - beganAgoMs);
    }
    return this;
  }

  statusOf(...parts: string[]): SuspectStatus {
    return findBlame(this.history, ["r", ...parts], this.nowMs).status;
  }

  retryAfterMs(...parts: string[]): number {
    return findBlame(this.history, ["r", ...parts], this.nowMs).retryAfterMs;
  }
}

describe("suspects", () => {
  describe("the blame for crashes", () => {
    it("does not fall on a part after one crash", (t) => {
      const story = new Story().crash([["pa", "pd"]]);
      t.is(story.statusOf("pa", "pd"), "clear");
    });

    it("falls on what has all parts of two crashes, and not on what lacks one of them", (t) => {
      const story = new Story().crash([["pa", "pd"]]).crash([["pa", "pd"]]);
      t.is(story.statusOf("pa", "pd", "px"), "onTrial");
      t.is(story.statusOf("pa"), "clear");
      t.is(story.statusOf("pd"), "clear");
    });

    it("is not taken off a part by a run that began before the crash", (t) => {
      const story = new Story().crash([["pd"]]).crash([["pd"]]);
      t.is(story.live(["pd"], 500).statusOf("pd"), "clear");
      t.is(story.crash([["pd"]]).statusOf("pd"), "onTrial");
      t.is(story.live(["pd"]).statusOf("pd"), "clear");
    });

    it("rejects what has all suspected parts of a trial that crashed, and lets others show which it was", (t) => {
      const story = new Story().crash([["pa", "pd"]]).crash([["pa", "pd"]])
        .crash([["pa", "pd"]], true);
      t.is(story.statusOf("pa", "pd"), "rejected");
      t.is(story.statusOf("pa"), "clear");
      story.live(["pa"]);
      t.is(story.statusOf("pd"), "rejected");
      t.is(story.statusOf("pa"), "clear");
    });

    it("stays on a part that crashes upstreams without the other one too", (t) => {
      const story = new Story().crash([["pa", "pd"]]).crash([["pa", "pd"]])
        .crash([["pd"]]);
      t.is(story.statusOf("pd"), "onTrial");
      t.is(story.statusOf("pa"), "clear");
    });

    it("finds two parts that crash upstreams, each in requests of its own", (t) => {
      const story = new Story();
      for (let i = 0; i < 2; i++) story.crash([["pa", "pd"]]).crash([["pe"]]);
      story.crash([["pa", "pd"]], true).crash([["pe"]], true);
      t.is(story.statusOf("pa", "pd"), "rejected");
      t.is(story.statusOf("pe"), "rejected");
      story.live(["pa"]);
      t.is(story.statusOf("pa"), "clear");
      t.is(story.statusOf("pd"), "rejected");
    });

    it("does not fall on the parts of a request that crashes upstreams as a whole", (t) => {
      const story = new Story();
      for (let i = 0; i < 4; i++) {
        story.nowMs += SECOND_MS;
        for (const trait of ["whole", "pa", "pb"]) {
          story.history.noteCrash(
            trait,
            `u${i}`,
            story.nowMs,
            story.nowMs,
            i === 3 ? "whole" : undefined,
          );
        }
      }
      const { history, nowMs } = story;
      t.is(
        findBlame(history, ["whole", "pa", "pb"], nowMs).status,
        "rejected",
      );
      t.is(story.statusOf("pa", "pb"), "clear");
    });

    it("does not fall on a part that only one request had, which crashed two upstreams", (t) => {
      const { history } = new Story();
      for (const upstream of ["u1", "u2"]) {
        for (const trait of ["whole", "pa"]) {
          history.noteCrash(trait, upstream, 0, 0);
        }
      }
      t.is(findBlame(history, ["whole", "pa"], 0).status, "suspected");
      t.is(findBlame(history, ["another", "pa"], 0).status, "clear");
    });

    it("does not fall on a sound trial beside a request with the part", (t) => {
      const story = new Story().crash([["pa", "pd"]]).crash([["pa", "pd"]])
        .crash([["pa", "pb"], ["pd"]], true);
      t.is(story.statusOf("pa", "pb"), "clear");
    });

    it("lets one more trial take place after 30 s, then after 5 minutes, then after a day", (t) => {
      const story = new Story().crash([["pd"]]).crash([["pd"]]);
      for (const delayMs of [30 * SECOND_MS, 5 * MINUTE_MS]) {
        t.is(story.statusOf("pd"), "onTrial");
        story.crash([["pd"]], true);
        t.is(story.retryAfterMs("pd"), delayMs);
        story.nowMs += delayMs - SECOND_MS;
        t.is(story.statusOf("pd"), "rejected");
        story.nowMs += SECOND_MS;
      }
      story.crash([["pd"]], true);
      story.nowMs += 20 * 60 * MINUTE_MS;
      t.is(story.statusOf("pd"), "rejected");
    });

    it("is taken off a part whose program was mended, by one run", (t) => {
      const story = new Story().crash([["pd"]]).crash([["pd"]])
        .crash([["pd"]], true);
      t.is(story.statusOf("pd"), "rejected");
      t.is(story.live(["pd"]).statusOf("pd"), "clear");
    });

    it("stays through a flood of 50,000 other parts", (t) => {
      const story = new Story().crash([["pd"]]).crash([["pd"]])
        .crash([["pd"]], true);
      for (let i = 0; i < 500; i++) {
        story.history.merge(
          Array.from(
            { length: 100 },
            (_, at) => [`pf${i}-${at}`, `v${i}`, 0, false] as const,
          ),
          story.nowMs,
        );
      }
      t.is(story.statusOf("pd"), "rejected");
      t.true(story.history.size <= 4_096 + 256);
    });
  });
});
