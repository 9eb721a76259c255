import fc from "fast-check";
import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { type News, Replica } from "./replica.ts";

function entry(key: string, rev: number, value = "state"): Entry {
  return { key, rev, value };
}

/** A replica, and the entries that it reported; if they are renewed, a put of the same value is no change. */
function createVm(isRenewed: boolean) {
  const known = new Map<string, string>();
  const replica = new Replica({
    contentOf: ({ value, rev }) => isRenewed ? value : String(rev),
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

/** Lets a VM ask another one, again if the first answer does not suffice. */
function sendNews(from: Vm, to: Vm): void {
  const ask = () =>
    to.replica.adopt(from.replica.newsFor(to.replica.newsRequest));
  if (ask() === "differs") ask();
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

  describe("heals a VM that holds what the store does not", () => {
    it("if all VMs that saw the deletion restart before they pass it on", (t) => {
      const behind = createListed([entry("config", 90)], 95);
      behind.replica.applyChanges([put(entry("a", 100))], 100);
      const restarted = createListed([entry("config", 90)], 160);
      t.false(restarted.replica.isBehind(behind.replica.state));
      t.true(behind.replica.isBehind(restarted.replica.state));
      sendNews(behind, restarted);
      t.deepEqual([...restarted.known.keys()], ["config"]);
      sendNews(restarted, behind);
      t.deepEqual([...behind.known.keys()], ["config"]);
    });

    it("if the restarted VMs' latest news is not older than its own", (t) => {
      const behind = createListed([entry("a", 100)], 100);
      behind.replica.applyChanges([put(entry("config", 120))], 120);
      const restarted = createListed([entry("config", 120)], 130);
      t.true(behind.replica.isBehind(restarted.replica.state));
      sendNews(restarted, behind);
      t.deepEqual([...behind.known.keys()], ["config"]);
    });

    it("if an entry lapsed and came back unchanged, and the deletion reached only some", (t) => {
      const vms = [0, 1].map(() => createListed([entry("k", 2)], 3, true));
      const [told, teller] = vms;
      told.replica.applyChanges([deletion("k", 4)], 4);
      teller.replica.applyListing({
        entries: [entry("k", 5)],
        rev: 5,
        more: false,
      });
      t.true(told.replica.isBehind(teller.replica.state));
      sendNews(teller, told);
      t.deepEqual([...told.known.keys()], ["k"]);
      t.is(told.replica.state.digest, teller.replica.state.digest);
    });
  });

  describe("sends nothing", () => {
    it("of entries that were only renewed, whoever read them", (t) => {
      const reader = createListed([entry("a", 1), entry("b", 2)], 2, true);
      const other = createListed([entry("a", 1), entry("b", 2)], 2, true);
      reader.replica.applyChanges([put(entry("a", 3)), put(entry("b", 4))], 4);
      t.false(other.replica.isBehind(reader.replica.state));
      t.deepEqual(reader.replica.newsFor({ sinceRev: 2 }).entries, []);
    });

    it("of a deletion after which the key came back", (t) => {
      const { replica } = createListed([entry("a", 1)], 3);
      replica.applyChanges([deletion("a", 4), put(entry("a", 5))], 5);
      t.deepEqual(replica.newsFor({ sinceRev: 3 }).deleted, []);
    });

    it("after a restart that changed nothing", (t) => {
      const other = createListed([entry("a", 70)], 80, true);
      const restarted = createListed([entry("a", 85)], 90, true);
      t.false(other.replica.isBehind(restarted.replica.state));
    });
  });

  it("takes no news that lead to something else than the sender's entries", (t) => {
    const sender = createListed([entry("a", 1), entry("b", 2)], 5);
    const vm = createListed([entry("c", 3)], 4);
    const news = sender.replica.newsFor({ sinceRev: 5 });
    t.is(vm.replica.adopt(news), "differs");
    t.deepEqual([...vm.known.keys()], ["c"]);
    t.is(vm.replica.rev, 4);
    sendNews(sender, vm);
    t.deepEqual([...vm.known.keys()].sort(), ["a", "b"]);
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
        const request = vm.replica.newsRequest;
        const news: News = this.vms[sender].replica.newsFor(request);
        this.#inFlight.push(() => vm.replica.adopt(news));
      }

      /** Sends a VM's state to another one; it is in flight. */
      announce(index: number, sender: number): void {
        const vm = this.vms[index];
        const { state } = this.vms[sender].replica;
        this.#inFlight.push(() => vm.replica.noteState(state));
      }

      deliver(pick: number): void {
        if (this.#inFlight.length === 0) return;
        const [answer] = this.#inFlight.splice(
          pick % this.#inFlight.length,
          1,
        );
        answer();
      }

      /** Delivers all answers, lets one VM poll the store, and lets each VM ask those that are ahead. */
      settle(): void {
        while (this.#inFlight.length > 0) this.deliver(0);
        this.ask(0, false);
        this.deliver(0);
        for (let round = 0; round < 2 * VMS; round++) {
          for (let i = 0; i < VMS; i++) {
            for (let j = 0; j < VMS; j++) {
              const { state } = this.vms[j].replica;
              this.vms[i].replica.noteState(state);
              if (!this.vms[i].replica.isBehind(state)) continue;
              this.askVm(i, j);
              this.deliver(0);
            }
          }
        }
      }

      /** Index of a VM whose entries differ from the store's, at its own revision or now; -1 if there is none. */
      findMismatch(isNow = false): number {
        return this.vms.findIndex(({ replica, known }) => {
          const state = this.at(isNow ? this.#rev : replica.rev);
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
      fc.tuple(vm, vm).map(([i, j]): Step => (w) => w.announce(i, j)),
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

    it("is the store's on all VMs without any further change", (t) => {
      fc.assert(
        fc.property(run, ({ isRenewed, steps }) => {
          const world = new World(isRenewed);
          for (const applyStep of steps) applyStep(world);
          world.settle();
          return world.findMismatch(true) < 0;
        }),
        { numRuns: 3_000 },
      );
      t.pass();
    });
  });
});
