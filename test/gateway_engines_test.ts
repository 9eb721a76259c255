import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { formatStream, makeRoute } from "../src/standins/mod.ts";
import { GatewayLab, openLab, waitUntil } from "./gateway_lab.ts";

const CALL_COUNT = 40;
/** Events of a stream that lasts long enough to move. */
const LONG_STREAM_EVENTS = 160;

/** A lab of one route of streams that run once, whose engines are as given, and that many of them. */
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
    // An upstream came back cold. Both VMs of the region see it free and would send it all they have; it would crash.
    it("that are cold get no more than their rate from all VMs together", async (t) => {
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

    it("read a prompt that requests share once, not once each", async (t) => {
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

    // A stream that must run once is under way when a long prompt comes to its engine, the only one. Then another engine
    // appears. The stream stops at the first, goes on at the second with its memory, and the caller gets each event once.
    it("that read a long prompt lose their streams to calm ones, whole and run once", async (t) => {
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

    // The upstream says on its answers that it leaves; its store entry comes later. A connection that it ends must not
    // carry the next request.
    it("that leave end their connections, and no request is lost on them", async (t) => {
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

    // A caller sends a head and then nothing: its connection may not be held for ever.
    it("are not reached by a caller that never sends its body", async (t) => {
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
