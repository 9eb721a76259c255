import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import { StartQueue } from "./start_queue.ts";

describe("start queue", () => {
  it("starts one request in each turn, in the order of arrival", async (t) => {
    const queue = new StartQueue(systemClock);
    const begun: number[] = [];
    const at: number[] = [];
    let turn = 0;
    const count = () => {
      turn++;
      if (begun.length < 5) setImmediate(count);
    };
    setImmediate(count);
    await Promise.all(Array.from({ length: 5 }, async (_, i) => {
      await queue.waitTurn();
      begun.push(i);
      at.push(turn);
    }));
    t.deepEqual(begun, [0, 1, 2, 3, 4]);
    t.is(new Set(at).size, 5);
    t.true(at[0] >= 2, "the sockets were polled in between");
  });

  // Requests that can't start soon are refused, so the estimate has to follow the actual length of the turns.
  it("tells how long a new request would wait", async (t) => {
    const queue = new StartQueue(systemClock);
    t.is(queue.waitMs, 0);
    const slow = setInterval(() => {
      const endMs = performance.now() + 20;
      while (performance.now() < endMs);
    }, 1);
    const all = Array.from({ length: 30 }, () => queue.waitTurn());
    await all[14];
    t.true(queue.waitMs > 100, `${queue.waitMs} ms`);
    await Promise.all(all);
    clearInterval(slow);
    t.is(queue.waitMs, 0);
  });
});
