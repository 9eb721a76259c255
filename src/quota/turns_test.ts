import { describe, it } from "../base/describe.ts";
import { Turns } from "./turns.ts";

describe("turns", () => {
  const nameOf = (item: string) => item;

  it("come to every item as often", (t) => {
    const turns = new Turns();
    const items = ["a", "b", "c", "d", "e"];
    const told = Array.from({ length: 5 }, () => turns.next(items, 2, nameOf));
    t.deepEqual(told.flat().sort(), [...items, ...items].sort());
  });

  it("take all where there are few", (t) => {
    t.deepEqual(new Turns().next(["a", "b"], 2, nameOf), ["a", "b"]);
  });

  it("go on when the last one is gone", (t) => {
    const turns = new Turns();
    turns.next(["a", "b", "c"], 2, nameOf);
    t.is(turns.next(["a", "c", "d"], 2, nameOf).length, 2);
  });
});
