import fc from "fast-check";
import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { type News, Replica } from "./replica.ts";

function entry(key: string, rev: number, value = "state"): Entry {
  return { key, rev, value };
}

/** A replica, and the entries that it reported. */
function createVm(isRenewed: boolean) {
  const known = new Map<string, string>();
  const replica = new Replica({
    isNews: ({ key, value }) => known.get(key) !== value,
    isRenewed,
    onPut: ({ key, value }) => void known.set(key, value),
    onDelete: (key) => void known.delete(key),
  });
  return { replica, known };
}

type Vm = ReturnType<typeof createVm>;

function createListed(entries: Entry[], rev: number, isRenewed = false): Vm {
  const vm = createVm(isRenewed);
  vm.replica.applyListing({ entries, rev, more: false });
  return vm;
}

function sendNews(from: Vm, to: Vm): void {
  to.replica.adopt(from.replica.newsSince(to.replica.newsRev));
}

const put = (item: Entry): WatchEvent => ({ type: "put", entry: item });
const deletion = (key: string, rev: number): WatchEvent => ({
  type: "delete",
  key,
  rev,
});

describe("replica", () => {
  describe("a deletion reaches a VM that still holds the key", () => {
    it("if it came before the sender's first listing", (t) => {
      const behind = createListed([entry("a", 72), entry("b", 70)], 75);
      const sender = createListed([entry("b", 70)], 80);
      sender.replica.applyChanges([put(entry("c", 85))], 85);
      sendNews(sender, behind);
      t.deepEqual([...behind.known.keys()], ["b", "c"]);
    });

    it("if it fell into a gap of the sender's history", (t) => {
      const sender = createListed([entry("b", 8)], 10);
      const behind = createListed([entry("b", 8)], 10);
      behind.replica.applyChanges([put(entry("a", 12))], 13);
      sender.replica.applyListing({
        entries: [entry("b", 8)],
        rev: 20,
        more: false,
      });
      sender.replica.applyChanges([put(entry("c", 21))], 21);
      sendNews(sender, behind);
      t.deepEqual([...behind.known.keys()], ["b", "c"]);
    });

    it("if the sender learned it from another VM", (t) => {
      const first = createListed([], 10);
      const second = createListed([], 10);
      const behind = createListed([], 10);
      for (const { replica } of [first, behind]) {
        replica.applyChanges([put(entry("a", 12))], 12);
      }
      first.replica.applyChanges([deletion("a", 15)], 15);
      sendNews(first, second);
      sendNews(second, behind);
      t.deepEqual([...behind.known.keys()], []);
    });

    it("if the sender saw more deletions than it remembers", (t) => {
      const keys = Array.from({ length: 2_000 }, (_, i) => `k${i}`);
      const entries = keys.map((key, i) => entry(key, i + 1));
      const sender = createListed(entries, 3_000);
      const behind = createListed(entries, 3_000);
      for (const { replica } of [sender, behind]) {
        replica.applyChanges([put(entry("b", 3_001))], 3_001);
      }
      sender.replica.applyChanges(
        keys.map((key, i) => deletion(key, 3_002 + i)),
        6_000,
      );
      sendNews(sender, behind);
      t.deepEqual([...behind.known.keys()], ["b"]);
    });

    it("if neither the sender nor the VM that told it saw it", (t) => {
      const restarted = createListed([entry("b", 18)], 20);
      const sender = createListed([], 10);
      const behind = createListed([], 10);
      behind.replica.applyChanges([put(entry("a", 12))], 12);
      sendNews(restarted, sender);
      sendNews(sender, behind);
      t.deepEqual([...behind.known.keys()], ["b"]);
    });
  });

  // All VMs that saw the deletion restart before they passed it on. Without a correction the other VMs would hold the
  // key for good.
  it("of a restarted VM corrects one that still holds a deleted key", (t) => {
    const behind = createListed([entry("config", 90)], 95);
    behind.replica.applyChanges([put(entry("a", 100))], 100);
    const restarted = createListed([entry("config", 90)], 160);
    t.true(behind.replica.announcedRev > restarted.replica.announcedRev);
    sendNews(behind, restarted);
    t.deepEqual([...restarted.known.keys()], ["config"]);
    t.true(restarted.replica.announcedRev > behind.replica.announcedRev);
    sendNews(restarted, behind);
    t.deepEqual([...behind.known.keys()], ["config"]);
  });

  it("announces what it has listed, unless entries are renewed regularly", (t) => {
    t.is(createListed([entry("a", 70)], 80).replica.announcedRev, 70);
    t.is(createListed([entry("a", 70)], 80, true).replica.announcedRev, 1);
  });

  describe("with answers and news in any order", () => {
    const KEYS = ["a", "b", "c"];
    const VMS = 4;

    /** A store, VMs that follow it, and answers that are in flight. */
    class World {
      readonly vms: Vm[];
      readonly #isRenewed: boolean;
      readonly #events: WatchEvent[] = [];
      readonly #inFlight: (() => void)[] = [];
      #rev = 1;
      #forgottenRev = 0;

      constructor(isRenewed: boolean) {
        this.#isRenewed = isRenewed;
        this.vms = Array.from({ length: VMS }, () => createVm(isRenewed));
      }

      write(key: string, value: string | undefined): void {
        this.#rev++;
        if (value !== undefined) {
          this.#events.push(put(entry(key, this.#rev, value)));
        } else if (this.at(this.#rev).has(key)) {
          this.#events.push(deletion(key, this.#rev));
        }
      }

      compact(): void {
        this.#forgottenRev = this.#rev;
      }

      restart(vm: number): void {
        this.vms[vm] = createVm(this.#isRenewed);
      }

      /** The entries as they were at a revision. */
      at(rev: number): Map<string, Entry> {
        const state = new Map<string, Entry>();
        for (const event of this.#events) {
          if (event.type === "put" && event.entry.rev <= rev) {
            state.set(event.entry.key, event.entry);
          } else if (event.type === "delete" && event.rev <= rev) {
            state.delete(event.key);
          }
        }
        return state;
      }

      /** Asks the store; the answer holds the current state and is in flight. */
      ask(index: number, isList: boolean): void {
        const vm = this.vms[index];
        const rev = this.#rev;
        const sinceRev = vm.replica.rev;
        if (isList || sinceRev < Math.max(1, this.#forgottenRev)) {
          const entries = [...this.at(rev).values()];
          const listing: Listing = { entries, rev, more: false };
          this.#inFlight.push(() => vm.replica.applyListing(listing));
          return;
        }
        const events = this.#events.filter((event) =>
          event.type !== "lost" &&
          (event.type === "put" ? event.entry.rev : event.rev) > sinceRev
        );
        this.#inFlight.push(() => vm.replica.applyChanges(events, rev));
      }

      /** Asks another VM; the answer holds its current state and is in flight. */
      askVm(index: number, sender: number): void {
        const vm = this.vms[index];
        const since = vm.replica.newsRev;
        const news: News = this.vms[sender].replica.newsSince(since);
        this.#inFlight.push(() => vm.replica.adopt(news));
      }

      deliver(pick: number): void {
        if (this.#inFlight.length === 0) return;
        const [answer] = this.#inFlight.splice(
          pick % this.#inFlight.length,
          1,
        );
        answer();
      }

      /** Delivers all answers, lets one VM poll the store, and lets each VM ask those that announce newer news. */
      settle(): void {
        while (this.#inFlight.length > 0) this.deliver(0);
        this.ask(0, false);
        this.deliver(0);
        for (let round = 0; round < 2 * VMS; round++) {
          for (let i = 0; i < VMS; i++) {
            for (let j = 0; j < VMS; j++) {
              const { newsRev } = this.vms[i].replica;
              if (this.vms[j].replica.announcedRev <= newsRev) continue;
              this.askVm(i, j);
              this.deliver(0);
            }
          }
        }
      }

      /** Index of a VM whose entries differ from the store's at its revision; -1 if there is none. */
      findMismatch(): number {
        return this.vms.findIndex(({ replica, known }) => {
          const state = this.at(replica.rev);
          return known.size !== state.size ||
            [...state.values()].some(({ key, value }) =>
              known.get(key) !== value
            );
        });
      }
    }

    type Step = (world: World) => void;
    const vm = fc.nat(VMS - 1);
    const key = fc.constantFrom(...KEYS);
    const value = fc.constantFrom("x", "y", undefined);
    const step: fc.Arbitrary<Step> = fc.oneof(
      fc.tuple(key, value).map(([k, v]): Step => (w) => w.write(k, v)),
      fc.tuple(vm, fc.boolean()).map(([i, list]): Step => (w) =>
        w.ask(i, list)
      ),
      fc.tuple(vm, vm).map(([i, j]): Step => (w) => w.askVm(i, j)),
      fc.nat(20).map((pick): Step => (w) => w.deliver(pick)),
      fc.nat(20).map((pick): Step => (w) => w.deliver(pick)),
      vm.map((i): Step => (w) => w.restart(i)),
      fc.constant<Step>((w) => w.compact()),
    );
    const run = fc.record({
      isRenewed: fc.boolean(),
      steps: fc.array(step, { minLength: 1, maxLength: 60 }),
    });

    it("holds the store's state at its revision, and never goes back", (t) => {
      fc.assert(
        fc.property(run, ({ isRenewed, steps }) => {
          const world = new World(isRenewed);
          for (const applyStep of steps) {
            const before = world.vms.map(({ replica }) => ({
              replica,
              rev: replica.rev,
            }));
            applyStep(world);
            if (world.findMismatch() >= 0) return false;
            for (const { replica, rev } of before) {
              if (replica.rev < rev) return false;
            }
          }
          return true;
        }),
        { numRuns: 3_000 },
      );
      t.pass();
    });

    it("is the same on all VMs after the next news", (t) => {
      fc.assert(
        fc.property(run, ({ isRenewed, steps }) => {
          const world = new World(isRenewed);
          for (const applyStep of steps) applyStep(world);
          world.settle();
          world.write("news", "z");
          world.settle();
          const [first] = world.vms;
          return world.findMismatch() < 0 &&
            world.vms.every(({ known }) =>
              known.size === first.known.size &&
              [...first.known].every(([k, v]) => known.get(k) === v)
            );
        }),
        { numRuns: 3_000 },
      );
      t.pass();
    });
  });
});
