import { describe, it } from "../base/describe.ts";
import { LoadTracker, type Report } from "../region/mod.ts";
import { OtherLoads, type RegionLoads } from "./other_loads.ts";

const SELF = "vm-1";

/** What a VM knows of its region; without more it hears nobody. */
function regionOf(more: Partial<RegionLoads> = {}): RegionLoads {
  return {
    hearsAll: true,
    isLead: true,
    leads: [],
    loads: new LoadTracker(),
    announcedLoad: {},
    regionVmCount: 1,
    reporters: () => [],
    roster: () => undefined,
    ...more,
  };
}

/** The VMs that may send to a cold upstream, as a VM sees it that began 100 ms and then 10 s ago. */
function owners(more: Partial<RegionLoads>): readonly (readonly string[])[] {
  const loads = new OtherLoads(regionOf(more), SELF);
  loads.coldVmIds(0);
  return [100, 10_000].map((ms) => loads.coldVmIds(ms));
}

describe("the owner of a cold upstream's rate", () => {
  it("is no VM that has just started and may not have heard the others yet", (t) => {
    t.deepEqual(owners({}), [[], [SELF]]);
  });

  it("is no VM that has known others and hears none of them", (t) => {
    t.deepEqual(owners({ regionVmCount: 3 }), [[], []]);
  });

  it("is one of the VMs that hear each other, also just after a start", (t) => {
    const reporters = () => [{ id: "vm-2" } as Report];
    const ids = [SELF, "vm-2"];
    t.deepEqual(owners({ regionVmCount: 3, reporters }), [ids, ids]);
  });
});
