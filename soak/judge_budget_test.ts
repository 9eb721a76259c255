import { describe, it } from "../src/base/describe.ts";
import {
  BUDGET,
  type BudgetEvidence,
  findBudgetBreaches,
} from "./judge_budget.ts";

const REQUESTS = 100;
const EVERY_MS = 100;
const ALLOWED = BUDGET.ratio * REQUESTS + BUDGET.slack;

/** A run of 10 s in which so many requests arrive at a second upstream, refused there or not. */
function evidenceOf(repeated: number, isRefused: boolean): BudgetEvidence {
  const times = Array.from({ length: REQUESTS }, (_, i) => i * EVERY_MS);
  const attempts = times.map((sentMs, i) => ({
    id: `a${i}`,
    kind: "once" as const,
    sentMs,
  }));
  const first = times.map((arrivedMs, i) => ({
    attemptId: `a${i}`,
    arrivedMs,
    service: "s",
  }));
  const second = first.slice(0, repeated);
  return {
    attempts,
    arrivals: isRefused ? first : [...first, ...second],
    refusals: isRefused
      ? second.map(({ attemptId, arrivedMs }) => ({
        attemptId,
        refusedMs: arrivedMs,
        runnerId: "i-1",
      }))
      : [],
    upstreams: [{ id: "i-1", service: "s" }],
    configs: [{ sinceMs: 0, plainService: "s" }],
  };
}

describe("the soak's judge of retries", () => {
  for (const isRefused of [false, true]) {
    const what = isRefused ? "refusals of upstreams" : "runs";
    it(`counts ${what} beyond the first arrival of their request`, (t) => {
      t.is(findBudgetBreaches(evidenceOf(ALLOWED, isRefused)).length, 0);
      const breaches = findBudgetBreaches(evidenceOf(ALLOWED + 1, isRefused));
      t.deepEqual(breaches.map(({ rule }) => rule), ["BUDGET"]);
    });
  }
});
