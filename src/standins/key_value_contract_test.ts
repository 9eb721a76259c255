import type { ExecutionContext } from "ava";
import {
  EtcdKeyValue,
  type KeyValue,
  type WatchEvent,
} from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { PlatformKeyValue } from "../platform/mod.ts";
import { KvServer } from "./kv_server.ts";
import { MemoryKeyValue } from "./memory_key_value.ts";
import { openPlatform } from "./platform.ts";
import type { PlatformFaults } from "./platform_faults.ts";
import type { PlatformStore } from "./platform_store.ts";

/** An implementation to test: the connections of two VMs to one store. */
interface StoreUnderTest {
  readonly a: KeyValue;
  readonly b: KeyValue;
  readonly store: PlatformStore;
  readonly faults: PlatformFaults;
  close(): Promise<void>;
}

const STORES: Record<string, () => Promise<StoreUnderTest>> = {
  memory: () => {
    const a = new MemoryKeyValue({ vmId: "a" });
    const { store, faults } = a;
    const b = new MemoryKeyValue({ vmId: "b", store, faults });
    const close = async () => {
      await a.close();
      await b.close();
    };
    return Promise.resolve({ a, b, store, faults, close });
  },
  etcd: async () => {
    const platform = await openPlatform();
    const urls = [platform.url];
    const a = new EtcdKeyValue({ urls, vmId: "a", timeoutMs: 5000 });
    const b = new EtcdKeyValue({ urls, vmId: "b", timeoutMs: 5000 });
    const close = async () => {
      await a.close();
      await b.close();
      await platform.close();
    };
    return { a, b, store: platform.store, faults: platform.faults, close };
  },
  platform: async () => {
    const server = new KvServer();
    const a = new PlatformKeyValue(await server.openAddressFor("a"));
    const b = new PlatformKeyValue(await server.openAddressFor("b"));
    const close = async () => {
      await a.close();
      await b.close();
      await server.close();
    };
    return { a, b, store: server.store, faults: server.faults, close };
  },
};

const CONTRACT: Record<
  string,
  (t: ExecutionContext, stores: StoreUnderTest) => Promise<void>
> = {
  "reads a value back with its revision": async (t, { a, b }) => {
    t.is((await a.get("k", "other"))._unsafeUnwrap(), undefined);
    const rev = (await a.put("k", "v é", {}, "other"))._unsafeUnwrap();
    t.deepEqual((await b.get("k", "other"))._unsafeUnwrap(), {
      key: "k",
      value: "v é",
      rev,
    });
  },
  "lets only one of two writers succeed in a compare-and-swap": async (
    t,
    { a, b },
  ) => {
    const made = await a.put("k", "1", { ifRev: 0 }, "other");
    const late = (await b.put("k", "2", { ifRev: 0 }, "other"))
      ._unsafeUnwrapErr();
    t.is(late.kind, "conflict");
    t.is(late.kind === "conflict" ? late.current?.value : "", "1");
    const rev = made._unsafeUnwrap();
    t.true((await b.put("k", "3", { ifRev: rev }, "other")).isOk());
  },
  "applies all writes of a transaction or none": async (t, { a }) => {
    await a.put("x", "1", {}, "other");
    const result = await a.transact([
      { type: "put", key: "y", value: "1" },
      { type: "delete", key: "x", ifRev: 99_999 },
    ], "other");
    t.is(result._unsafeUnwrapErr().kind, "conflict");
    t.is((await a.get("y", "other"))._unsafeUnwrap(), undefined);
    const done = await a.transact([
      { type: "put", key: "y", value: "1", ifRev: 0 },
      { type: "delete", key: "x" },
    ], "other");
    t.true(done.isOk());
    const y = (await a.get("y", "other"))._unsafeUnwrap();
    t.is(y?.rev, done._unsafeUnwrap());
    t.is((await a.get("x", "other"))._unsafeUnwrap(), undefined);
  },
  "lists in key order, from a given key, and reports whether there is more":
    async (
      t,
      { a },
    ) => {
      for (const key of ["p/3", "p/1", "q/1", "p/2"]) {
        await a.put(key, key, {}, "other");
      }
      const all = (await a.list("p/", {}, "other"))._unsafeUnwrap();
      t.deepEqual(all.entries.map((e) => e.key), ["p/1", "p/2", "p/3"]);
      t.false(all.more);
      const part = (await a.list("p/", { fromKey: "p/2", limit: 1 }, "other"))
        ._unsafeUnwrap();
      t.deepEqual(part.entries.map((e) => e.key), ["p/2"]);
      t.true(part.more);
      t.true(part.rev >= part.entries[0].rev);
    },
  "reports changes to a watch in order, starting at a revision": async (
    t,
    { a, b },
  ) => {
    const rev = (await a.put("w/1", "1", {}, "other"))._unsafeUnwrap();
    const events: WatchEvent[] = [];
    const watch = b.watch("w/", rev, (event) => events.push(event), "other");
    await a.put("other", "1", {}, "other");
    await a.put("w/2", "2", {}, "other");
    await a.transact([{ type: "delete", key: "w/1" }], "other");
    await waitUntil(() => events.length >= 3);
    watch.close();
    t.deepEqual(
      events.map((e) =>
        e.type === "put" ? e.entry.key : e.type === "delete" ? `-${e.key}` : ""
      ),
      ["w/1", "w/2", "-w/1"],
    );
  },
  "reports a watch from a compacted revision as lost": async (
    t,
    { a, store },
  ) => {
    await a.put("w/1", "1", {}, "other");
    store.compact(store.rev);
    const events: WatchEvent[] = [];
    a.watch("w/", 1, (event) => events.push(event), "other");
    await waitUntil(() => events.length > 0);
    t.is(events[0].type, "lost");
  },
  "deletes the keys of a revoked lease": async (t, { a }) => {
    const leaseId = (await a.grant(60_000, "other"))._unsafeUnwrap();
    t.true((await a.put("l", "1", { leaseId }, "other")).isOk());
    t.true((await a.keepAlive(leaseId, "other")).isOk());
    t.true((await a.revoke(leaseId, "other")).isOk());
    t.is((await a.get("l", "other"))._unsafeUnwrap(), undefined);
    const put = await a.put("l", "1", { leaseId }, "other");
    t.is(put._unsafeUnwrapErr().kind, "leaseGone");
    const kept = await a.keepAlive(leaseId, "other");
    t.is(kept._unsafeUnwrapErr().kind, "leaseGone");
  },
  "expires a lease that is not renewed": async (t, { a }) => {
    const leaseId = (await a.grant(1000, "other"))._unsafeUnwrap();
    await a.put("l", "1", { leaseId }, "other");
    await waitUntil(async () =>
      (await a.get("l", "other"))._unsafeUnwrap() === undefined
    );
    t.pass();
  },
  "refuses a value of more than a megabyte": async (t, { a }) => {
    const result = await a.put("big", "x".repeat(1_048_577), {}, "other");
    t.is(result._unsafeUnwrapErr().kind, "tooLarge");
  },
  // The write takes effect and the connection breaks before the answer: the caller must not conclude that it failed.
  "reports a lost answer as lost, and the write takes effect": async (
    t,
    { a, b, faults },
  ) => {
    faults.set([{ vm: "^a$", loseAnswers: 1 }]);
    const result = await a.put("k", "1", { ifRev: 0 }, "other");
    t.is(result._unsafeUnwrapErr().kind, "lost");
    t.is((await b.get("k", "other"))._unsafeUnwrap()?.value, "1");
    t.true((await a.put("k2", "1", { ifRev: 0 }, "other")).isOk());
  },
  // The watch of the VM that is cut off reports that events may be missing; the other VM still reaches the store.
  "fails the calls and watches of a VM that is cut off, and not those of others":
    async (
      t,
      { a, b, faults },
    ) => {
      const events: WatchEvent[] = [];
      a.watch("w/", 1, (event) => events.push(event), "other");
      await b.put("w/1", "1", {}, "other");
      await waitUntil(() => events.length === 1);
      faults.set([{ vm: "^a$", outage: "cut" }]);
      await waitUntil(() => events.length === 2);
      t.is(events[1].type, "lost");
      t.is((await a.get("k", "other"))._unsafeUnwrapErr().kind, "lost");
      t.true((await b.put("w/2", "1", {}, "other")).isOk());
      faults.clear();
      t.true((await a.get("k", "other")).isOk());
    },
  "reports a refused call as unavailable": async (t, { a, b, faults }) => {
    faults.set([{ vm: "^a$", outage: "refuse" }]);
    const result = await a.put("k", "1", {}, "other");
    t.is(result._unsafeUnwrapErr().kind, "unavailable");
    t.is((await b.get("k", "other"))._unsafeUnwrap(), undefined);
  },
  "counts calls by purpose": async (t, { a }) => {
    await a.get("k", "claims");
    await a.put("k", "1", {}, "table");
    await a.put("k", "2", {}, "table");
    const { claims, table, other } = a.counts();
    t.deepEqual({ claims, table, other }, { claims: 1, table: 2, other: 0 });
  },
};

for (const [name, open] of Object.entries(STORES)) {
  describe(`key-value contract of ${name}`, () => {
    for (const [title, check] of Object.entries(CONTRACT)) {
      it(title, async (t) => {
        const opened = await open();
        t.teardown(() => opened.close());
        await check(t, opened);
      });
    }
  });
}

describe("etcd adapter", () => {
  it("reports an unavailable store, and tries the next address", async (t) => {
    const platform = await openPlatform();
    t.teardown(() => platform.close());
    const goneUrl = "http://127.0.0.1:1";
    const alone = new EtcdKeyValue({ urls: [goneUrl], vmId: "a" });
    const put = await alone.put("k", "1", {}, "other");
    t.is(put._unsafeUnwrapErr().kind, "unavailable");
    const both = new EtcdKeyValue({ urls: [goneUrl, platform.url], vmId: "a" });
    t.teardown(() => both.close());
    t.true((await both.put("k", "1", {}, "other")).isOk());
  });

  it("reports a call above the rate limit as limited", async (t) => {
    const platform = await openPlatform({ writesPerS: 2 });
    t.teardown(() => platform.close());
    const store = new EtcdKeyValue({ urls: [platform.url], vmId: "a" });
    t.teardown(() => store.close());
    const kinds: string[] = [];
    for (let i = 0; i < 8; i++) {
      const result = await store.put("k", "1", {}, "other");
      kinds.push(result.isOk() ? "ok" : result.error.kind);
    }
    t.is(kinds[0], "ok");
    t.true(kinds.includes("limited"));
  });
});

// The time limit only guards against a hang; no result depends on how long the condition takes.
async function waitUntil(
  isDone: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let i = 0; i < 2000; i++) {
    if (await isDone()) return;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error("the condition did not become true in time");
}
