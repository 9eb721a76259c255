// The tests run one after the other: each has a lab of 24 processes in one.
import { describe, itAlone as it } from "../src/base/describe.ts";
import {
  DEADLY_PART,
  openPartLab,
  type PartTraffic,
  playParts,
  USUAL_TRAFFIC,
} from "./prompt_part_lab.ts";

/** Requests that may reach upstreams after all VMs are informed of the fifth crash. */
const MAX_LATE = 3;
const TWO_REGIONS = ["north", "north", "north", "south", "south", "south"];
const PAGES = ["tools", "book", "page"];

const CASES: readonly (readonly [name: string, Partial<PartTraffic>])[] = [
  ["in the middle, one region", {}],
  ["in the middle, two regions", { regions: TWO_REGIONS }],
  ["always behind the same two, last but one", {
    deadlyParts: [["tools", "book", DEADLY_PART]],
  }],
  ["the first part", {
    deadlyParts: [[DEADLY_PART, "book"], [DEADLY_PART, "page"]],
    soundParts: [["tools", "book"], ["tools", "page"]],
  }],
  ["beside a part that hardly anyone else has", {
    deadlyParts: [["tools", "rare", DEADLY_PART, "book"]],
  }],
  ["beside parts that change", {
    deadlyParts: PAGES.map((part) => [DEADLY_PART, part]),
    soundParts: PAGES.map((part) => [part]),
  }],
  ["two of them in one prompt or in two", {
    deadlyParts: [
      ["tools", `${DEADLY_PART}2`],
      ["tools", DEADLY_PART, "book"],
      ["tools", DEADLY_PART, `${DEADLY_PART}2`],
    ],
  }],
  ["streams that can be resumed", { path: "/stream/" }],
  ["idempotent calls", { path: "/safe/" }],
  ["calls that run once", { path: "/once/" }],
  ["crash before the head, after 250 ms", {
    crashDelayMs: 250,
    fatalStart: "nothing",
  }],
  ["crash inside the first event, after 400 ms", {
    crashDelayMs: 400,
    fatalStart: "firstBytes",
  }],
  ["idempotent calls, crash before the head, after 40 ms, two regions", {
    path: "/safe/",
    crashDelayMs: 40,
    fatalStart: "nothing",
    regions: TWO_REGIONS,
  }],
  ["ten a second, two regions", { deadlyPerS: 10, regions: TWO_REGIONS }],
  ["one a second", { deadlyPerS: 1, forMs: 12_000 }],
  ["one VM", { regions: ["north"] }],
];

describe("gateway", () => {
  describe("a prompt part that crashes every upstream, in requests no two of which are alike", () => {
    for (const [name, changes] of CASES) {
      it(`reaches at most three after the fifth crash, and sound requests are served: ${name}`, async (t) => {
        const traffic = { ...USUAL_TRAFFIC, ...changes };
        const lab = await openPartLab(t, traffic);
        const { crashes, late, servedBefore, servedAfter } = await playParts(
          lab,
          traffic,
        );
        t.log(
          `${crashes} crashes, ${late} late, sound served ${
            servedBefore.toFixed(2)
          } before and ${servedAfter.toFixed(2)} after`,
        );
        t.true(late <= MAX_LATE, `${late} came late`);
        t.true(servedAfter >= servedBefore / 2, `${servedAfter} served`);
      });
    }
  });
});
