import { describe, it } from "../src/base/describe.ts";
import {
  GatewayLab,
  type LabVm,
  openLab,
  waitUntil,
  waitUntilServedBy,
} from "./gateway_lab.ts";

/** The requests for the lab's service that a VM's retry budget counts. */
function countedRequests(vm: LabVm): number {
  const { retryBudgets } = vm.gateway.dump().front as {
    retryBudgets: Record<string, { requests: number }>;
  };
  return retryBudgets.s?.requests ?? 0;
}

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

    it("counts a relayed request once, at the VM that its caller asked", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure();
      const runner = await lab.addRunner("south");
      const north = await lab.addVm("north");
      const south = await lab.addVm("south");
      await lab.waitUntilReady(north);
      await lab.waitUntilReady(south);
      await waitUntilServedBy(lab, north, runner.id);
      const before = countedRequests(north);
      for (let i = 0; i < 10; i++) {
        const answer = await lab.call(north, { path: "/southsafe/" });
        t.is(answer.status, 200);
      }
      t.is(countedRequests(north) - before, 10);
      t.is(countedRequests(south), 0);
    });
  });
});
