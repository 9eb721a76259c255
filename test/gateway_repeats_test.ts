import { setTimeout as sleep } from "node:timers/promises";
import { describe, it } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { BUDGET, findBudgetBreaches } from "../soak/judge_budget.ts";
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

/** A request of a caller, as the judge of the budget wants it. */
interface SentRequest {
  readonly id: string;
  readonly kind: "once";
  readonly sentMs: number;
}

/** Sends `perS` requests a second, to each VM in turn, until `isOver`. Some end without an answer, as their VM ends. */
async function callUntil(
  lab: GatewayLab,
  isOver: () => boolean,
  perS: number,
): Promise<SentRequest[]> {
  const sent: SentRequest[] = [];
  const calls: Promise<unknown>[] = [];
  while (!isOver()) {
    const id = `r-${sent.length}`;
    const vm = lab.vms[sent.length % Math.max(1, lab.vms.length)];
    sent.push({ id, kind: "once", sentMs: performance.now() });
    if (vm) {
      const headers = { "attempt-id": id };
      calls.push(
        lab.call(vm, { path: "/safe/", headers }).catch(() => undefined),
      );
    }
    await sleep(1_000 / perS);
  }
  await Promise.all(calls);
  return sent;
}

/** What the judge of the budget needs of a lab's run. */
function budgetEvidenceOf(lab: GatewayLab, attempts: readonly SentRequest[]) {
  return {
    attempts,
    arrivals: lab.runners.flatMap(({ arrivals }) =>
      arrivals.map(({ headers, arrivedMonoMs }) => ({
        attemptId: String(headers["attempt-id"]),
        arrivedMs: arrivedMonoMs,
        service: "s",
      }))
    ),
    refusals: lab.runners.flatMap(({ id, refusals }) =>
      refusals.map(({ attemptId, refusedMonoMs }) => ({
        attemptId,
        refusedMs: refusedMonoMs,
        runnerId: id,
      }))
    ),
    upstreams: lab.runners.map(({ id }) => ({ id, service: "s" })),
    configs: [],
  };
}

describe("gateway", () => {
  describe("the retry budget", () => {
    it("is kept over all VMs while each of them starts anew again and again within a window", async (t) => {
      const lab = new GatewayLab({ startedAgoMs: 0 });
      t.teardown(() => lab.close());
      lab.configure([makeRoute({ max_attempts: 4 })]);
      for (let i = 0; i < 6; i++) {
        const runner = await lab.addRunner();
        runner.behavior = "shed";
      }
      for (let i = 0; i < 3; i++) await lab.waitUntilReady(await lab.addVm());
      const endMs = performance.now() + BUDGET.windowMs - 1_000;
      const isOver = () => performance.now() >= endMs;
      const sent = callUntil(lab, isOver, 20);
      while (!isOver()) {
        await sleep(1_500);
        for (const vm of [...lab.vms]) await lab.restartVm(vm);
      }
      const evidence = budgetEvidenceOf(lab, await sent);
      t.true(evidence.refusals.length > BUDGET.slack);
      t.deepEqual(findBudgetBreaches(evidence), []);
    });

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
