import { describe, it } from "../src/base/describe.ts";
import type { Evidence } from "./judge.ts";
import { findPartBreaches } from "./judge_crashes.ts";

const PART = "deadly-1";
const FIRST_MS = 10_000;
/** Requests with the part come until then. */
const LAST_MS = 30_000;

function arrivalsAt(...timesMs: number[]) {
  return timesMs.map((arrivedMs, at) => ({
    arrivedMs,
    runnerId: `r${at}`,
    body: `parts tools ${PART} book id${at}`,
  }));
}

/** Sound requests of which a share is served before and after the part is known. */
function soundCalls(shareBefore: number, shareAfter: number) {
  return Array.from({ length: 300 }, (_, at) => {
    const sentMs = at * 100;
    const share = sentMs < FIRST_MS ? shareBefore : shareAfter;
    return {
      series: PART,
      isDeadly: false,
      sentMs,
      isServed: at % 10 < share * 10,
    };
  });
}

function findRules(more: Record<string, unknown>): string[] {
  const lastDeadly = {
    series: PART,
    isDeadly: true,
    sentMs: LAST_MS,
    isServed: false,
  };
  const evidence = {
    troubles: [],
    partArrivals: arrivalsAt(FIRST_MS),
    ...more,
    partCalls: [
      lastDeadly,
      ...(more.partCalls as unknown[] ?? soundCalls(1, 1)),
    ],
  } as unknown as Evidence;
  return findPartBreaches(evidence).map(({ rule }) => rule);
}

const FIVE = [1, 2, 3, 4, 5].map((at) => FIRST_MS + at * 100);
const LATE = [3_000, 4_000, 5_000, 6_000].map((ms) => FIRST_MS + ms);

describe("the soak's judge of parts that crash upstreams", () => {
  it("finds a part that reaches more than three upstreams once it must be known", (t) => {
    t.deepEqual(findRules({ partArrivals: arrivalsAt(...FIVE) }), []);
    const three = arrivalsAt(...FIVE, ...LATE.slice(1));
    t.deepEqual(findRules({ partArrivals: three }), []);
    const four = arrivalsAt(...FIVE, ...LATE);
    t.deepEqual(findRules({ partArrivals: four }), ["BUDGET"]);
  });

  it("counts requests that reach the same upstream before its crash as one", (t) => {
    const arrivals = arrivalsAt(...FIVE, ...LATE)
      .map((arrival) => ({ ...arrival, runnerId: "r" }));
    t.deepEqual(findRules({ partArrivals: arrivals.slice(0, 5) }), []);
  });

  it("gives VMs that were cut off the contact bound", (t) => {
    const partArrivals = arrivalsAt(...FIVE, ...LATE);
    const troubles = [{ who: "vm:1", fromMs: FIRST_MS, toMs: FIRST_MS + 500 }];
    t.deepEqual(findRules({ partArrivals, troubles }), []);
    const later = arrivalsAt(...FIVE, ...LATE.map((ms) => ms + 7_000));
    t.deepEqual(findRules({ partArrivals: later, troubles }), ["BUDGET"]);
  });

  it("finds sound requests that are served less than half as often as before", (t) => {
    t.deepEqual(findRules({ partCalls: soundCalls(1, 0.6) }), []);
    t.deepEqual(findRules({ partCalls: soundCalls(1, 0.4) }), ["LOST"]);
    const troubles = [{ who: "r9", fromMs: 15_000, toMs: 16_000 }];
    t.deepEqual(findRules({ partCalls: soundCalls(1, 0), troubles }), []);
  });
});
