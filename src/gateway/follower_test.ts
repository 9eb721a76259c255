import { ok } from "neverthrow";
import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import { Follower, type News } from "./follower.ts";

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

/** A follower, and the keys that it believes in. */
function follow(store: ScriptedStore) {
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
      t.is(follower.saidRev, 5);
      const { entries, deleted, whole } = follower.newsSince(4);
      t.deepEqual(entries, [entry("b", 5, "leaves")]);
      t.deepEqual(deleted, []);
      t.false(whole);
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
      t.true(listener.follower.adopt(teller.follower.newsSince(since)));
      t.deepEqual([...listener.believed].sort(), [...teller.believed].sort());
      t.false(listener.follower.adopt(teller.follower.newsSince(since)));
      teller.follower.close();
      listener.follower.close();
    });

    it("that is further behind than the teller remembers is everything there is", async (t) => {
      const teller = follow(new ScriptedStore([entry("b", 8)], 9));
      const listener = follow(new ScriptedStore([entry("a", 1)], 2));
      teller.follower.start();
      listener.follower.start();
      await settle();
      const news = teller.follower.newsSince(listener.follower.newsRev);
      t.true(news.whole);
      listener.follower.adopt(news);
      t.deepEqual([...listener.believed.keys()], ["b"]);
      teller.follower.close();
      listener.follower.close();
    });

    // A VM that has just started finds everything new. If it said so, its whole region would ask it for everything.
    it("is not announced by a VM that has only just listed", async (t) => {
      const { follower } = follow(new ScriptedStore([entry("a", 70)], 80));
      follower.start();
      await settle();
      t.is(follower.saidRev, 1);
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
        whole: false,
        rev: 2,
        newsRev: 2,
        recoveredAgoMs: 100,
      };
      listener.follower.adopt(news);
      const sinceMs = systemClock.monoMs() -
        listener.follower.recoveredMonoMs;
      t.true(sinceMs >= 100 && sinceMs < 5_000);
      listener.follower.close();
    });
  });
});
