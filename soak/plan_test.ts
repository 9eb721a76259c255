import { describe, it } from "../src/base/describe.ts";
import { drawPlan, type Fault } from "./plan.ts";

const SEEDS = 50;
const OPTIONS = { vms: 6, runners: 8, domains: 2, faultsMs: 10_000 };
const OWN_KINDS = new Set(["silence", "killRegion", "lapseOutage", "evacuate"]);

/** The faults as sorted texts, since faults of one moment may be in any order. */
function formatSorted(faults: readonly Fault[]): string[] {
  return faults.map((fault) => JSON.stringify(fault)).sort();
}

describe("a soak's plan", () => {
  it("keeps a seed's other faults when lapses come beside them", (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      for (const crashes of ["none", "beside"] as const) {
        const options = { ...OPTIONS, crashes };
        const others = drawPlan(seed, options);
        const lapses = drawPlan(seed, { ...OPTIONS, lapses: "only" });
        const both = drawPlan(seed, { ...options, lapses: "beside" });
        t.deepEqual(formatSorted(both), formatSorted([...others, ...lapses]));
        t.true(lapses.every(({ kind }) => OWN_KINDS.has(kind)));
      }
    }
  });

  it("kills all VMs of one region, or all but one", (t) => {
    const killed = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      for (const fault of drawPlan(seed, { ...OPTIONS, lapses: "only" })) {
        if (fault.kind === "killRegion") killed.add(fault.vms.join());
      }
    }
    const north = ["0,2", "0,2,4", "0,4", "2,4"];
    const south = ["1,3", "1,3,5", "1,5", "3,5"];
    t.deepEqual([...killed].sort(), [...north, ...south].sort());
  });
});
