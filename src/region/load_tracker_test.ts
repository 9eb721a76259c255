import { describe, it } from "../base/describe.ts";
import { LoadTracker } from "./mod.ts";

describe("the load of a region", () => {
  // Two requests come within a millisecond. What the first one was told to use must count for the second.
  it("counts what was granted and not yet said", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    t.deepEqual(loads.at("engine"), [1, 900]);
    loads.update("vm-1", { load: { engine: [1, 900] }, asked: 1 }, 10);
    t.deepEqual(loads.at("engine"), [1, 900]);
  });

  it("counts on what was granted after what the VM says was sent", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    loads.grant("vm-1", 2, "engine", 100, 5);
    loads.update("vm-1", { load: { engine: [1, 0] }, asked: 1 }, 10);
    t.deepEqual(loads.at("engine"), [2, 100]);
  });

  // The answer to a question was lost, and the VM chose by itself: nobody will ever speak of the grant again.
  it("drops a grant that came to nothing", (t) => {
    const loads = new LoadTracker();
    loads.grant("vm-1", 1, "engine", 900, 0);
    loads.update("vm-1", { load: {}, asked: 0 }, 900);
    t.deepEqual(loads.at("engine"), [1, 900]);
    loads.update("vm-1", { load: {}, asked: 0 }, 1_100);
    t.deepEqual(loads.at("engine"), [0, 0]);
    t.deepEqual(loads.load, {});
  });

  it("sums over VMs, and forgets those that are gone", (t) => {
    const loads = new LoadTracker();
    loads.update("vm-1", { load: { a: [2, 10], b: [1, 0] }, asked: 0 }, 0);
    loads.update("vm-2", { load: { a: [3, 5] }, asked: 0 }, 0);
    t.deepEqual(loads.at("a"), [5, 15]);
    loads.update("vm-2", { load: { b: [1, 1] }, asked: 0 }, 0);
    t.deepEqual(loads.load, { a: [2, 10], b: [2, 1] });
    loads.retain((id) => id === "vm-1");
    t.deepEqual(loads.load, { a: [2, 10], b: [1, 0] });
  });
});
