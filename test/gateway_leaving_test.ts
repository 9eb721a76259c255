import { describe, it } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { GatewayLab, openLab, openRegion, waitUntil } from "./gateway_lab.ts";
import { callSteadily } from "./steady_calls.ts";

/** The users' bound: how long after its first answer that says so an upstream may still get requests. */
const DRAIN_MS = 4_000;
const LOAD = { forMs: 6_000, perS: 60 };
/** So long that the load keeps all four upstreams busy. */
const ANSWER_DELAY_MS = 80;
/** So slow that a busy machine makes no VM give up an upstream's answer, which nobody may then give. */
const SLOW_SOUTH_ROUTE = makeRoute({
  path_prefix: "/southsafe/",
  home_regions: ["south"],
  slo_ms: 1_500,
});

/** Makes the first upstream leave; returns how long after its first answer since then it got its last request. */
function startLeaving({ runners }: GatewayLab): () => number {
  for (const each of runners) each.answerDelayMs = ANSWER_DELAY_MS;
  const [runner] = runners;
  const before = runner.arrivals.length;
  runner.isLeaving = true;
  return () => {
    const [first, ...later] = runner.arrivals.slice(before);
    return (later.at(-1) ?? first).arrivedMonoMs - first.arrivedMonoMs;
  };
}

describe("gateway", () => {
  describe("an upstream whose answers say that it leaves", () => {
    it("gets no request later than 4 s after the first such answer of a VM alone", async (t) => {
      const { lab, vm } = await openLab(t, 4);
      const lastAfterMs = startLeaving(lab);
      const answers = await callSteadily(lab, [vm], { path: "/safe/" }, LOAD);
      t.true(answers.every(({ status }) => status === 200));
      t.true(lastAfterMs() < DRAIN_MS, `${lastAfterMs()} ms`);
    });

    it("gets no request later than 4 s after such an answer while the store is away", async (t) => {
      const { lab, vm } = await openLab(t, 4);
      lab.store.faults.set([{ outage: "cut" }]);
      const lastAfterMs = startLeaving(lab);
      const answers = await callSteadily(lab, [vm], { path: "/safe/" }, LOAD);
      t.true(answers.every(({ status }) => status === 200));
      t.true(lastAfterMs() < DRAIN_MS, `${lastAfterMs()} ms`);
    });

    it("gets no request later than 4 s after such an answer from any VM that a lead places for", async (t) => {
      const lab = await openRegion(t, 4);
      const lastAfterMs = startLeaving(lab);
      const answers = await callSteadily(
        lab,
        lab.vms,
        { path: "/safe/" },
        LOAD,
      );
      t.true(answers.every(({ status }) => status === 200));
      t.true(lastAfterMs() < DRAIN_MS, `${lastAfterMs()} ms`);
    });

    it("gets no request later than 4 s after such an answer over a relay", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure([SLOW_SOUTH_ROUTE]);
      for (let i = 0; i < 4; i++) await lab.addRunner("south");
      const north = await lab.addVm();
      await lab.waitUntilReady(await lab.addVm("south"));
      await lab.waitUntilReady(north);
      const request = { path: "/southsafe/" };
      await waitUntil(async () =>
        (await lab.call(north, request)).status === 200
      );
      const lastAfterMs = startLeaving(lab);
      const answers = await callSteadily(lab, [north], request, LOAD);
      t.true(answers.every(({ status }) => status === 200));
      t.true(lastAfterMs() < DRAIN_MS, `${lastAfterMs()} ms`);
    });

    it("is known to a VM that starts later, before any answer to that VM", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].isLeaving = true;
      await lab.call(vm, { path: "/safe/" });
      const late = await lab.addVm();
      await waitUntil(() => {
        const { fleet } = late.gateway.dump().beliefs as {
          fleet: { leaving: string[] };
        };
        return fleet.leaving.length === 1;
      });
      t.is(lab.runners[0].arrivals.length, 1);
    });

    it("is not held to have crashed under what it still ran when it ends", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.store.faults.set([{ outage: "cut" }]);
      Object.assign(lab.runners[0], {
        isLeaving: true,
        isFatal: () => true,
        downMs: DRAIN_MS,
      });
      const request = { path: "/streamonce/", method: "POST", body: "x" };
      t.is((await lab.call(vm, request)).status, 502);
      const logged = () => vm.log.lines.map(({ event }) => event);
      await waitUntil(() => logged().includes("upstream lost"));
      await new Promise((resolve) => setTimeout(resolve, 100));
      t.false(logged().includes("upstream ended under"));
    });

    it("is used again when a process with its id has started anew", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const [runner] = lab.runners;
      runner.isLeaving = true;
      await lab.call(vm, { path: "/safe/" });
      runner.isLeaving = false;
      lab.register(runner, "north", { born: Date.now() });
      await waitUntil(async () =>
        (await lab.call(vm, { path: "/safe/" })).status === 200
      );
      t.pass();
    });
  });

  describe("an answer that says that an upstream leaves", () => {
    for (
      const [behavior, what] of [
        ["crossed", "is of another attempt"],
        ["unsigned", "does not prove who made it"],
      ] as const
    ) {
      it(`takes no upstream away if it ${what}`, async (t) => {
        const { lab, vm } = await openLab(t, 1);
        const [runner] = lab.runners;
        Object.assign(runner, { behavior, isLeaving: true });
        await lab.call(vm, { path: "/once/", method: "POST" });
        Object.assign(runner, { behavior: "well", isLeaving: false });
        await waitUntil(async () =>
          (await lab.call(vm, { path: "/safe/" })).status === 200
        );
        t.pass();
      });
    }
  });
});
