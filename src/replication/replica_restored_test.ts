import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import type { Entry } from "../adapters/mod.ts";
import { createWorld, type World } from "../../test/replica_world.ts";
import { type ChangeCause, Replica } from "./replica.ts";

const VMS = 4;

/** A replica of one entry at revision 9, and what it reports since. */
function createHeld() {
  const reports: [what: string, key: string, cause: ChangeCause][] = [];
  const replica = new Replica({
    contentOf: ({ value }) => value,
    onPut: ({ key }, cause) => void reports.push(["put", key, cause]),
    onDelete: (key, cause) => void reports.push(["delete", key, cause]),
  });
  const held: Entry = { key: "a", value: "ready", rev: 9 };
  replica.applyListing({ entries: [held], rev: 9, more: false, generation: 1 });
  reports.length = 0;
  return { replica, reports };
}

const later: Entry = { key: "b", value: "ready", rev: 4 };
const laterListing = { entries: [later], rev: 5, more: false, generation: 2 };

describe("replica", () => {
  describe("of a store that came back from an older copy", () => {
    it("takes its listing although the revision is lower, and tells why", (t) => {
      const { replica, reports } = createHeld();
      replica.applyListing(laterListing);
      const { rev, generation } = replica.state;
      t.deepEqual([generation, rev], [2, 5]);
      t.deepEqual(reports, [
        ["delete", "a", "restored"],
        ["put", "b", "restored"],
      ]);
    });

    it("leaves out answers of before that arrive later", (t) => {
      const { replica, reports } = createHeld();
      replica.applyListing(laterListing);
      reports.length = 0;
      const entries = [{ key: "a", value: "ready", rev: 12 }];
      replica.applyListing({ entries, rev: 12, more: false, generation: 1 });
      replica.applyChanges([{ type: "delete", key: "b", rev: 13 }], 13, 1);
      t.deepEqual(reports, []);
      t.is(replica.rev, 5);
    });

    it("takes no changes of the later generation before a listing", (t) => {
      const { replica, reports } = createHeld();
      replica.applyChanges([{ type: "put", entry: later }], 12, 2);
      t.deepEqual(reports, []);
      t.deepEqual(replica.state.generation, 1);
    });

    it("takes no changes that it asked for before, by a revision of that time", (t) => {
      const { replica } = createHeld();
      replica.applyListing(laterListing);
      replica.applyChanges([], 12, 2, 1);
      t.is(replica.rev, 5);
    });

    it("does not take another VM's earlier generation for newer", (t) => {
      const before = createHeld().replica;
      const { replica } = createHeld();
      replica.applyListing(laterListing);
      t.false(replica.isBehind(before.state));
      t.true(before.isBehind(replica.state));
      t.is(replica.adopt(before.newsFor(replica.newsRequest)), "stale");
    });

    it("without a generation leaves a lower revision out, as before", (t) => {
      const { replica, reports } = createHeld();
      replica.applyListing({ entries: [], rev: 5, more: false });
      t.deepEqual(reports, []);
    });

    it("takes a change of an entry that was not sent again as it was the same", (t) => {
      const { replica: first } = createHeld();
      const { replica: second, reports } = createHeld();
      const same: Entry = { key: "a", value: "ready", rev: 3 };
      first.applyListing({ ...laterListing, entries: [same, later] });
      const ask = () => second.adopt(first.newsFor(second.newsRequest));
      if (ask() === "differs") ask();
      reports.length = 0;
      const changed = { ...same, value: "draining", rev: 6 };
      second.applyChanges([{ type: "put", entry: changed }], 6, 2);
      t.deepEqual(reports, [["put", "a", "written"]]);
    });
  });

  describe("of a store that comes back from older copies at any time", () => {
    type Step = (world: World) => void;
    const vm = fc.nat(VMS - 1);
    const key = fc.constantFrom("a", "b", "c");
    const step: fc.Arbitrary<Step> = fc.oneof(
      key.map((k): Step => ({ store }) => store.put(k)),
      key.map((k): Step => ({ store }) => store.put(k, "draining")),
      key.map((k): Step => ({ store }) => store.delete(k)),
      fc.nat(4).map((n): Step => ({ store }) => store.restore(n)),
      fc.constant<Step>(({ store }) => store.compact()),
      fc.nat(1).map((i): Step => (w) => w.ask(w.readers[i])),
      fc.nat(1).map((i): Step => (w) => w.read(w.readers[i])),
      fc.tuple(vm, vm).map(([i, j]): Step => (w) => {
        if (w.sources(i).includes(j)) w.askVm(i, j);
      }),
      fc.tuple(vm, vm).map(([i, j]): Step => (w) => w.pull(i, j)),
      fc.nat(20).map((pick): Step => (w) => w.deliver(pick)),
      fc.nat(20).map((pick): Step => (w) => w.deliver(pick)),
      vm.map((i): Step => (w) => w.restart(i)),
    );

    it("is the store's on all VMs after the last change", (t) => {
      const history = fc.array(step, { minLength: 1, maxLength: 40 });
      fc.assert(
        fc.property(history, (run) => {
          const world = createWorld("upstreams", VMS, [0, 1], ["a", "b"]);
          for (const applyStep of run) applyStep(world);
          world.settle();
          return world.held.every((held) => held === String(world.store));
        }),
        { numRuns: 6_000, seed: 43 },
      );
      t.pass();
    });
  });
});
