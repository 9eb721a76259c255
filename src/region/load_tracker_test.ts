import { describe, it } from "../base/describe.ts";
import { LoadTracker } from "./mod.ts";

describe("the load of a region", () => {
  // Two requests come within a millisecond. The grant to the first one must count when the second one is placed.
  it("includes grants that are not reported yet", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    t.deepEqual(loads.at("engine"), [1, 900]);
    loads.update("vm-1", { load: { engine: [1, 900] }, asked: 1 }, 10);
    t.deepEqual(loads.at("engine"), [1, 900]);
  });

  it("keeps grants that are newer than the VM's report", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    loads.grant("vm-1", 2, "engine", 100, 5);
    loads.update("vm-1", { load: { engine: [1, 0] }, asked: 1 }, 10);
    t.deepEqual(loads.at("engine"), [2, 100]);
  });

  // The answer with the grant was lost and the VM chose an upstream by itself, so no report will ever confirm the grant.
  it("drops a grant that was not used", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    loads.update("vm-1", { load: {}, asked: 0 }, 900);
    t.deepEqual(loads.at("engine"), [1, 900]);
    loads.update("vm-1", { load: {}, asked: 0 }, 1_100);
    t.deepEqual(loads.at("engine"), [0, 0]);
    t.deepEqual(loads.load, {});
  });

  // The VM started, asked and was lost before its first report, so nothing names it any more.
  it("drops the grants of a VM that was lost before it reported", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    loads.retain(() => false, 1_000);
    t.deepEqual(loads.at("engine"), [0, 0]);
    t.deepEqual(loads.load, {});
  });

  // A VM asks as soon as it serves, which may be before its first report arrives.
  it("includes grants to a VM that has just started", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    loads.retain(() => false, 999);
    t.deepEqual(loads.at("engine"), [1, 900]);
  });

  it("drops the newest grants of a VM that was lost after it reported", (t) => {
    const loads = new LoadTracker();
    loads.update("vm-1", { load: {}, asked: 0 }, 0);
    loads.grant("vm-1", 1, "engine", 900, 10);
    loads.retain(() => false, 20);
    t.deepEqual(loads.at("engine"), [0, 0]);
  });

  it("is the sum over all VMs, without those that are gone", (t) => {
    const loads = new LoadTracker();
    loads.update("vm-1", { load: { a: [2, 10], b: [1, 0] }, asked: 0 }, 0);
    loads.update("vm-2", { load: { a: [3, 5] }, asked: 0 }, 0);
    t.deepEqual(loads.at("a"), [5, 15]);
    loads.update("vm-2", { load: { b: [1, 1] }, asked: 0 }, 0);
    t.deepEqual(loads.load, { a: [2, 10], b: [2, 1] });
    loads.retain((id) => id === "vm-1", 0);
    t.deepEqual(loads.load, { a: [2, 10], b: [1, 0] });
  });
});
