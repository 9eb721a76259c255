import fc from "fast-check";
import { describe, it } from "../base/describe.ts";
import { createWorld, TOPICS, type World } from "../../test/replica_world.ts";

describe("replica, after the last change", () => {
  for (const topic of TOPICS) {
    describe(`of ${topic}`, () => {
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
