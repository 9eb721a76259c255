import { describe, it } from "../base/describe.ts";
import { Batch, type BatchEvent } from "./batch.ts";

const TIMING = {
  slots: 1,
  prefillTokensPerS: 1000,
  decodeTokensPerS: 100,
  streamTokensPerS: 50,
  cacheTokens: 1024,
};

function makeJob(
  id: number,
  priority: number,
  prompt: string,
  outputTokens = 2,
) {
  return { id, priority, prompt, outputTokens };
}

/** Steps by 10 ms until the batch is empty; returns each event with its time. */
function runUntilEmpty(batch: Batch, fromMs = 0): [number, BatchEvent][] {
  const events: [number, BatchEvent][] = [];
  for (let nowMs = fromMs; batch.running + batch.waiting > 0; nowMs += 10) {
    for (const event of batch.step(nowMs, 1)) events.push([nowMs, event]);
  }
  return events;
}

function startedEvents(events: readonly [number, BatchEvent][]) {
  return events.flatMap(([, event]) => event.type === "started" ? [event] : []);
}

describe("a stand-in engine's batch", () => {
  it("runs the lowest priority value first, and equal priorities in order of arrival", (t) => {
    const batch = new Batch(TIMING);
    batch.submit(makeJob(1, 5, "x"), 0);
    batch.submit(makeJob(2, 0, "x"), 0);
    batch.submit(makeJob(3, 5, "x"), 0);
    t.deepEqual(startedEvents(runUntilEmpty(batch)).map(({ id }) => id), [
      2,
      1,
      3,
    ]);
  });

  it("generates the first token after the prefill and the others at the stream's rate", (t) => {
    const batch = new Batch(TIMING);
    batch.submit(makeJob(1, 0, "x".repeat(400), 3), 0);
    const tokens = runUntilEmpty(batch).filter(([, event]) =>
      event.type === "tokens"
    );
    // 100 prompt tokens at 1,000 a second, then one token every 20 ms.
    t.deepEqual(tokens.map(([atMs]) => atMs), [100, 120, 140]);
  });

  it("finds a prompt's prefix in the cache until the bounded cache evicts it", (t) => {
    const batch = new Batch(TIMING);
    const prompts = ["a", "a", "b", "a"].map((letter) =>
      letter.repeat(4 * 1024)
    );
    prompts.forEach((prompt, id) => batch.submit(makeJob(id, 0, prompt), 0));
    const cachedTokens = startedEvents(runUntilEmpty(batch)).map((event) =>
      event.cachedTokens
    );
    t.deepEqual(cachedTokens, [0, 1024, 0, 0]);
  });

  it("frees the slot of a canceled request", (t) => {
    const batch = new Batch(TIMING);
    batch.submit(makeJob(1, 0, "x", 1_000_000), 0);
    batch.submit(makeJob(2, 0, "x"), 0);
    batch.step(0, 1);
    batch.cancel(1);
    t.deepEqual(startedEvents(runUntilEmpty(batch, 10)).map(({ id }) => id), [
      2,
    ]);
  });
});
