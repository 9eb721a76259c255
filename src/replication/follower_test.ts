import type { ExecutionContext } from "ava";
import { ok } from "neverthrow";
import type { Entry, Listing, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { ManualClock, systemClock } from "../base/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import { Follower } from "./follower.ts";
import { type News, Replica } from "./replica.ts";

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
    maxAnswerAgeMs: 2_500,
    pauseMs: 0,
    isReader: () => true,
    contentOf: ({ value }) => value,
    onPut: ({ key, value }) => void known.set(key, value),
    onDelete: (key) => void known.delete(key),
  });
  return { follower, known };
}

/** News that lead a VM that holds `held` to revision `rev`. */
function makeNews(
  held: Entry[],
  { entries = [], deleted = [] }: Partial<News>,
  rev = 26,
): News {
  const gone = new Set([...deleted, ...entries.map(({ key }) => key)]);
  const sender = new Replica({
    contentOf: ({ value }) => value,
    onPut: () => {},
    onDelete: () => {},
  });
  sender.applyListing({
    entries: [...held.filter(({ key }) => !gone.has(key)), ...entries],
    rev,
    more: false,
  });
  return { state: sender.state, entries, deleted };
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
      t.is(follower.state.rev, 6);
      const { entries, deleted } = follower.newsFor({ sinceRev: 4 });
      t.deepEqual(entries, [entry("b", 5, "leaves")]);
      t.deepEqual(deleted, []);
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
      const news = sender.follower.newsFor(receiver.follower.newsRequest);
      t.is(receiver.follower.adopt(news), "applied");
      t.deepEqual([...receiver.known].sort(), [...sender.known].sort());
      t.is(receiver.follower.adopt(news), "stale");
      sender.follower.close();
      receiver.follower.close();
    });

    it("brings all differences if the VM is further behind than the sender remembers", async (t) => {
      const sender = createFollower(new ScriptedStore([entry("b", 8)], 9));
      const receiver = createFollower(new ScriptedStore([entry("a", 1)], 2));
      sender.follower.start();
      receiver.follower.start();
      await settle();
      const ask = () => sender.follower.newsFor(receiver.follower.newsRequest);
      t.is(receiver.follower.adopt(ask()), "differs");
      const news = ask();
      t.deepEqual(news.deleted, ["a"]);
      t.deepEqual(news.entries, [entry("b", 8)]);
      t.is(receiver.follower.adopt(news), "applied");
      t.deepEqual([...receiver.known.keys()], ["b"]);
      sender.follower.close();
      receiver.follower.close();
    });

    // To a VM that has just started, everything is new. If that made others ask, the whole region would ask it for all.
    it("is not awaited from a VM that has only made its first listing", async (t) => {
      const other = createFollower(new ScriptedStore([entry("a", 70)], 80));
      const started = createFollower(new ScriptedStore([entry("a", 85)], 90));
      other.follower.start();
      started.follower.start();
      await settle();
      t.false(other.follower.notePeer(started.follower.state, true));
      t.is(other.follower.state.rev, 90);
      other.follower.close();
      started.follower.close();
    });

    // All entries lapse in an outage and are back within two seconds. A VM that removed them at once would have no
    // upstream left.
    it("tells when the store recovered, so that lapsed entries are kept for a while", async (t) => {
      const receiver = createFollower(new ScriptedStore([entry("a", 1)], 1));
      receiver.follower.start();
      await settle();
      const news: News = {
        ...makeNews([entry("a", 1)], { deleted: ["a"] }, 2),
        recoveredAgoMs: 100,
      };
      t.is(receiver.follower.adopt(news), "applied");
      const sinceMs = systemClock.monoMs() -
        receiver.follower.recoveredMonoMs;
      t.true(sinceMs >= 100 && sinceMs < 5_000);
      receiver.follower.close();
    });
  });

  // The store's answer that reports an evacuation may arrive after a peer's news of its end. A VM that applied it used
  // no upstream of its region for good.
  describe("an answer of the store that arrives after newer news from a peer", () => {
    async function createFollowerBehind(
      t: ExecutionContext,
      held: Entry[],
      changes: Partial<News>,
      rev?: number,
    ) {
      const store = new ManualStore(held, 10);
      const { follower, known } = createFollower(store);
      follower.start();
      await settle();
      t.is(follower.adopt(makeNews(held, changes, rev)), "applied");
      return { store, follower, known };
    }

    it("does not restore a deleted key that was never held", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        t,
        [entry("other", 9)],
        { deleted: ["a"] },
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], ["other"]);
      follower.close();
    });

    it("does not restore a deleted key that was held", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        t,
        [entry("a", 9)],
        { deleted: ["a"] },
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], []);
      follower.close();
    });

    it("does not restore a key that was deleted among other changes", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        t,
        [entry("a", 9), entry("b", 10)],
        { entries: [entry("b", 25)], deleted: ["a"] },
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], ["b"]);
      follower.close();
    });

    it("does not restore a deleted key after thousands of further deletions", async (t) => {
      const otherDeletions = Array.from({ length: 2_000 }, (_, i) => `k${i}`);
      const { store, follower, known } = await createFollowerBehind(
        t,
        [entry("a", 9)],
        { deleted: ["a", ...otherDeletions] },
        3_000,
      );
      await store.answer([put(entry("a", 18))], 20);
      t.deepEqual([...known.keys()], []);
      follower.close();
    });

    it("does not delete a key that was created again since", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        t,
        [entry("a", 9)],
        { entries: [entry("a", 25)] },
      );
      await store.answer([deletion("a", 18)], 20);
      t.deepEqual([...known.keys()], ["a"]);
      follower.close();
    });

    it("still applies the changes that are newer than that news", async (t) => {
      const { store, follower, known } = await createFollowerBehind(
        t,
        [entry("a", 9)],
        { deleted: ["a"] },
      );
      await store.answer([put(entry("a", 18)), put(entry("a", 30))], 31);
      t.deepEqual([...known.keys()], ["a"]);
      follower.close();
    });
  });

  it("lists the store itself if it does not come to agree with those that the store answers", async (t) => {
    const clock = new ManualClock();
    const known = new Map<string, string>();
    let listing: Listing = { entries: [entry("a", 1)], rev: 2, more: false };
    const store = {
      list: () => Promise.resolve(ok(listing)),
      changes: () => new Promise<never>(() => {}),
    };
    const follower = new Follower({
      store,
      prefix: "",
      clock,
      log: SILENT_LOG,
      waitMs: 1,
      maxAnswerAgeMs: 2_500,
      pauseMs: 0,
      isReader: () => false,
      contentOf: ({ value }) => value,
      onPut: ({ key, value }) => void known.set(key, value),
      onDelete: (key) => void known.delete(key),
    });
    follower.start();
    await clock.advance(1_000);
    listing = { entries: [entry("b", 8)], rev: 9, more: false };
    const elsewhere = { rev: 9, digest: "of another program version" };
    for (let i = 0; i < 9; i++) {
      t.true(follower.notePeer(elsewhere, true));
      await clock.advance(1_000);
    }
    t.deepEqual([...known.keys()], ["a"]);
    await clock.advance(2_000);
    t.deepEqual([...known.keys()], ["b"]);
    follower.close();
  });

  it("does not restore a key from a peer that is behind its own listing", async (t) => {
    const { follower, known } = createFollower(
      new ScriptedStore([entry("b", 8)], 40),
    );
    follower.start();
    await settle();
    const news = makeNews([entry("b", 8)], { entries: [entry("a", 25)] });
    t.is(follower.adopt(news), "stale");
    t.deepEqual([...known.keys()], ["b"]);
    follower.close();
  });
});
