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

/** A store with one given listing and given batches of changes; later polls wait forever. */
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

/** A store that lists once, and answers polls for changes when the test says so. */
class ManualStore {
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

  /** Answers the oldest poll. */
  async answer(events: WatchEvent[], rev: number): Promise<void> {
    this.#waiting.shift()!({ events, rev });
    await settle();
  }
}

/** A follower, and the entries that it reported. */
function createFollower(store: ScriptedStore | ManualStore) {
  const known = new Map<string, string>();
  const follower = new Follower({
    store,
    prefix: "",
    clock: systemClock,
    log: SILENT_LOG,
    waitMs: 1,
    pauseMs: 0,
    isReader: () => true,
    isNews: ({ key, value }) => known.get(key) !== value,
    isRenewed: true,
    onPut: ({ key, value }) => void known.set(key, value),
    onDelete: (key) => void known.delete(key),
  });
  return { follower, known };
}

/** Lets the follower process the answers of its store. */
async function settle(): Promise<void> {
  for (let i = 0; i < 20; i++) await new Promise(setImmediate);
}

const put = (item: Entry): WatchEvent => ({ type: "put", entry: item });
const deletion = (key: string, rev: number): WatchEvent => ({
  type: "delete",
  key,
  rev,
});

describe("follower", () => {
  describe("news for a VM that does not poll the store itself", () => {
    // Every upstream rewrites its entry each second as a heartbeat. If these were passed on, each VM would get the
    // whole list every second, which took a tenth of a small VM's link.
    it("leaves out entries that have not changed", async (t) => {
      const store = new ScriptedStore([entry("a", 1), entry("b", 2)], 2, [
        [put(entry("a", 3)), put(entry("b", 4))],
        [put(entry("b", 5, "leaves"))],
        [put(entry("a", 6))],
      ]);
      const { follower } = createFollower(store);
      follower.start();
      await settle();
      t.is(follower.announcedRev, 5);
      const { entries, deleted, present } = follower.newsSince(4);
      t.deepEqual(entries, [entry("b", 5, "leaves")]);
      t.deepEqual(deleted, []);
      t.is(present, undefined);
      follower.close();
    });

    it("brings it to the same entries, deletions included", async (t) => {
      const sender = createFollower(
        new ScriptedStore([entry("a", 1), entry("b", 2)], 2, [
          [deletion("a", 3), put(entry("c", 4)), put(entry("b", 5, "leaves"))],
        ]),
      );
      const receiver = createFollower(
        new ScriptedStore([entry("a", 1), entry("b", 2)], 2),
      );
      sender.follower.start();
      receiver.follower.start();
      await settle();
      const since = receiver.follower.newsRev;
      t.true(
        receiver.follower.adopt(sender.follower.newsSince(since), "teller"),
      );
      t.deepEqual([...receiver.known].sort(), [...sender.known].sort());
      t.false(
        receiver.follower.adopt(sender.follower.newsSince(since), "teller"),
      );
      sender.follower.close();
      receiver.follower.close();
    });

    it("lists all existing keys if the VM is further behind than the sender remembers", async (t) => {
      const sender = createFollower(new ScriptedStore([entry("b", 8)], 9));
      const receiver = createFollower(new ScriptedStore([entry("a", 1)], 2));
      sender.follower.start();
      receiver.follower.start();
      await settle();
      const news = sender.follower.newsSince(receiver.follower.newsRev);
      t.deepEqual(news.present, ["b"]);
      t.deepEqual(news.entries, [entry("b", 8)]);
      receiver.follower.adopt(news, "teller");
      t.deepEqual([...receiver.known.keys()], ["b"]);
      sender.follower.close();
      receiver.follower.close();
    });

    // To a VM that has just started, everything is new. If it announced that, its whole region would ask it for
    // everything.
    it("is not announced by a VM that has only made its first listing", async (t) => {
      const { follower } = createFollower(
        new ScriptedStore([entry("a", 70)], 80),
      );
      follower.start();
      await settle();
      t.is(follower.announcedRev, 1);
      t.is(follower.newsRev, 70);
      follower.close();
    });

    // All entries lapse in an outage and are back within two seconds. A VM that removed them at once would have no
    // upstream left.
    it("tells when the store recovered, so that lapsed entries are kept for a while", async (t) => {
      const receiver = createFollower(new ScriptedStore([entry("a", 1)], 1));
      receiver.follower.start();
      await settle();
      const news: News = {
        entries: [],
        deleted: [{ key: "a", rev: 2 }],
        rev: 2,
        newsRev: 2,
        recoveredAgoMs: 100,
      };
      receiver.follower.adopt(news, "teller");
      const sinceMs = systemClock.monoMs() -
        receiver.follower.recoveredMonoMs;
      t.true(sinceMs >= 100 && sinceMs < 5_000);
      receiver.follower.close();
    });
  });

  // The store's answer that reports an evacuation may arrive after a peer's news of its end. A VM that applied it used
  // no upstream of its region for good.
  describe("an answer of the store that arrives after newer news from a peer", () => {
    const makeNews = (news: Partial<News>): News => ({
      entries: [],
      deleted: [],
      rev: 26,
      newsRev: 26,
      ...news,
    });

    async function createFollowerBehind(held: Entry[], news: News) {
      const store = new ManualStore(held, 10);
      const { follower, known } = createFollower(store);
      follower.start();
      await settle();
      follower.adopt(news, "peer");
      return { store, follower, known };
    }

    it("does not restore a deleted key that was never held", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        [entry("other", 9)],
        makeNews({ deleted: [{ key: "a", rev: 24 }] }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], ["other"]);
      follower.close();
    });

    it("does not restore a deleted key that was held", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        [entry("a", 9)],
        makeNews({ deleted: [{ key: "a", rev: 24 }] }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], []);
      follower.close();
    });

    it("does not restore a key that is missing from the list of existing keys", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        [entry("a", 9), entry("b", 10)],
        makeNews({ entries: [entry("b", 25)], present: ["b"] }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], ["b"]);
      follower.close();
    });

    it("does not restore a deleted key after thousands of further deletions", async (t) => {
      const otherDeletions = Array.from(
        { length: 2_000 },
        (_, i) => ({ key: `k${i}`, rev: 100 + i }),
      );
      const { store, follower, known } = await createFollowerBehind(
        [entry("a", 9)],
        makeNews({
          deleted: [{ key: "a", rev: 24 }, ...otherDeletions],
          rev: 3_000,
          newsRev: 2_999,
        }),
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], []);
      follower.close();
    });

    it("does not delete a key that was created again since", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        [entry("a", 9)],
        makeNews({ entries: [entry("a", 25)] }),
      );
      await store.answer([deletion("a", 18)], 20);
      t.deepEqual([...known.keys()], ["a"]);
      follower.close();
    });

    it("still applies the changes that are newer than that news", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        [entry("a", 9)],
        makeNews({ deleted: [{ key: "a", rev: 24 }] }),
      );
      await store.answer([put(entry("a", 18)), put(entry("a", 30))], 31);
      t.deepEqual([...known.keys()], ["a"]);
      follower.close();
    });
  });

  it("does not restore a key from a peer that is behind its own listing", async (t) => {
    const { follower, known } = createFollower(
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
    t.deepEqual([...known.keys()], ["b"]);
    follower.close();
  });
});
