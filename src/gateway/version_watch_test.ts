import { ok } from "neverthrow";
import type { KeyValue } from "../adapters/mod.ts";
import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { ORIGIN_TTL_MS } from "../region/mod.ts";
import { MemoryKeyValue } from "../standins/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import { VersionWatch } from "./version_watch.ts";

const KEY = "versions";
const SERVICE = "s";
const TICK_MS = 250;

/** VMs that see versions, and a store that outlives them. */
class Lab {
  readonly clock = new ManualClock();
  readonly #first = new MemoryKeyValue({ clock: this.clock });
  readonly #watches = new Map<VersionWatch, Set<string>>();

  start(
    versions: readonly string[],
    { isFirstStart = false, isWriter = true } = {},
  ): VersionWatch {
    const serving = new Set(versions);
    const watch = new VersionWatch({
      fleet: { services: () => [SERVICE], versionsOf: () => serving },
      store: new MemoryKeyValue({
        clock: this.clock,
        store: this.#first.store,
        faults: this.#first.faults,
      }),
      key: KEY,
      isFirstStart,
      isWriter: () => isWriter,
      clock: this.clock,
      log: SILENT_LOG,
    });
    this.#watches.set(watch, serving);
    return watch;
  }

  end(watch: VersionWatch): void {
    watch.close();
    this.#watches.delete(watch);
  }

  serve(watch: VersionWatch, versions: readonly string[]): void {
    const serving = this.#watches.get(watch)!;
    serving.clear();
    for (const version of versions) serving.add(version);
  }

  async run(ms: number, beforeTick: () => void = () => {}): Promise<void> {
    for (let atMs = 0; atMs < ms; atMs += TICK_MS) {
      beforeTick();
      for (const watch of this.#watches.keys()) watch.tick();
      await this.clock.advance(TICK_MS);
    }
  }

  get faults() {
    return this.#first.faults;
  }

  async record(): Promise<string | undefined> {
    const found = await this.#first.get(KEY, "other");
    return found.isOk() ? found.value?.value : undefined;
  }

  write(text: string) {
    return this.#first.put(KEY, text, {}, "other");
  }
}

const recorded = (...versions: string[]) =>
  JSON.stringify([[SERVICE, versions]]);

describe("the versions in service", () => {
  it("are known to a process that starts after all others have ended", async (t) => {
    const lab = new Lab();
    const before = lab.start(["v1"], { isFirstStart: true });
    await lab.run(1_000);
    lab.end(before);
    const after = lab.start(["v2"]);
    await lab.run(TICK_MS);
    t.true(after.knowsAll);
    t.deepEqual(after.recent(SERVICE), ["v2", "v1"]);
    await lab.run(ORIGIN_TTL_MS + 1_000);
    t.is(await lab.record(), recorded("v2"));
  });

  it("are unknown to a process that starts while the store is away", async (t) => {
    const lab = new Lab();
    await lab.write(recorded("v1"));
    lab.faults.set([{ outage: "refuse" }]);
    const watch = lab.start(["v2"]);
    await lab.run(2_000);
    t.false(watch.knowsAll);
    lab.faults.set([]);
    await lab.run(2_000);
    t.true(watch.knowsAll);
    t.deepEqual(watch.recent(SERVICE), ["v2", "v1"]);
  });

  for (const [name, text] of [["missing", undefined], ["unreadable", "{}"]]) {
    it(`are unknown where the record is ${name}, which is then made anew`, async (t) => {
      const lab = new Lab();
      if (text !== undefined) await lab.write(text);
      const watch = lab.start(["v2"]);
      await lab.run(2_000);
      t.false(watch.knowsAll);
      await lab.run(ORIGIN_TTL_MS);
      t.true(watch.knowsAll);
      t.is(await lab.record(), recorded("v2"));
    });
  }

  it("are not taken for complete when the record is gone at a later start", async (t) => {
    const lab = new Lab();
    const watch = lab.start(["v1"], { isFirstStart: true });
    await lab.run(TICK_MS);
    t.true(watch.knowsAll);
    lab.end(watch);
    await lab.write("{}");
    const later = lab.start(["v1"]);
    await lab.run(TICK_MS);
    t.false(later.knowsAll);
  });

  it("are recorded whole by VMs that see different ones", async (t) => {
    const lab = new Lab();
    lab.start(["v1"], { isFirstStart: true });
    lab.start(["v2"], { isFirstStart: true });
    await lab.run(1_000);
    t.is(await lab.record(), recorded("v1", "v2"));
  });

  it("stay recorded while a stream runs whose version other VMs no longer see", async (t) => {
    const lab = new Lab();
    const running = lab.start(["v1", "v2"], { isFirstStart: true });
    const other = lab.start(["v1", "v2"], { isFirstStart: true });
    await lab.run(1_000);
    for (const watch of [running, other]) lab.serve(watch, ["v2"]);
    await lab.run(
      3 * ORIGIN_TTL_MS,
      () => running.noteRunning(SERVICE, "v1"),
    );
    t.is(await lab.record(), recorded("v1", "v2"));
  });

  /** Guards against a stream whose version nobody but its own VM knows of, and that VM is no writer. */
  it("stay recorded while a stream of a version that left runs at a VM that is no writer", async (t) => {
    const lab = new Lab();
    const running = lab.start(["v1", "v2"], { isWriter: false });
    const lead = lab.start(["v1", "v2"], { isFirstStart: true });
    await lab.run(1_000);
    for (const watch of [running, lead]) lab.serve(watch, ["v2"]);
    const runs = () => running.noteRunning(SERVICE, "v1");
    await lab.run(ORIGIN_TTL_MS + 10_000, runs);
    t.is(await lab.record(), recorded("v1", "v2"));
    await lab.run(ORIGIN_TTL_MS + 10_000);
    t.is(await lab.record(), recorded("v2"));
  });

  /** Guards against a write by each VM of a large fleet when a version comes. */
  it("are not written by VMs whose running streams are of versions that are recorded", async (t) => {
    const lab = new Lab();
    const watches = [
      lab.start(["v1", "v2"], { isFirstStart: true }),
      lab.start(["v1", "v2"], { isFirstStart: true, isWriter: false }),
    ];
    await lab.run(1_000);
    const [lead, running] = watches;
    const runs = () => running.noteRunning(SERVICE, "v1");
    for (const watch of watches) lab.serve(watch, ["v2"]);
    await lab.run(1_000, runs);
    t.true(running.knowsAll);
    lab.end(lead);
    lab.serve(running, ["v2", "v3"]);
    await lab.run(1_000, runs);
    t.is(await lab.record(), recorded("v1", "v2"));
  });

  /** Guards against a record that was read before a long pause and is taken for what served meanwhile. */
  it("are not known from a record that was asked for before the process was held up", async (t) => {
    const clock = new ManualClock();
    const asked: ((found: unknown) => void)[] = [];
    const store = {
      generation: undefined,
      get: () => new Promise((resolve) => asked.push(resolve)),
    } as unknown as KeyValue;
    const watch = new VersionWatch({
      fleet: { services: () => [SERVICE], versionsOf: () => new Set(["v1"]) },
      store,
      key: KEY,
      isFirstStart: false,
      isWriter: () => false,
      clock,
      log: SILENT_LOG,
    });
    const record = ok({ key: KEY, value: recorded("v1"), rev: 1 });
    watch.tick();
    await clock.advance(10_000);
    watch.tick();
    asked[0](record);
    await clock.advance(TICK_MS);
    t.false(watch.knowsAll);
    watch.tick();
    t.is(asked.length, 2);
    asked[1](record);
    await clock.advance(TICK_MS);
    t.true(watch.knowsAll);
  });

  it("are written by writers only, and once", async (t) => {
    const lab = new Lab();
    lab.start(["v1"], { isFirstStart: true, isWriter: false });
    await lab.run(1_000);
    t.is(await lab.record(), undefined);
    lab.start(["v1"], { isFirstStart: true });
    await lab.run(1_000);
    t.is(await lab.record(), recorded("v1"));
    const before = await lab.write(recorded("v1"));
    await lab.run(5_000);
    t.is((await lab.write(""))._unsafeUnwrap(), before._unsafeUnwrap() + 1);
  });

  describe("at which a stream is about to begin", () => {
    /** Waits for a version; returns how long that took. */
    async function measureWait(lab: Lab, watch: VersionWatch, version: string) {
      const startMs = lab.clock.monoMs();
      let endMs = Infinity;
      void watch.waitUntilRecorded(SERVICE, version).then(() => {
        endMs = lab.clock.monoMs();
      });
      while (endMs === Infinity) await lab.clock.advance(10);
      return endMs - startMs;
    }

    /** Guards against a stream of a version that no VM knows of which starts after all have ended. */
    for (const isWriter of [true, false]) {
      it(`are recorded before it begins by a VM that is ${isWriter ? "a" : "no"} writer`, async (t) => {
        const lab = new Lab();
        const watch = lab.start(["v1"], { isFirstStart: true, isWriter });
        t.true(await measureWait(lab, watch, "v1") < 100);
        t.is(await lab.record(), recorded("v1"));
        lab.serve(watch, ["v1", "v2"]);
        t.true(await measureWait(lab, watch, "v2") < 100);
        t.is(await lab.record(), recorded("v1", "v2"));
        t.is(await measureWait(lab, watch, "v2"), 0);
      });
    }

    it("are recorded anew once they have gone and are back", async (t) => {
      const lab = new Lab();
      const watch = lab.start(["v1", "v2"], { isFirstStart: true });
      await measureWait(lab, watch, "v1");
      lab.serve(watch, ["v2"]);
      await lab.run(ORIGIN_TTL_MS + 1_000);
      t.is(await lab.record(), recorded("v2"));
      lab.serve(watch, ["v1", "v2"]);
      await measureWait(lab, watch, "v1");
      t.is(await lab.record(), recorded("v1", "v2"));
    });

    it("keep it waiting only for a moment while the store is away, and later ones not at all", async (t) => {
      const lab = new Lab();
      const watch = lab.start(["v1"], { isFirstStart: true });
      await lab.run(1_000);
      lab.faults.set([{ outage: "refuse" }]);
      lab.serve(watch, ["v1", "v2"]);
      t.true(await measureWait(lab, watch, "v2") <= 510);
      t.is(await measureWait(lab, watch, "v2"), 0);
      lab.faults.set([]);
      await lab.run(2_000);
      t.is(await lab.record(), recorded("v1", "v2"));
    });

    it("don't keep it waiting where there is no record, from which nobody concludes anything", async (t) => {
      const lab = new Lab();
      const watch = lab.start(["v1"]);
      await lab.run(TICK_MS);
      t.is(await measureWait(lab, watch, "v1"), 0);
    });
  });
});
