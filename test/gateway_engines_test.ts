import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { routeRow, streamText } from "../src/standins/mod.ts";
import { GatewayLab, openLab, until } from "./gateway_lab.ts";

const CALLS = 40;
/** Events of a stream that lasts long enough to move. */
const MOVED_EVENTS = 160;

/** A lab of one route of streams that run once, whose engines are as given, and that many of them. */
async function openEngines(
  t: ExecutionContext,
  engine: Record<string, unknown>,
  route: Record<string, unknown>,
  engines: number,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(
    [routeRow({ path_prefix: "/streamonce/", kind: "streaming", ...route })],
    { engine: { slots: 128, kv_capacity: 300_000, ...engine } },
  );
  for (let i = 0; i < engines; i++) await lab.addRunner();
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
      warm.workMs = 30;
      const vms = [await lab.addVm(), await lab.addVm()];
      for (const vm of vms) await lab.ready(vm);
      for (const vm of vms) {
        await until(() =>
          (vm.gateway.dump().members as { reporters: unknown[] }).reporters
            .length === 1
        );
      }
      const answers = await Promise.all(
        Array.from(
          { length: CALLS },
          (_, i) => lab.call(vms[i % 2], { path: "/safe/" }),
        ),
      );
      t.false(cold.isCrashed);
      t.true(
        answers.filter(({ status }) => status === 200).length >= CALLS / 2,
      );
    });

    it("read a prompt that requests share once, not once each", async (t) => {
      const lab = await openEngines(t, {}, { sticky: true }, 3);
      const vm = await lab.addVm();
      await lab.ready(vm);
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
        (sum, runner) => sum + runner.readTokens,
        0,
      );
      t.is(readTokens, 6_000 + 12 * 100);
    });

    // A stream that must run once is under way when a long prompt comes to its engine, the only one. Then another engine
    // appears. The stream stops at the first, goes on at the second with its memory, and the caller gets each event once.
    it("that read a long prompt lose their streams to calm ones, whole and run once", async (t) => {
      const lab = await openEngines(
        t,
        { stride: 8, moves: true },
        { sticky: true, gap_target_ms: 200, timeout_ms: 30_000 },
        1,
      );
      const [reading] = lab.runners;
      reading.streamEvents = MOVED_EVENTS;
      reading.eventGapMs = 25;
      const vm = await lab.addVm();
      await lab.ready(vm);
      const ask = (tokens: number) =>
        lab.call(vm, {
          path: "/streamonce/",
          method: "POST",
          headers: {
            "token-counts": `${tokens},${8 * MOVED_EVENTS}`,
            "prompt-prefix": `book:100,own${tokens}:${tokens - 100}`,
            "deadline-ms": "30000",
          },
        });
      const answer = ask(600);
      await until(() => reading.arrivals.length === 1);
      reading.workMs = 4_000;
      const long = ask(100_000);
      await until(() => reading.arrivals.length === 2);
      const calm = await lab.addRunner();
      calm.streamEvents = MOVED_EVENTS;
      const { body, whole } = await answer;
      reading.streamEvents = 1;
      t.true(whole);
      t.is(body, streamText(0, MOVED_EVENTS));
      t.is(calm.arrivals.length, 1);
      t.true(calm.arrivals[0].headers["kv-from"] !== undefined);
      t.is((await long).status, 200);
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
        keepOpen: true,
      });
      t.is(answer.status, 503);
      t.is(lab.runners[0].arrivals.length, 0);
      await until(() =>
        (vm.gateway.dump().front as { open: number }).open === 0
      );
    });
  });
});
