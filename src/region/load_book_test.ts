import { describe, it } from "../base/describe.ts";
import { LoadBook } from "./mod.ts";

describe("the load of a region", () => {
  // Two requests come within a millisecond. What the first one was told to use must count for the second.
  it("counts what was granted and not yet said", (t) => {
    const book = new LoadBook();
    book.grant("vm-1", 1, "engine", 900, 0);
    t.deepEqual(book.at("engine"), [1, 900]);
    book.note("vm-1", { load: { engine: [1, 900] }, asked: 1 }, 10);
    t.deepEqual(book.at("engine"), [1, 900]);
  });

  it("counts on what was granted after what the VM says was sent", (t) => {
    const book = new LoadBook();
    book.grant("vm-1", 1, "engine", 900, 0);
    book.grant("vm-1", 2, "engine", 100, 5);
    book.note("vm-1", { load: { engine: [1, 0] }, asked: 1 }, 10);
    t.deepEqual(book.at("engine"), [2, 100]);
  });

  // The answer to a question was lost, and the VM chose by itself: nobody will ever speak of the grant again.
  it("drops a grant that came to nothing", (t) => {
    const book = new LoadBook();
    book.grant("vm-1", 1, "engine", 900, 0);
    book.note("vm-1", { load: {}, asked: 0 }, 900);
    t.deepEqual(book.at("engine"), [1, 900]);
    book.note("vm-1", { load: {}, asked: 0 }, 1_100);
    t.deepEqual(book.at("engine"), [0, 0]);
    t.deepEqual(book.load, {});
  });

  it("sums over VMs, and forgets those that are gone", (t) => {
    const book = new LoadBook();
    book.note("vm-1", { load: { a: [2, 10], b: [1, 0] }, asked: 0 }, 0);
    book.note("vm-2", { load: { a: [3, 5] }, asked: 0 }, 0);
    t.deepEqual(book.at("a"), [5, 15]);
    book.note("vm-2", { load: { b: [1, 1] }, asked: 0 }, 0);
    t.deepEqual(book.load, { a: [2, 10], b: [2, 1] });
    book.keep((id) => id === "vm-1");
    t.deepEqual(book.load, { a: [2, 10], b: [1, 0] });
  });
});
