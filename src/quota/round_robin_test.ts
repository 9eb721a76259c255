import { describe, it } from "../base/describe.ts";
import { RoundRobin } from "./round_robin.ts";

describe("round robin", () => {
  const nameOf = (item: string) => item;

  it("selects every item equally often", (t) => {
    const roundRobin = new RoundRobin();
    const items = ["a", "b", "c", "d", "e"];
    const batches = Array.from(
      { length: 5 },
      () => roundRobin.next(items, 2, nameOf),
    );
    t.deepEqual(batches.flat().sort(), [...items, ...items].sort());
  });

  it("selects all items if they fit", (t) => {
    t.deepEqual(new RoundRobin().next(["a", "b"], 2, nameOf), ["a", "b"]);
  });

  it("selects none if there is no room", (t) => {
    t.deepEqual(new RoundRobin().next(["a"], 0, nameOf), []);
  });

  it("continues when the last selected item is gone", (t) => {
    const roundRobin = new RoundRobin();
    roundRobin.next(["a", "b", "c"], 2, nameOf);
    t.is(roundRobin.next(["a", "c", "d"], 2, nameOf).length, 2);
  });
});
