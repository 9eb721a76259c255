import { describe, it } from "../base/describe.ts";
import { fuzzClaims, replay } from "../../test/fuzz_claims.ts";
import { BROKEN_VARIANTS } from "../../test/fuzz_claims_variants.ts";
import type { Step } from "../../test/fuzz_claims_world.ts";

/** Schedules that broke a rule in earlier versions, with the fault behind it. */
const regressions: readonly { readonly was: string; readonly steps: Step[] }[] =
  [
    {
      // The region restarted during an outage. A key with a recorded release was denied, although it was granted again
      // later and that grant was lost.
      was: "a released key was not answered as unknown after a lossy takeover",
      steps: [
        [3, 0, 5],
        [21, 0, 0],
        [0, 0, 0],
        [4, 0, 61],
        [5, 0, 0],
        [7, 25, 0],
        [7, 2, 0],
        [7, 0, 0],
        [20, 0, 0],
        [0, 0, 0],
        [17, 0, 29],
      ],
    },
    {
      // A witness took over and then restarted. The old owner, frozen meanwhile, assumed that it had ended without
      // taking over.
      was: "a replaced witness was dropped although it had taken over",
      steps: [
        [21, 0, 0],
        [19, 56, 0],
        [5, 0, 0],
        [19, 10, 0],
        [0, 0, 0],
        [20, 0, 0],
        [5, 0, 0],
        [4, 0, 1],
        [4, 16, 61],
      ],
    },
  ];

describe("claim shard", () => {
  describe("random schedules of faults", () => {
    /*
     * Callers claim, retry and look up keys while VMs crash, pause and stop, links and the store fail, and answers and
     * messages are lost, delayed or duplicated. No key may run twice, no key that ran may be denied, and no key may get
     * the answer of another.
     */
    for (const seed of [1, 2, 3, 4]) {
      it(`break no rule (seed ${seed})`, (t) => {
        t.deepEqual(fuzzClaims({ runs: 1000, seed }), {
          type: "held",
          runs: 1000,
        });
      });
    }
  });
  describe("schedules that once broke a rule", () => {
    for (const { was, steps } of regressions) {
      it(was, (t) => {
        t.deepEqual(replay(steps).violations, []);
      });
    }
  });
  describe("broken variants", () => {
    for (const [name, variant] of Object.entries(BROKEN_VARIANTS)) {
      it(`the checker finds: ${name}`, (t) => {
        const result = fuzzClaims(
          { runs: 4000, seed: 1, skipShrinking: true },
          variant,
        );
        t.is(result.type, "broken");
        if (result.type !== "broken") return;
        const again = replay(result.schedule, variant);
        t.deepEqual(again.violations, result.violations);
      });
    }
  });
});
