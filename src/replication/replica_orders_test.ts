import { describe, it } from "../base/describe.ts";
import { createWorld, TOPICS, type World } from "../../test/replica_world.ts";

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
    });
  }
});
