import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { EntryRefresh } from "./entry_refresh.ts";

const TIMEOUT_MS = 500;

/** A refresh by a store that takes `answerMs` to answer. */
function openRefresh(answerMs: number, vmCount = 1) {
  const clock = new ManualClock();
  const calledMs: number[] = [];
  const entries = new EntryRefresh({
    refresh: async () => {
      calledMs.push(clock.monoMs());
      await clock.sleep(answerMs);
      return true;
    },
    readsPerS: 1_000,
    sharerCount: () => vmCount,
    clock,
  });
  return { clock, calledMs, entries };
}

describe("a refresh of the upstreams' entries", () => {
  it("is one call for all that wait for it", async (t) => {
    const { clock, calledMs, entries } = openRefresh(20);
    const results = [1, 2, 3].map(() => entries.run(TIMEOUT_MS));
    await clock.advance(100);
    t.deepEqual(await Promise.all(results), [true, true, true]);
    t.is(calledMs.length, 1);
  });

  /** Guards against an answer that the store gave before the stream came. */
  it("is not one that was under way before", async (t) => {
    const { clock, calledMs, entries } = openRefresh(100);
    const first = entries.run(TIMEOUT_MS);
    await clock.advance(10);
    const arrivedMs = clock.monoMs();
    const second = entries.run(TIMEOUT_MS);
    await clock.advance(300);
    t.deepEqual(await Promise.all([first, second]), [true, true]);
    t.is(calledMs.length, 2);
    t.true(calledMs[1] >= arrivedMs);
  });

  it("fails if the store is late", async (t) => {
    const { clock, entries } = openRefresh(2 * TIMEOUT_MS);
    const result = entries.run(TIMEOUT_MS);
    await clock.advance(TIMEOUT_MS);
    t.false(await result);
  });

  it("uses no more than a part of the store's reads in a large fleet", async (t) => {
    const { clock, calledMs, entries } = openRefresh(0, 50);
    for (let i = 0; i < 10; i++) {
      void entries.run(TIMEOUT_MS);
      await clock.advance(100);
    }
    // 50 VMs that read twice every 250 ms use 400 of the 1,000 reads a second.
    t.deepEqual(calledMs.map((ms) => ms - calledMs[0]), [
      0,
      250,
      500,
      750,
      1_000,
    ]);
  });
});
