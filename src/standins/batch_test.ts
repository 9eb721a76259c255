import { describe, it } from "../base/describe.ts";
import { Batch, type BatchEvent } from "./batch.ts";

const timing = {
  slots: 1,
  prefillTokensPerS: 1000,
  decodeTokensPerS: 100,
  streamTokensPerS: 50,
  cacheTokens: 1024,
};

function job(id: number, priority: number, prompt: string, outputTokens = 2) {
  return { id, priority, prompt, outputTokens };
}

/** Steps by 10 ms until the batch is empty; each event with its time. */
function runOut(batch: Batch, fromMs = 0): [number, BatchEvent][] {
  const seen: [number, BatchEvent][] = [];
  for (let nowMs = fromMs; batch.running + batch.waiting > 0; nowMs += 10) {
    for (const event of batch.step(nowMs, 1)) seen.push([nowMs, event]);
  }
  return seen;
}

function starts(seen: readonly [number, BatchEvent][]) {
  return seen.flatMap(([, event]) => event.type === "started" ? [event] : []);
}

describe("a stand-in engine's batch", () => {
  it("runs the lowest priority value first, and equals in order", (t) => {
    const batch = new Batch(timing);
    batch.submit(job(1, 5, "x"), 0);
    batch.submit(job(2, 0, "x"), 0);
    batch.submit(job(3, 5, "x"), 0);
    t.deepEqual(starts(runOut(batch)).map(({ id }) => id), [2, 1, 3]);
  });

  it("gives the first token after the prefill, the others at the stream's rate", (t) => {
    const batch = new Batch(timing);
    batch.submit(job(1, 0, "x".repeat(400), 3), 0);
    const tokens = runOut(batch).filter(([, event]) => event.type === "tokens");
    // 100 tokens at 1,000 a second, then one each 20 ms.
    t.deepEqual(tokens.map(([atMs]) => atMs), [100, 120, 140]);
  });

  it("finds a prompt's prefix warm until its bounded cache drops it", (t) => {
    const batch = new Batch(timing);
    const prompts = ["a", "a", "b", "a"].map((letter) =>
      letter.repeat(4 * 1024)
    );
    prompts.forEach((prompt, id) => batch.submit(job(id, 0, prompt), 0));
    const warm = starts(runOut(batch)).map((event) => event.warm);
    t.deepEqual(warm, [0, 1024, 0, 0]);
  });

  it("frees the slot of a canceled request", (t) => {
    const batch = new Batch(timing);
    batch.submit(job(1, 0, "x", 1_000_000), 0);
    batch.submit(job(2, 0, "x"), 0);
    batch.step(0, 1);
    batch.cancel(1);
    t.deepEqual(starts(runOut(batch, 10)).map(({ id }) => id), [2]);
  });
});
