import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { ORIGIN_TTL_MS, type OriginRow } from "../region/mod.ts";
import { MemoryKeyValue } from "../standins/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import { StoredOrigins } from "./stored_origins.ts";

const PREFIX = "origins/";
const KEY = "aaaaaaaa";
const OTHER_KEY = "bbbbbbbb";
const TICK_MS = 250;

/** Processes that store origins, and a store that outlives them. */
class Lab {
  readonly clock = new ManualClock();
  readonly store = new MemoryKeyValue({ clock: this.clock });

  start(processId: string, sharers = 7): StoredOrigins {
    return new StoredOrigins({
      store: this.store,
      prefix: PREFIX,
      processId,
      leastLeaseMs: 1_000,
      writesPerS: 400,
      sharerCount: () => sharers,
      onWritten: () => {},
      clock: this.clock,
      log: SILENT_LOG,
    });
  }

  async run(
    process: StoredOrigins,
    ms: number,
    rows: readonly OriginRow[],
  ): Promise<void> {
    for (let atMs = 0; atMs < ms; atMs += TICK_MS) {
      process.tick(() => rows);
      await this.clock.advance(TICK_MS);
    }
  }

  /** Finds an origin, and lets the time pass that it takes. */
  async find(process: StoredOrigins, key: string) {
    const finding = process.find(key);
    await this.clock.advance(1_000);
    return finding;
  }

  get calls(): number {
    return this.store.counts().other;
  }
}

describe("stored origins", () => {
  /** Guards against a version that was read before its upstream turned out to be another process. */
  it("are read again where it can't be told any more which version began a stream", async (t) => {
    const lab = new Lab();
    const ended = lab.start("a");
    await lab.run(ended, 1_000, [["v1", KEY]]);
    const reading = lab.start("b");
    t.like(await lab.find(reading, KEY), { type: "known", version: "v1" });
    await lab.run(ended, 1_000, [[null, KEY]]);
    ended.close();
    t.deepEqual(await lab.find(reading, KEY), { type: "ambiguous" });
  });

  it("are found by a process that starts after all others have ended", async (t) => {
    const lab = new Lab();
    const ended = lab.start("a");
    await lab.run(ended, 1_000, [["v1", KEY], [null, OTHER_KEY]]);
    ended.close();
    const started = lab.start("b");
    t.like(await lab.find(started, KEY), {
      type: "known",
      version: "v1",
      source: "stored",
    });
    t.deepEqual(await lab.find(started, OTHER_KEY), { type: "ambiguous" });
    t.is(await lab.find(started, "cccccccc"), undefined);
  });

  it("are ambiguous if two processes stored different ones", async (t) => {
    const lab = new Lab();
    await lab.run(lab.start("a"), 500, [["v1", KEY]]);
    await lab.run(lab.start("b"), 500, [["v2", KEY]]);
    t.deepEqual(await lab.find(lab.start("c"), KEY), { type: "ambiguous" });
  });

  it("last as long as their process runs, and a while after", async (t) => {
    const lab = new Lab();
    const process = lab.start("a");
    await lab.run(process, 3 * ORIGIN_TTL_MS, [["v1", KEY]]);
    process.close();
    t.truthy(await lab.find(lab.start("b"), KEY));
    await lab.clock.advance(ORIGIN_TTL_MS);
    t.is(await lab.find(lab.start("c"), KEY), undefined);
  });

  it("are written again after their lease was lost", async (t) => {
    const lab = new Lab();
    const process = lab.start("a");
    await lab.run(process, 1_000, [["v1", KEY]]);
    lab.store.faults.set([{ outage: "refuse" }]);
    await lab.run(process, 2 * ORIGIN_TTL_MS, [["v1", KEY]]);
    lab.store.faults.set([]);
    await lab.run(process, ORIGIN_TTL_MS, [["v1", KEY]]);
    t.truthy(await lab.find(lab.start("b"), KEY));
  });

  it("cost no calls while nothing is new, and few in a large fleet", async (t) => {
    const lab = new Lab();
    const process = lab.start("a");
    await lab.run(process, 1_000, []);
    t.is(lab.calls, 0);
    await lab.run(process, 5_000, [["v1", KEY]]);
    t.is(lab.calls, 2);
    const large = lab.start("b", 300);
    const before = lab.calls;
    for (let second = 0; second < 9; second++) {
      await lab.run(large, 1_000, [["v1", `aaaaaaa${second}`]]);
    }
    t.true(lab.calls - before <= 5, `${lab.calls - before} calls`);
  });

  it("are tried once a second while the store refuses them", async (t) => {
    const lab = new Lab();
    const process = lab.start("a");
    lab.store.faults.set([{ outage: "refuse" }]);
    for (let second = 0; second < 5; second++) {
      await lab.run(process, 1_000, [["v1", `aaaaaaa${second}`]]);
    }
    t.true(lab.calls <= 6, `${lab.calls} calls`);
  });

  it("that can't be read name no stream", async (t) => {
    const lab = new Lab();
    for (const [index, text] of ["", "{}", "[1]", '[["v1"]]'].entries()) {
      await lab.store.put(`${PREFIX}${index}`, text, {}, "other");
    }
    await lab.run(lab.start("a"), 500, [["v1", KEY]]);
    t.truthy(await lab.find(lab.start("b"), KEY));
  });
});
