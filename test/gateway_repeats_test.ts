import { describe, it } from "../src/base/describe.ts";
import { openLab, waitUntil } from "./gateway_lab.ts";

describe("gateway", () => {
  describe("the retry budget", () => {
    // Many upstreams change their addresses at once. Each request that reaches a wrong upstream and goes on to the next
    // arrives at two upstreams, so that the service would get more requests than the retry budget allows.
    it("is not exceeded when upstreams refuse misdirected requests and no retry is left", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      const { bounds } = vm.settings;
      vm.gateway.reload({
        ...vm.settings,
        bounds: { ...bounds, repeatRatio: 0, repeatSlack: 0 },
      });
      // Each of the two entries has the address of the other upstream.
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
      const end = vm.log.lines.find(({ fields }) =>
        fields.outcome === "upstreamRefused"
      );
      t.is(end?.fields.budgetRefused, "refused");
    });

    // An upstream takes longer than usual for an idempotent call, and another one is free, but the retries of this
    // window are used up. If the gateway gave up the answer that is still on its way, the caller would get none.
    it("makes the gateway wait for an upstream when no retry is left", async (t) => {
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
