import { describe, it } from "../base/describe.ts";
import { MemoryKeyValue } from "../standins/memory_key_value.ts";
import { SuspectStore } from "./suspect_store.ts";

/** How long a permission holds. */
const TRIAL_MS = 15_000;

function connect(
  store: MemoryKeyValue,
  vmId: string,
  nowMs = () => 0,
  restoredMs = () => -Infinity,
): SuspectStore {
  return new SuspectStore({
    store: new MemoryKeyValue({ store: store.store }),
    vmId,
    nowMs,
    restoredMs,
    leastLeaseMs: 1_000,
    suspectPrefix: "suspects/",
    trialPrefix: "trials/",
  });
}

describe("suspects", () => {
  describe("in the store of all VMs", () => {
    it("keep the crashes of each VM that stored them", async (t) => {
      const store = new MemoryKeyValue();
      const [a, b] = [connect(store, "a"), connect(store, "b")];
      await a.put({ digest: "r", upstreams: ["u", "v", "w", "x"], past: [] });
      await b.put({ digest: "r", upstreams: ["u", "v", "y"], past: [] });
      const [stored] = await a.list() ?? [];
      t.deepEqual(stored, {
        digest: "r",
        upstreams: ["u", "v", "w", "x", "y"],
      });
    });

    it("lose the crashes that are cleared", async (t) => {
      const store = new MemoryKeyValue();
      const [a, b] = [connect(store, "a"), connect(store, "b")];
      await a.put({ digest: "r", upstreams: ["u", "v", "w"], past: [] });
      await b.put({ digest: "r", upstreams: ["x", "y"], past: ["u", "v"] });
      const [stored] = await a.list() ?? [];
      t.deepEqual(stored, { digest: "r", upstreams: ["w", "x", "y"] });
    });

    it("are tried by one VM only, though the store forgot who has the permission", async (t) => {
      let nowMs = 0;
      const store = new MemoryKeyValue();
      const [a, b] = [
        connect(store, "a", () => nowMs),
        connect(store, "b", () => nowMs),
      ];
      const copy = store.store.copy();
      await b.list();
      t.true(await a.acquireTrial("r"));
      store.store.restore(copy);
      t.false(await b.acquireTrial("r"));
      t.false(await b.acquireTrial("other"));
      nowMs = TRIAL_MS;
      t.true(await b.acquireTrial("later"));
    });

    it("are not tried by a VM that started after the store forgot who has the permission, if others say so", async (t) => {
      let nowMs = 1_000;
      const store = new MemoryKeyValue();
      const a = connect(store, "a");
      const copy = store.store.copy();
      t.true(await a.acquireTrial("r"));
      store.store.restore(copy);
      const started = connect(store, "b", () => nowMs, () => 0);
      t.false(await started.acquireTrial("r"));
      nowMs = TRIAL_MS;
      t.true(await started.acquireTrial("later"));
    });

    /** Guards against two trial runs at once, as a VM whose own permission has lapsed ends that of another one. */
    it("are tried by nobody else after a VM whose permission had lapsed gives it up", async (t) => {
      const store = new MemoryKeyValue();
      const [a, b, c] = ["a", "b", "c"].map((id) => connect(store, id));
      t.true(await a.acquireTrial("r"));
      // The lease of the first permission ends.
      await store.transact([{ type: "delete", key: "trials/r" }], "other");
      t.true(await b.acquireTrial("r"));
      await a.releaseTrial("r");
      t.false(await c.acquireTrial("r"));
      await b.releaseTrial("r");
      t.true(await c.acquireTrial("r"));
    });

    it("tell once that the store came back from a copy and may lack records", async (t) => {
      const store = new MemoryKeyValue();
      const a = connect(store, "a");
      const copy = store.store.copy();
      await a.list();
      t.false(a.takeLoss());
      store.store.restore(copy);
      await a.list();
      t.deepEqual([a.takeLoss(), a.takeLoss()], [true, false]);
    });

    it("keep all crashes that two VMs store at once", async (t) => {
      const store = new MemoryKeyValue();
      const [a, b] = [connect(store, "a"), connect(store, "b")];
      await a.put({ digest: "r", upstreams: ["u"], past: [] });
      const put = [
        a.put({ digest: "r", upstreams: ["v"], past: [] }),
        b.put({ digest: "r", upstreams: ["w"], past: [] }),
      ];
      t.deepEqual(await Promise.all(put), [true, true]);
      const [stored] = await a.list() ?? [];
      t.deepEqual([...stored.upstreams].sort(), ["u", "v", "w"]);
    });
  });
});
