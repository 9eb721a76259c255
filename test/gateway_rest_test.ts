import { describe, it } from "../src/base/describe.ts";
import type { Runner } from "../src/standins/mod.ts";
import { GatewayLab, openLab, openRegion, waitUntil } from "./gateway_lab.ts";
import { callSteadily } from "./steady_calls.ts";

/** The users' bound: requests of one VM from half a second after a refusal until the end of the rest it asks for. */
const MAX_IN_REST = 2;
const GRACE_MS = 500;
/** A refusal needs no upstream; the users' callers connect within this time. */
const AT_ONCE_MS = 250;
/** So long that the load keeps all three upstreams busy. */
const ANSWER_DELAY_MS = 60;

function refuse(runner: Runner, retryAfter: string): void {
  runner.behavior = "shed";
  runner.refusalRetryAfter = retryAfter;
}

/** The most requests that one VM sent to a runner within the rest that a refusal had asked it for. */
function mostInRest({ refusals }: Runner, restMs: number): number {
  const vmOf = (attemptId: string) => attemptId.slice(0, "vm-1".length);
  return Math.max(
    0,
    ...refusals.map((asked) =>
      refusals.filter(({ attemptId, refusedMonoMs }) => {
        const sinceMs = refusedMonoMs - asked.refusedMonoMs;
        return vmOf(attemptId) === vmOf(asked.attemptId) &&
          sinceMs > GRACE_MS && sinceMs < restMs;
      }).length
    ),
  );
}

function makeBusy({ runners }: GatewayLab): void {
  for (const runner of runners) runner.answerDelayMs = ANSWER_DELAY_MS;
}

describe("gateway", () => {
  describe("an upstream that refuses and asks for rest", () => {
    for (
      const [retryAfter, restMs] of [["3", 3_000], ["2.5", 2_500]] as const
    ) {
      it(`gets at most two requests of a VM until ${retryAfter} s are over`, async (t) => {
        const { lab, vm } = await openLab(t, 3);
        makeBusy(lab);
        refuse(lab.runners[0], retryAfter);
        const load = { forMs: restMs, perS: 60 };
        const answers = await callSteadily(lab, [vm], { path: "/safe/" }, load);
        t.true(answers.every(({ status }) => status === 200));
        t.true(lab.runners[0].refusals.length > 0);
        const most = mostInRest(lab.runners[0], restMs);
        t.true(most <= MAX_IN_REST, `${most} requests`);
      });
    }

    it("gets at most two requests of each VM that a lead places for", async (t) => {
      const lab = await openRegion(t, 3);
      makeBusy(lab);
      refuse(lab.runners[0], "3");
      const load = { forMs: 3_000, perS: 60 };
      const answers = await callSteadily(
        lab,
        lab.vms,
        { path: "/safe/" },
        load,
      );
      t.true(answers.every(({ status }) => status === 200));
      const most = mostInRest(lab.runners[0], 3_000);
      t.true(most <= MAX_IN_REST, `${most} requests`);
    });

    it("is used again after its rest", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const [runner] = lab.runners;
      refuse(runner, "0.4");
      await lab.call(vm, { path: "/safe/" });
      runner.behavior = "well";
      await waitUntil(async () =>
        (await lab.call(vm, { path: "/safe/" })).status === 200
      );
      const [{ refusedMonoMs }] = runner.refusals;
      t.true(runner.arrivals[0].arrivedMonoMs - refusedMonoMs >= 400);
    });

    for (
      const retryAfter of ["soon", "0", "-3", "Wed, 21 Oct 2026 07:28:00 GMT"]
    ) {
      it(`gets requests as before if the time is "${retryAfter}"`, async (t) => {
        const { lab, vm } = await openLab(t, 1);
        const [runner] = lab.runners;
        refuse(runner, retryAfter);
        await lab.call(vm, { path: "/safe/" });
        runner.behavior = "well";
        await waitUntil(async () =>
          (await lab.call(vm, { path: "/safe/" })).status === 200
        );
        const [{ refusedMonoMs }] = runner.refusals;
        t.true(runner.arrivals[0].arrivedMonoMs - refusedMonoMs < 1_000);
      });
    }
  });

  describe("a service whose upstreams all rest", () => {
    it("gets at most two requests of a VM each, and its callers are told at once when to come back", async (t) => {
      const { lab, vm } = await openLab(t, 3);
      for (const runner of lab.runners) refuse(runner, "3");
      const load = { forMs: 2_000, perS: 60 };
      const begunMs = performance.now();
      await callSteadily(lab, [vm], { path: "/safe/" }, load);
      const most = Math.max(
        ...lab.runners.map((runner) => mostInRest(runner, 3_000)),
      );
      t.true(most <= MAX_IN_REST, `${most} requests`);
      const askedMs = performance.now();
      const { status, headers } = await lab.call(vm, { path: "/safe/" });
      t.true([429, 503].includes(status));
      t.true(performance.now() - askedMs < AT_ONCE_MS);
      const comeBackMs = askedMs + Number(headers["retry-after"]) * 1_000;
      t.true(comeBackMs >= begunMs + 3_000, headers["retry-after"] as string);
    });
  });
});
