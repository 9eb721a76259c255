import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { formatStream, makeRoute } from "../src/standins/mod.ts";
import { GatewayLab, openLab, waitUntil } from "./gateway_lab.ts";

const CALL_COUNT = 40;
/** Number of events in a stream that lasts long enough to be moved. */
const LONG_STREAM_EVENTS = 160;

/** Opens a lab with `engineCount` engines, as `engineFields` says, and one route for streams that run once. */
async function openEngineLab(
  t: ExecutionContext,
  engineFields: Record<string, unknown>,
  routeFields: Record<string, unknown>,
  engineCount: number,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(
    [makeRoute({
      path_prefix: "/streamonce/",
      kind: "streaming",
      ...routeFields,
    })],
    { engine: { slots: 128, kv_capacity: 300_000, ...engineFields } },
  );
  for (let i = 0; i < engineCount; i++) await lab.addRunner();
  return lab;
}

describe("gateway", () => {
  describe("engines", () => {
    // An upstream has come back cold. Both VMs of the region see it idle and would send it all their requests; it would
    // crash.
    it("that are cold get no more than their rate limit from all VMs together", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure(undefined, { cold_s: 60, cold_rate_s: 4 });
      const cold = await lab.addRunner("north", { cold_left_ms: 60_000 });
      const warm = await lab.addRunner();
      cold.coldPerS = 4;
      warm.answerDelayMs = 30;
      const vms = [await lab.addVm(), await lab.addVm()];
      for (const vm of vms) await lab.waitUntilReady(vm);
      for (const vm of vms) {
        await waitUntil(() =>
          (vm.gateway.dump().members as { reporters: unknown[] }).reporters
            .length === 1
        );
      }
      const answers = await Promise.all(
        Array.from(
          { length: CALL_COUNT },
          (_, i) => lab.call(vms[i % 2], { path: "/safe/" }),
        ),
      );
      t.false(cold.hasColdCrashed);
      t.true(
        answers.filter(({ status }) => status === 200).length >= CALL_COUNT / 2,
      );
    });

    it("read a prompt that requests share only once, not once per request", async (t) => {
      const lab = await openEngineLab(t, {}, { sticky: true }, 3);
      const vm = await lab.addVm();
      await lab.waitUntilReady(vm);
      for (let i = 0; i < 12; i++) {
        const answer = await lab.call(vm, {
          path: "/streamonce/",
          method: "POST",
          headers: {
            "token-counts": "6100,50",
            "prompt-prefix": `book:6000,own${i}:100`,
          },
        });
        t.is(answer.status, 200);
      }
      const readTokens = lab.runners.reduce(
        (sum, runner) => sum + runner.uncachedTokens,
        0,
      );
      t.is(readTokens, 6_000 + 12 * 100);
    });

    // A stream that must run once is in progress when a long prompt arrives at the only engine. Then another engine
    // appears. The stream stops at the first one and continues at the second with its KV cache; the caller gets each
    // event once.
    it("that read a long prompt hand their streams over to idle ones, complete and without a second run", async (t) => {
      const lab = await openEngineLab(
        t,
        { stride: 8, moves: true },
        { sticky: true, gap_target_ms: 200, timeout_ms: 30_000 },
        1,
      );
      const [prefilling] = lab.runners;
      prefilling.streamEvents = LONG_STREAM_EVENTS;
      prefilling.eventGapMs = 25;
      const vm = await lab.addVm();
      await lab.waitUntilReady(vm);
      const send = (promptTokens: number) =>
        lab.call(vm, {
          path: "/streamonce/",
          method: "POST",
          headers: {
            "token-counts": `${promptTokens},${8 * LONG_STREAM_EVENTS}`,
            "prompt-prefix": `book:100,own${promptTokens}:${
              promptTokens - 100
            }`,
            "deadline-ms": "30000",
          },
        });
      const answer = send(600);
      await waitUntil(() => prefilling.arrivals.length === 1);
      prefilling.answerDelayMs = 4_000;
      const longAnswer = send(100_000);
      await waitUntil(() => prefilling.arrivals.length === 2);
      const idle = await lab.addRunner();
      idle.streamEvents = LONG_STREAM_EVENTS;
      const { body, isComplete } = await answer;
      prefilling.streamEvents = 1;
      t.true(isComplete);
      t.is(body, formatStream(0, LONG_STREAM_EVENTS));
      t.is(idle.arrivals.length, 1);
      t.true(idle.arrivals[0].headers["kv-from"] !== undefined);
      t.is((await longAnswer).status, 200);
    });

    // The upstream's answers say that it is draining; its store entry follows later. A connection that it closes must
    // not carry the next request.
    it("that drain close their connections, and no request is lost on them", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].isDraining = true;
      for (let i = 0; i < 5; i++) {
        t.is(
          (await lab.call(vm, { path: "/once/", method: "POST" })).status,
          200,
        );
      }
      t.is(lab.runners[0].arrivals.length, 5);
    });

    // A caller sends a head and then nothing. Its connection must not be kept open forever.
    it("get no request from a caller that never sends its body", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const answer = await lab.call(vm, {
        path: "/once/",
        method: "POST",
        headers: { "content-length": "10", "deadline-ms": "300" },
        isHeadOnly: true,
      });
      t.is(answer.status, 503);
      t.is(lab.runners[0].arrivals.length, 0);
      await waitUntil(() =>
        (vm.gateway.dump().front as { open: number }).open === 0
      );
    });
  });
});
