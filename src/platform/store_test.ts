import { createServer } from "node:http";
import type { ExecutionContext } from "ava";
import type { Result } from "neverthrow";
import { describe, it } from "../base/describe.ts";
import {
  listenOn,
  sendSlowly,
  SLOW_ANSWER_MS,
} from "../../test/slow_server.ts";
import {
  openUnframedServer,
  type UnframedAnswer,
} from "../../test/unframed_server.ts";
import type { StoreError } from "../adapters/mod.ts";
import { type ChangesError, PlatformKeyValue } from "./mod.ts";

const ITEM = { key: "k/1", value: "e30=", revision: 7, created: 7, lease: 0 };

type Call = (
  store: PlatformKeyValue,
) => Promise<Result<unknown, StoreError | ChangesError>>;

/** Calls with a whole body of their answers. */
const READS: Readonly<Record<string, readonly [Call, object]>> = {
  "an entry": [
    (store) => store.get("k/1", "other"),
    { ...ITEM, current_rev: 9 },
  ],
  "a listing": [
    (store) => store.list("k/", {}, "other"),
    { items: [ITEM], more_pages: false, current_rev: 9 },
  ],
  "changes": [
    (store) => store.changes("k/", 3, 1, "other"),
    { events: [ITEM], current_rev: 9 },
  ],
  "a write": [
    (store) => store.put("k/1", "{}", {}, "other"),
    { revision: 9 },
  ],
  "a lease": [
    (store) => store.grant(3_000, "other"),
    { lease: 77, ttl_ms: 3_000 },
  ],
};

/** Opens a store that gives these answers in turn, the last one again and again. */
async function openStore(
  t: ExecutionContext,
  answers: readonly UnframedAnswer[],
): Promise<PlatformKeyValue> {
  const left = [...answers];
  const address = await openUnframedServer(
    t,
    () => left.length > 1 ? left.shift()! : left[0],
  );
  const store = new PlatformKeyValue(address);
  t.teardown(() => store.close());
  return store;
}

describe("store", () => {
  for (const [name, [call, value]] of Object.entries(READS)) {
    const body = JSON.stringify(value);

    for (const isReset of [false, true]) {
      const end = isReset ? "a reset" : "an orderly end";
      it(`takes no part of an answer with ${name} for the whole after ${end}`, async (t) => {
        const parts = [...body].map((_, length) => body.slice(0, length));
        for (const part of [...parts, "null", "{}"]) {
          const store = await openStore(t, [{ body: part, isReset }]);
          const result = await call(store);
          t.is(result.isErr() && result.error.kind, "lost", `of "${part}"`);
        }
      });
    }

    it(`reads an answer with ${name} that only its connection ends`, async (t) => {
      const result = await call(await openStore(t, [{ body }]));
      t.true(result.isOk());
    });
  }

  it("gives no listing whose second page came without its body", async (t) => {
    const page = { items: [ITEM], more_pages: true, current_rev: 9 };
    const store = await openStore(t, [
      { body: JSON.stringify(page) },
      { body: "" },
    ]);
    t.true((await store.list("k/", {}, "other")).isErr());
  });

  it("gives no listing that ends with a page that promises more", async (t) => {
    const page = { items: [ITEM], more_pages: true, current_rev: 9 };
    const store = await openStore(t, [
      { body: JSON.stringify(page) },
      { body: JSON.stringify({ ...page, items: [] }) },
    ]);
    t.true((await store.list("k/", {}, "other")).isErr());
  });

  it("doesn't say that a key is gone if a conflict came without its body", async (t) => {
    const store = await openStore(t, [{ status: 412, body: "" }]);
    const put = await store.put("k/1", "{}", { ifRev: 3 }, "other");
    t.is(put.isErr() && put.error.kind, "lost");
  });

  it("renews and ends a lease by the status alone", async (t) => {
    const store = await openStore(t, [{ body: "" }]);
    t.true((await store.keepAlive("77", "other")).isOk());
    t.true((await store.revoke("77", "other")).isOk());
  });

  it("reads a listing that takes longer than a call without an answer may", async (t) => {
    const item = { ...ITEM, value: btoa("v".repeat(50_000)) };
    const body = { items: [item], more_pages: false, current_rev: 9 };
    const server = createServer((request, response) => {
      request.resume();
      void sendSlowly(response, JSON.stringify(body));
    });
    const store = new PlatformKeyValue(await listenOn(t, server));
    t.teardown(() => store.close());
    const startedMs = performance.now();
    const listing = await store.list("k/", {}, "other");
    t.true(performance.now() - startedMs >= SLOW_ANSWER_MS);
    t.is(listing._unsafeUnwrap().entries.length, 1);
  });
});
