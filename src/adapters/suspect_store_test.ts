import { describe, it } from "../base/describe.ts";
import { MemoryKeyValue } from "../standins/memory_key_value.ts";
import { SuspectStore } from "./suspect_store.ts";

function connect(store: MemoryKeyValue, vmId: string): SuspectStore {
  return new SuspectStore({
    store: new MemoryKeyValue({ store: store.store }),
    vmId,
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
