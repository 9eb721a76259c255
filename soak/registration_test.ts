import { describe, it } from "../src/base/describe.ts";
import { KvServer, type StoreChange } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import { Registration } from "./registration.ts";

const HEARTBEAT_MS = 20;
const KEY = "servers/i-1";

/** A store with a registered upstream, and the changes of its entry since. */
function openWorld() {
  const store = new KvServer();
  const registration = new Registration(store, 0, HEARTBEAT_MS);
  const changes: StoreChange[] = [];
  registration.write("i-1", { state: "ready" });
  store.store.watch(
    KEY,
    store.store.rev + 1,
    (change) => changes.push(change),
    () => {},
  );
  const waitFor = async (type: StoreChange["type"]) => {
    changes.length = 0;
    while (!changes.some((change) => change.type === type)) {
      await sleep(HEARTBEAT_MS);
    }
  };
  const close = async () => {
    registration.close();
    await store.close();
  };
  return { store, registration, waitFor, close };
}

describe("an upstream's registration in the soak", () => {
  it("is written again at each heartbeat, unchanged", async (t) => {
    const { store, waitFor, close } = openWorld();
    const before = store.store.get(KEY)!;
    await waitFor("put");
    const after = store.store.get(KEY)!;
    t.is(after.value, before.value);
    t.true(after.rev > before.rev);
    await close();
  });

  it("lapses in silence, and returns unchanged after it", async (t) => {
    const { store, registration, waitFor, close } = openWorld();
    const before = store.store.get(KEY)!;
    registration.silence(5 * HEARTBEAT_MS);
    await waitFor("delete");
    t.is(store.store.get(KEY), undefined);
    await waitFor("put");
    t.is(store.store.get(KEY)!.value, before.value);
    await close();
  });

  it("lapses in an outage only if the store counts it as silence", async (t) => {
    const { store, registration, waitFor, close } = openWorld();
    store.faults.set([{ outage: "cut" }]);
    await sleep(6 * HEARTBEAT_MS);
    t.not(store.store.get(KEY), undefined);
    registration.lapsesWhileDown = true;
    await waitFor("delete");
    t.is(store.store.get(KEY), undefined);
    store.faults.clear();
    await waitFor("put");
    t.not(store.store.get(KEY), undefined);
    await close();
  });
});
