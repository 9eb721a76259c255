import fc from "fast-check";
import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { type News, Replica } from "./replica.ts";

function entry(key: string, rev: number, value = "state"): Entry {
  return { key, rev, value };
}

/** A replica, and the keys that it believes in with their values. */
function open(isRenewed: boolean) {
  const believed = new Map<string, string>();
  const replica = new Replica({
    isNews: ({ key, value }) => believed.get(key) !== value,
    isRenewed,
    onPut: ({ key, value }) => void believed.set(key, value),
    onDelete: (key) => void believed.delete(key),
  });
  return { replica, believed };
}

type Vm = ReturnType<typeof open>;

function listed(entries: Entry[], rev: number, isRenewed = false): Vm {
  const vm = open(isRenewed);
  vm.replica.applyListing({ entries, rev, more: false });
  return vm;
}

function tell(from: Vm, to: Vm): void {
  to.replica.adopt(from.replica.newsSince(to.replica.newsRev));
}

const put = (item: Entry): WatchEvent => ({ type: "put", entry: item });
const gone = (key: string, rev: number): WatchEvent => ({
  type: "delete",
  key,
  rev,
});

describe("replica", () => {
  describe("an end that the teller never saw", () => {
    it("before its first listing reaches a VM that holds the key", (t) => {
      const behind = listed([entry("a", 72), entry("b", 70)], 75);
      const teller = listed([entry("b", 70)], 80);
      teller.replica.applyChanges([put(entry("c", 85))], 85);
      tell(teller, behind);
      t.deepEqual([...behind.believed.keys()], ["b", "c"]);
    });

    it("in a gap of its history reaches a VM that holds the key", (t) => {
      const teller = listed([entry("b", 8)], 10);
      const behind = listed([entry("b", 8)], 10);
      behind.replica.applyChanges([put(entry("a", 12))], 13);
      teller.replica.applyListing({
        entries: [entry("b", 8)],
        rev: 20,
        more: false,
      });
      teller.replica.applyChanges([put(entry("c", 21))], 21);
      tell(teller, behind);
      t.deepEqual([...behind.believed.keys()], ["b", "c"]);
    });

    it("but was told of reaches a VM that holds the key", (t) => {
      const first = listed([], 10);
      const second = listed([], 10);
      const behind = listed([], 10);
      for (const { replica } of [first, behind]) {
        replica.applyChanges([put(entry("a", 12))], 12);
      }
      first.replica.applyChanges([gone("a", 15)], 15);
      tell(first, second);
      tell(second, behind);
      t.deepEqual([...behind.believed.keys()], []);
    });

    it("and more ends than are remembered reach a VM that holds them", (t) => {
      const keys = Array.from({ length: 2_000 }, (_, i) => `k${i}`);
      const entries = keys.map((key, i) => entry(key, i + 1));
      const teller = listed(entries, 3_000);
      const behind = listed(entries, 3_000);
      for (const { replica } of [teller, behind]) {
        replica.applyChanges([put(entry("b", 3_001))], 3_001);
      }
      teller.replica.applyChanges(
        keys.map((key, i) => gone(key, 3_002 + i)),
        6_000,
      );
      tell(teller, behind);
      t.deepEqual([...behind.believed.keys()], ["b"]);
    });

    it("nor whoever told the teller reaches a VM that holds the key", (t) => {
      const restarted = listed([entry("b", 18)], 20);
      const teller = listed([], 10);
      const behind = listed([], 10);
      behind.replica.applyChanges([put(entry("a", 12))], 12);
      tell(restarted, teller);
      tell(teller, behind);
      t.deepEqual([...behind.believed.keys()], ["b"]);
    });
  });

  // All that saw the end restart before they told it. Without a correction the others hold the key for good.
  it("that restarts corrects a VM which still holds a key that ended", (t) => {
    const behind = listed([entry("config", 90)], 95);
    behind.replica.applyChanges([put(entry("a", 100))], 100);
    const restarted = listed([entry("config", 90)], 160);
    t.true(behind.replica.announcedRev > restarted.replica.announcedRev);
    tell(behind, restarted);
    t.deepEqual([...restarted.believed.keys()], ["config"]);
    t.true(restarted.replica.announcedRev > behind.replica.announcedRev);
    tell(restarted, behind);
    t.deepEqual([...behind.believed.keys()], ["config"]);
  });

  it("says what it has listed, unless entries are renewed all the time", (t) => {
    t.is(listed([entry("a", 70)], 80).replica.announcedRev, 70);
    t.is(listed([entry("a", 70)], 80, true).replica.announcedRev, 1);
  });

  describe("with answers and news in any order", () => {
    const KEYS = ["a", "b", "c"];
    const VMS = 4;

    /** A store, VMs that follow it, and answers that are still under way. */
    class World {
      readonly vms: Vm[];
      readonly #isRenewed: boolean;
      readonly #events: WatchEvent[] = [];
      readonly #underWay: (() => void)[] = [];
      #rev = 1;
      #forgottenRev = 0;

      constructor(isRenewed: boolean) {
        this.#isRenewed = isRenewed;
        this.vms = Array.from({ length: VMS }, () => open(isRenewed));
      }

      write(key: string, value: string | undefined): void {
        this.#rev++;
        if (value !== undefined) {
          this.#events.push(put(entry(key, this.#rev, value)));
        } else if (this.at(this.#rev).has(key)) {
          this.#events.push(gone(key, this.#rev));
        }
      }

      forget(): void {
        this.#forgottenRev = this.#rev;
      }

      restart(vm: number): void {
        this.vms[vm] = open(this.#isRenewed);
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

      /** Asks the store as of now; the answer is under way. */
      ask(index: number, isList: boolean): void {
        const vm = this.vms[index];
        const rev = this.#rev;
        const sinceRev = vm.replica.rev;
        if (isList || sinceRev < Math.max(1, this.#forgottenRev)) {
          const entries = [...this.at(rev).values()];
          const listing: Listing = { entries, rev, more: false };
          this.#underWay.push(() => vm.replica.applyListing(listing));
          return;
        }
        const events = this.#events.filter((event) =>
          event.type !== "lost" &&
          (event.type === "put" ? event.entry.rev : event.rev) > sinceRev
        );
        this.#underWay.push(() => vm.replica.applyChanges(events, rev));
      }

      /** Asks another VM as of now; the answer is under way. */
      askVm(index: number, teller: number): void {
        const vm = this.vms[index];
        const since = vm.replica.newsRev;
        const news: News = this.vms[teller].replica.newsSince(since);
        this.#underWay.push(() => vm.replica.adopt(news));
      }

      deliver(pick: number): void {
        if (this.#underWay.length === 0) return;
        const [answer] = this.#underWay.splice(
          pick % this.#underWay.length,
          1,
        );
        answer();
      }

      /** All answers arrive, one VM reads on, and the others ask whoever says that it knows more. */
      settle(): void {
        while (this.#underWay.length > 0) this.deliver(0);
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

      /** Index of a VM that believes anything else than what was so at its revision; -1 if none does. */
      wrong(): number {
        return this.vms.findIndex(({ replica, believed }) => {
          const state = this.at(replica.rev);
          return believed.size !== state.size ||
            [...state.values()].some(({ key, value }) =>
              believed.get(key) !== value
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
      fc.constant<Step>((w) => w.forget()),
    );
    const run = fc.record({
      isRenewed: fc.boolean(),
      steps: fc.array(step, { minLength: 1, maxLength: 60 }),
    });

    it("holds what was so at its revision, and never goes back", (t) => {
      fc.assert(
        fc.property(run, ({ isRenewed, steps }) => {
          const world = new World(isRenewed);
          for (const play of steps) {
            const before = world.vms.map(({ replica }) => ({
              replica,
              rev: replica.rev,
            }));
            play(world);
            if (world.wrong() >= 0) return false;
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

    it("is the same everywhere after the next news", (t) => {
      fc.assert(
        fc.property(run, ({ isRenewed, steps }) => {
          const world = new World(isRenewed);
          for (const play of steps) play(world);
          world.settle();
          world.write("news", "z");
          world.settle();
          const [first] = world.vms;
          return world.wrong() < 0 &&
            world.vms.every(({ believed }) =>
              believed.size === first.believed.size &&
              [...first.believed].every(([k, v]) => believed.get(k) === v)
            );
        }),
        { numRuns: 3_000 },
      );
      t.pass();
    });
  });
});
