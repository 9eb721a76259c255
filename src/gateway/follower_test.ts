import { ok } from "neverthrow";
import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import { Follower } from "./follower.ts";
import type { News } from "./replica.ts";

const SILENT_LOG = {
  debug() {},
  info() {},
  warn() {},
  error() {},
  log() {},
};

function entry(key: string, rev: number, value = "state"): Entry {
  return { key, rev, value };
}

/** A store whose one listing and changes are given; afterwards questions wait. */
class ScriptedStore {
  readonly #listing: Listing;
  readonly #batches: WatchEvent[][];
  #rev: number;

  constructor(entries: Entry[], rev: number, batches: WatchEvent[][] = []) {
    this.#listing = { entries, rev, more: false };
    this.#batches = batches;
    this.#rev = rev;
  }

  list() {
    return Promise.resolve(ok(this.#listing));
  }

  changes() {
    const events = this.#batches.shift();
    if (!events) return new Promise<never>(() => {});
    this.#rev += events.length;
    return Promise.resolve(ok({ events, rev: this.#rev }));
  }
}

interface Answer {
  readonly events: WatchEvent[];
  readonly rev: number;
}

/** A store that lists once and answers questions for changes when the test says so. */
class SlowStore {
  readonly #listing: Listing;
  readonly #waiting: ((answer: Answer) => void)[] = [];

  constructor(entries: Entry[], rev: number) {
    this.#listing = { entries, rev, more: false };
  }

  list() {
    return Promise.resolve(ok(this.#listing));
  }

  async changes() {
    const answer = await new Promise<Answer>((resolve) =>
      this.#waiting.push(resolve)
    );
    return ok(answer);
  }

  /** Answers the oldest question. */
  async answer(events: WatchEvent[], rev: number): Promise<void> {
    this.#waiting.shift()!({ events, rev });
    await settle();
  }
}

/** A follower, and the keys that it believes in. */
function follow(store: ScriptedStore | SlowStore) {
  const believed = new Map<string, string>();
  const follower = new Follower({
    store,
    prefix: "",
    clock: systemClock,
    log: SILENT_LOG,
    waitMs: 1,
    pauseMs: 0,
    isReader: () => true,
    isNews: ({ key, value }) => believed.get(key) !== value,
    isRenewed: true,
    onPut: ({ key, value }) => void believed.set(key, value),
    onDelete: (key) => void believed.delete(key),
  });
  return { follower, believed };
}

/** Lets the follower take what its store has to say. */
async function settle(): Promise<void> {
  for (let i = 0; i < 20; i++) await new Promise(setImmediate);
}

const put = (item: Entry): WatchEvent => ({ type: "put", entry: item });
const gone = (key: string, rev: number): WatchEvent => ({
  type: "delete",
  key,
  rev,
});

describe("follower", () => {
  describe("news for a VM that does not ask the store itself", () => {
    // Every upstream writes each second that it lives. Told on, that would be the whole list a second and VM, which
    // took a tenth of a small VM's link.
    it("leaves out entries that say nothing new", async (t) => {
      const store = new ScriptedStore([entry("a", 1), entry("b", 2)], 2, [
        [put(entry("a", 3)), put(entry("b", 4))],
        [put(entry("b", 5, "leaves"))],
        [put(entry("a", 6))],
      ]);
      const { follower } = follow(store);
      follower.start();
      await settle();
      t.is(follower.announcedRev, 5);
      const { entries, deleted, present } = follower.newsSince(4);
      t.deepEqual(entries, [entry("b", 5, "leaves")]);
      t.deepEqual(deleted, []);
      t.is(present, undefined);
      follower.close();
    });

    it("brings it to the same beliefs, deletions included", async (t) => {
      const teller = follow(
        new ScriptedStore([entry("a", 1), entry("b", 2)], 2, [
          [gone("a", 3), put(entry("c", 4)), put(entry("b", 5, "leaves"))],
        ]),
      );
      const listener = follow(
        new ScriptedStore([entry("a", 1), entry("b", 2)], 2),
      );
      teller.follower.start();
      listener.follower.start();
      await settle();
      const since = listener.follower.newsRev;
      t.true(
        listener.follower.adopt(teller.follower.newsSince(since), "teller"),
      );
      t.deepEqual([...listener.believed].sort(), [...teller.believed].sort());
      t.false(
        listener.follower.adopt(teller.follower.newsSince(since), "teller"),
      );
      teller.follower.close();
      listener.follower.close();
    });

    it("that is further behind than the teller remembers names all keys there are", async (t) => {
      const teller = follow(new ScriptedStore([entry("b", 8)], 9));
      const listener = follow(new ScriptedStore([entry("a", 1)], 2));
      teller.follower.start();
      listener.follower.start();
      await settle();
      const news = teller.follower.newsSince(listener.follower.newsRev);
      t.deepEqual(news.present, ["b"]);
      t.deepEqual(news.entries, [entry("b", 8)]);
      listener.follower.adopt(news, "teller");
      t.deepEqual([...listener.believed.keys()], ["b"]);
      teller.follower.close();
      listener.follower.close();
    });

    // A VM that has just started finds everything new. If it said so, its whole region would ask it for everything.
    it("is not announced by a VM that has only just listed", async (t) => {
      const { follower } = follow(new ScriptedStore([entry("a", 70)], 80));
      follower.start();
      await settle();
      t.is(follower.announcedRev, 1);
      t.is(follower.newsRev, 70);
      follower.close();
    });

    // All entries lapse in an outage and are back in two seconds. Whoever forgets them at once has no upstream left.
    it("says that the store is just back, so that lapsed entries are waited for", async (t) => {
      const listener = follow(new ScriptedStore([entry("a", 1)], 1));
      listener.follower.start();
      await settle();
      const news: News = {
        entries: [],
        deleted: [{ key: "a", rev: 2 }],
        rev: 2,
        newsRev: 2,
        recoveredAgoMs: 100,
      };
      listener.follower.adopt(news, "teller");
      const sinceMs = systemClock.monoMs() -
        listener.follower.recoveredMonoMs;
      t.true(sinceMs >= 100 && sinceMs < 5_000);
      listener.follower.close();
    });
  });

  // A VM used no upstream of its region for good: the store's answer about an evacuation came after its end.
  describe("an answer of the store that comes later than a peer's newer news", () => {
    const told = (news: Partial<News>): News => ({
      entries: [],
      deleted: [],
      rev: 26,
      newsRev: 26,
      ...news,
    });

    async function behind(held: Entry[], news: News) {
      const store = new SlowStore(held, 10);
      const { follower, believed } = follow(store);
      follower.start();
      await settle();
      follower.adopt(news, "peer");
      return { store, follower, believed };
    }

    it("brings back no key that was never held", async (t) => {
      const { store, follower, believed } = await behind(
        [entry("other", 9)],
        told({ deleted: [{ key: "a", rev: 24 }] }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...believed.keys()], ["other"]);
      follower.close();
    });

    it("brings back no key that was held", async (t) => {
      const { store, follower, believed } = await behind(
        [entry("a", 9)],
        told({ deleted: [{ key: "a", rev: 24 }] }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...believed.keys()], []);
      follower.close();
    });

    it("brings back no key that is missing among all keys there are", async (t) => {
      const { store, follower, believed } = await behind(
        [entry("a", 9), entry("b", 10)],
        told({ entries: [entry("b", 25)], present: ["b"] }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...believed.keys()], ["b"]);
      follower.close();
    });

    it("brings back no key although thousands ended meanwhile", async (t) => {
      const ended = Array.from(
        { length: 2_000 },
        (_, i) => ({ key: `k${i}`, rev: 100 + i }),
      );
      const { store, follower, believed } = await behind(
        [entry("a", 9)],
        told({
          deleted: [{ key: "a", rev: 24 }, ...ended],
          rev: 3_000,
          newsRev: 2_999,
        }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...believed.keys()], []);
      follower.close();
    });

    it("ends no key that began anew since", async (t) => {
      const { store, follower, believed } = await behind(
        [entry("a", 9)],
        told({ entries: [entry("a", 25)] }),
      );
      await store.answer([gone("a", 18)], 20);
      t.deepEqual([...believed.keys()], ["a"]);
      follower.close();
    });

    it("says what came after that news too", async (t) => {
      const { store, follower, believed } = await behind(
        [entry("a", 9)],
        told({ deleted: [{ key: "a", rev: 24 }] }),
      );
      await store.answer([put(entry("a", 18)), put(entry("a", 30))], 31);
      t.deepEqual([...believed.keys()], ["a"]);
      follower.close();
    });
  });

  it("takes no key back from a peer that is behind its own listing", async (t) => {
    const { follower, believed } = follow(
      new ScriptedStore([entry("b", 8)], 40),
    );
    follower.start();
    await settle();
    follower.adopt({
      entries: [entry("a", 25)],
      deleted: [],
      rev: 26,
      newsRev: 25,
    }, "peer");
    t.deepEqual([...believed.keys()], ["b"]);
    follower.close();
  });
});
