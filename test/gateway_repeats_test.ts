import { describe, it } from "../src/base/describe.ts";
import { openLab, waitUntil } from "./gateway_lab.ts";

describe("gateway", () => {
  describe("the budget of repeats", () => {
    // Many upstreams change their addresses at once. Each request that meets the wrong one and goes on to the next comes
    // to two upstreams, and the service gets more than the budget of repeats allows.
    it("is not spent where upstreams turn requests away and none is left", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      const { bounds } = vm.settings;
      vm.gateway.reload({
        ...vm.settings,
        bounds: { ...bounds, repeatRatio: 0, repeatSlack: 0 },
      });
      // Both entries name addresses that other upstreams have.
      for (const [index, runner] of lab.runners.entries()) {
        lab.store.put(`servers/${runner.id}`, {
          service: "s",
          address: lab.runners[1 - index].address,
          zone: "north-a",
          slots: 8,
          state: "ready",
          seq: 2,
        });
      }
      const findPort = (id: string) => {
        const { fleet } = vm.gateway.dump().beliefs as {
          fleet: { upstreams: { id: string; port: number }[] };
        };
        return fleet.upstreams.find((known) => known.id === id)?.port;
      };
      await waitUntil(() =>
        lab.runners.every((runner, index) =>
          lab.runners[1 - index].address.endsWith(`:${findPort(runner.id)}`)
        )
      );
      const answer = await lab.call(vm, { path: "/safe/" });
      t.is(answer.status, 503);
      t.is(
        vm.log.lines.filter(({ event }) => event === "sent again").length,
        0,
      );
    });

    // An upstream takes longer for an idempotent call than is usual, and another one is free; but the repeats of this window
    // are used up. Giving the answer up that is still on its way would leave the caller with none.
    it("has an upstream waited for when no repeat is left", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      const { bounds } = vm.settings;
      vm.gateway.reload({
        ...vm.settings,
        bounds: { ...bounds, repeatRatio: 0, repeatSlack: 0 },
      });
      for (const runner of lab.runners) runner.answerDelayMs = 500;
      t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
    });
  });
});
