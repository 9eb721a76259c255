import fc from "fast-check";
import type { Entry, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { Random } from "../base/mod.ts";
import { type News, Replica } from "./replica.ts";
import type { NewsTopic } from "./store_view.ts";

const SETTLE_ROUNDS = 30;

const revOf = (event: WatchEvent): number =>
  event.type === "put"
    ? event.entry.rev
    : event.type === "delete"
    ? event.rev
    : 0;

/** The store: its history, and how much of it is kept for polls. */
class Store {
  readonly #events: WatchEvent[] = [];
  rev = 1;
  #forgottenRev = 0;

  put(key: string, value = "ready"): void {
    this.rev++;
    this.#events.push({ type: "put", entry: { key, rev: this.rev, value } });
  }

  delete(key: string): void {
    if (!this.entries().some((entry) => entry.key === key)) return;
    this.rev++;
    this.#events.push({ type: "delete", key, rev: this.rev });
  }

  /** Drops the history, so that the next poll of each reader is refused and the reader lists. */
  compact(): void {
    this.#forgottenRev = this.rev;
  }

  entries(): Entry[] {
    const held = new Map<string, Entry>();
    for (const event of this.#events) {
      if (event.type === "put") held.set(event.entry.key, event.entry);
      else if (event.type === "delete") held.delete(event.key);
    }
    return [...held.values()];
  }

  /** The changes after a revision; `undefined` if they are no longer kept. */
  changes(afterRev: number): WatchEvent[] | undefined {
    if (afterRev < this.#forgottenRev) return undefined;
    return this.#events.filter((event) => revOf(event) > afterRev);
  }

  toString(): string {
    return describeEntries(
      new Map(this.entries().map(({ key, value }) => [key, value])),
    );
  }
}

function describeEntries(entries: ReadonlyMap<string, string>): string {
  return [...entries].map(([key, value]) => `${key}=${value}`).sort().join(" ");
}

/** A VM's replica, as store_view.ts configures that of the topic, and the entries that it reported. */
class Vm {
  readonly known = new Map<string, string>();
  readonly replica: Replica;

  constructor(topic: NewsTopic) {
    const { known } = this;
    this.replica = new Replica({
      contentOf: ({ rev, value }) =>
        topic === "operators" ? String(rev) : value,
      onPut: ({ key, value }) => void known.set(key, value),
      onDelete: (key) => void known.delete(key),
    });
  }

  toString(): string {
    return describeEntries(this.known);
  }
}

/** A store and VMs that follow it: readers list and poll, all pull from any VM that is ahead. */
class World {
  readonly store = new Store();
  readonly vms: Vm[];
  readonly #topic: NewsTopic;
  readonly #inFlight: (() => void)[] = [];
  readonly #random = new Random(1);
  readers: readonly number[];

  constructor(topic: NewsTopic, vmCount: number, readers: readonly number[]) {
    this.#topic = topic;
    this.vms = Array.from({ length: vmCount }, () => new Vm(topic));
    this.readers = readers;
  }

  restart(...indices: number[]): void {
    for (const index of indices) this.vms[index] = new Vm(this.#topic);
  }

  /** Asks the store as a reader does; the answer is in flight. */
  ask(index: number, isAfterFailure = false): void {
    const { replica } = this.vms[index];
    const { rev } = this.store;
    const events = replica.rev === 0 || isAfterFailure
      ? undefined
      : this.store.changes(replica.rev);
    const entries = this.store.entries();
    this.#inFlight.push(() =>
      events
        ? replica.applyChanges(events, rev)
        : replica.applyListing({ entries, rev, more: false })
    );
  }

  /** Asks another VM; the answer is in flight. */
  askVm(index: number, sender: number): void {
    const { replica } = this.vms[index];
    const news: News = this.vms[sender].replica.newsFor(replica.newsRequest);
    this.#inFlight.push(() => replica.adopt(news));
  }

  deliver(pick: number): void {
    if (this.#inFlight.length === 0) return;
    const [answer] = this.#inFlight.splice(pick % this.#inFlight.length, 1);
    answer();
  }

  /** These VMs ask the store and are answered. */
  read(...indices: number[]): void {
    for (const index of indices) {
      this.ask(index);
      this.deliver(this.#inFlight.length - 1);
    }
  }

  /** A VM pulls from another one, if that is ahead; again if the first answer does not suffice. */
  pull(index: number, sender: number): void {
    for (let i = 0; i < 2; i++) {
      if (!this.sources(index).includes(sender)) return;
      this.askVm(index, sender);
      this.deliver(this.#inFlight.length - 1);
    }
  }

  /** The VMs that are ahead of this one. */
  sources(index: number): number[] {
    const { replica } = this.vms[index];
    return [...this.vms.keys()].filter((i) => {
      if (i === index) return false;
      const { state } = this.vms[i].replica;
      replica.noteState(state);
      return replica.isBehind(state);
    });
  }

  /** Nothing changes any more: readers read all, and everyone pulls from whoever is ahead. */
  settle(): void {
    while (this.#inFlight.length > 0) this.deliver(0);
    for (const [index, { replica }] of this.vms.entries()) {
      if (replica.rev === 0) this.read(index);
    }
    for (let round = 0; round < SETTLE_ROUNDS; round++) {
      this.read(...this.readers);
      for (const index of this.vms.keys()) {
        const sources = this.sources(index);
        if (sources.length > 0) this.pull(index, this.#random.pick(sources));
      }
    }
  }

  /** What each VM holds; all should hold what the store does. */
  get held(): string[] {
    return this.vms.map(String);
  }

  get expected(): string[] {
    return this.vms.map(() => String(this.store));
  }
}

/** A world whose readers have read these keys, and whose other VMs have pulled them. */
function createWorld(
  topic: NewsTopic,
  vmCount: number,
  readers: readonly number[],
  keys: readonly string[],
): World {
  const world = new World(topic, vmCount, readers);
  for (const index of world.vms.keys()) world.read(index);
  for (const key of keys) world.store.put(key);
  world.settle();
  return world;
}

const TOPICS: readonly NewsTopic[] = ["operators", "upstreams"];

describe("replica, after the last change", () => {
  for (const topic of TOPICS) {
    describe(`of ${topic}`, () => {
      describe("all VMs hold what the store holds, if all readers restarted", () => {
        // An evacuation that ended meanwhile stayed in force on the other VMs.
        it("while a key was deleted that is older than the latest news", (t) => {
          const world = createWorld(topic, 2, [0], ["a", "b"]);
          world.store.delete("a");
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The reader takes over the revision of the others' latest news without their being told what it lacks.
        it("while a key was deleted that is older than a deletion which the others know", (t) => {
          const world = createWorld(topic, 2, [0], ["a", "b", "c"]);
          world.store.delete("c");
          world.read(0);
          world.pull(1, 0);
          world.store.delete("a");
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The same, if the deleted key is the others' latest news.
        it("while the latest key was deleted", (t) => {
          const world = createWorld(topic, 2, [0], ["a", "b"]);
          world.store.delete("b");
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // A first listing of renewed entries is not announced, so nobody asked for the new upstream.
        it("while a key was created", (t) => {
          const world = createWorld(topic, 2, [0], ["a"]);
          world.store.put("b");
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The others went on to use an upstream that was draining.
        it("while an entry changed", (t) => {
          const world = createWorld(topic, 2, [0], ["a"]);
          world.store.put("a", "draining");
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The restarted VMs read a change before, and nobody had pulled it.
        it("before they passed a deletion on", (t) => {
          const world = createWorld(topic, 4, [0, 1], ["a", "b"]);
          world.store.delete("a");
          world.read(0, 1);
          world.restart(0, 1);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });
      });

      describe("all VMs hold what the store holds, if a reader's history has a gap", () => {
        // No VM restarts: the former reader holds the key, the new one lists and has never held it.
        it("in which a key was deleted that only a former reader has seen", (t) => {
          const world = createWorld(topic, 2, [0], ["c"]);
          world.store.put("a");
          world.store.put("b");
          world.read(0);
          world.store.delete("a");
          world.store.compact();
          world.readers = [1];
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The latest key is corrected only if the reader remembers no deletion of it; here it does, an older one.
        it("in which a key was created and deleted that had been deleted before", (t) => {
          const world = createWorld(topic, 2, [0], ["c", "a"]);
          world.store.delete("a");
          world.settle();
          world.store.put("a");
          world.read(0);
          world.store.delete("a");
          world.store.compact();
          world.readers = [1];
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The readers never restart; a VM that starts lists what they never see, and passes it on too.
        it("in which a key was deleted that only a VM has seen which started in between", (t) => {
          const world = createWorld(topic, 3, [0], ["c"]);
          world.store.put("a");
          world.store.put("b");
          world.restart(1);
          world.read(1);
          world.store.delete("a");
          world.store.compact();
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The listing shows the reader no difference, so it passes nothing on to the VM that has seen the deletion.
        it("in which an entry lapsed and returned unchanged", (t) => {
          const world = createWorld(topic, 3, [0, 1], ["a"]);
          world.store.delete("a");
          world.read(0);
          world.pull(2, 0);
          world.store.put("a");
          world.ask(1, true);
          world.deliver(0);
          world.read(0);
          world.pull(1, 0);
          world.pull(2, 1);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The same, if the reader that saw the deletion restarts.
        it("in which an entry lapsed and returned, and the other reader restarts", (t) => {
          const world = createWorld(topic, 3, [0, 1], ["a"]);
          world.store.delete("a");
          world.read(0);
          world.pull(2, 0);
          world.store.put("a");
          world.store.compact();
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // A VM that saw the state in between keeps it.
        it("in which an entry changed and changed back", (t) => {
          const world = createWorld(topic, 3, [0, 1], ["a"]);
          world.store.put("a", "draining");
          world.read(0);
          world.pull(2, 0);
          world.store.put("a", "ready");
          world.store.compact();
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });
      });

      describe("all VMs hold what the store holds, if an entry lapsed and returned unchanged", () => {
        /** VM 0 reads all; VM 2 pulls the lapse, VM 1 only the return; then VM 2 pulls from VM 1. */
        function lapse(vmCount: number, readers: readonly number[]): World {
          const world = createWorld(topic, vmCount, readers, ["a", "b"]);
          world.store.delete("a");
          world.read(0);
          world.pull(2, 0);
          world.store.put("a");
          world.read(0);
          world.pull(1, 0);
          world.pull(2, 1);
          return world;
        }

        // The teller saw no difference, so it regards the entry as older than the lapse. Nobody restarts, no gap.
        it("and a VM that saw the lapse pulls from one that did not", (t) => {
          const world = lapse(3, [0]);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The pull moves the reader's revision past the put, so its polls never show it.
        it("and the VM that saw the lapse is a reader", (t) => {
          const world = lapse(3, [0, 2]);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // A VM that starts lists the store itself: that is how it sees the lapse.
        it("and a VM that does not read started in between", (t) => {
          const world = createWorld(topic, 3, [0], ["a", "b"]);
          world.store.delete("a");
          world.restart(2);
          world.read(2);
          world.store.put("a");
          world.read(0);
          world.pull(1, 0);
          world.pull(2, 1);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // The next news is no cure: only news of the same key is.
        it("and another key changes later", (t) => {
          const world = lapse(3, [0]);
          world.store.put("c");
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // A VM that has lost the entry passes the deletion on to VMs that hold it.
        it("and a VM that heard of neither pulls from the one that saw the lapse", (t) => {
          const world = lapse(4, [0]);
          world.pull(3, 2);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // As above, with a changed state in place of the lapse.
        it("or it changed and changed back", (t) => {
          const world = createWorld(topic, 3, [0], ["a"]);
          world.store.put("a", "draining");
          world.read(0);
          world.pull(2, 0);
          world.store.put("a", "ready");
          world.read(0);
          world.pull(1, 0);
          world.pull(2, 1);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });
      });

      describe("no deletion and no put is lost", () => {
        // Deletions beyond the remembered ones are told by the list of existing keys.
        it("beyond the deletions that a VM remembers, if keys return among them", (t) => {
          const keys = Array.from({ length: 1_200 }, (_, i) => `k${i}`);
          const world = createWorld(topic, 3, [0], keys);
          for (const key of keys) world.store.delete(key);
          for (const key of keys.slice(0, 10)) world.store.put(key);
          world.read(0);
          world.pull(1, 0);
          world.pull(2, 1);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });

        // A VM whose first state came from a peer is a source too.
        it("if a VM adopts all from a peer before its first listing", (t) => {
          const world = createWorld(topic, 3, [0], ["a", "b"]);
          world.restart(1);
          world.askVm(1, 0);
          world.deliver(0);
          world.store.delete("a");
          world.read(0);
          world.pull(1, 0);
          world.restart(0);
          world.settle();
          t.deepEqual(world.held, world.expected);
        });
      });

      describe("all VMs hold what the store holds", () => {
        type Step = (world: World) => void;
        const VMS = 4;
        const vm = fc.nat(VMS - 1);
        const key = fc.constantFrom("a", "b");
        const writes: fc.Arbitrary<Step>[] = [
          key.map((k): Step => ({ store }) => store.put(k)),
          key.map((k): Step => ({ store }) => store.put(k, "draining")),
          key.map((k): Step => ({ store }) => store.delete(k)),
          key.map((k): Step => ({ store }) => {
            const held = store.entries().find((entry) => entry.key === k);
            if (held) store.put(k, held.value);
          }),
        ];
        const reads: fc.Arbitrary<Step>[] = [
          fc.nat(2).map((i): Step => (w) =>
            w.ask(w.readers[i % w.readers.length])
          ),
          fc.tuple(vm, vm).map(([i, j]): Step => (w) => {
            if (w.sources(i).includes(j)) w.askVm(i, j);
          }),
          fc.nat(20).map((pick): Step => (w) => w.deliver(pick)),
          fc.nat(20).map((pick): Step => (w) => w.deliver(pick)),
          fc.nat(2).map((i): Step => (w) =>
            w.read(w.readers[i % w.readers.length])
          ),
          fc.tuple(vm, vm).map(([i, j]): Step => (w) => w.pull(i, j)),
          fc.tuple(vm, vm).map(([i, j]): Step => (w) => w.pull(i, j)),
        ];
        const gaps: fc.Arbitrary<Step>[] = [
          fc.nat(2).map((i): Step => (w) =>
            w.ask(w.readers[i % w.readers.length], true)
          ),
          fc.constant<Step>(({ store }) => store.compact()),
          fc.constantFrom([0, 1], [2, 3], [1]).map((readers): Step => (w) =>
            void (w.readers = readers)
          ),
        ];
        const restarts: fc.Arbitrary<Step>[] = [
          vm.map((i): Step => (w) => w.restart(i)),
          fc.constant<Step>((w) => w.restart(...w.readers)),
        ];

        function check(steps: fc.Arbitrary<Step>[], numRuns: number): void {
          const history = fc.array(fc.oneof(...steps), {
            minLength: 1,
            maxLength: 40,
            size: "max",
          });
          fc.assert(
            fc.property(history, (run) => {
              const world = createWorld(topic, VMS, [0, 1], ["a", "b"]);
              for (const step of run) step(world);
              world.settle();
              return world.held.every((held) => held === String(world.store));
            }),
            { numRuns, seed: 40 },
          );
        }

        // Answers and news come in any order.
        it("after histories in any order, without gaps and restarts", (t) => {
          t.notThrows(() => check([...writes, ...reads], 3_000));
        });

        // Readers list after failed polls, others take their place.
        it("after histories in any order, with gaps", (t) => {
          t.notThrows(() => check([...writes, ...reads, ...gaps], 3_000));
        });

        // Single VMs restart, or all readers at once.
        it("after histories in any order, with gaps and restarts", (t) => {
          t.notThrows(() =>
            check([...writes, ...reads, ...gaps, ...restarts], 3_000)
          );
        });
      });
    });
  }
});
