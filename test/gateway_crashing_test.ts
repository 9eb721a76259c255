import type { ExecutionContext } from "ava";
// The tests run one after the other: twelve labs at once in one process are slower than the times that the tests are
// about.
import { describe, itAlone as it } from "../src/base/describe.ts";
import { requestDigest } from "../src/suspects/mod.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  GatewayLab,
  type LabVm,
  waitUntil,
} from "./gateway_lab.ts";

const FATAL_BODY = "ends whatever runs it";
const ATTEMPT_COUNT = 16;
/** Maximum number of upstreams that one request may crash: three, and three more until all VMs are informed. */
const MAX_CRASHES = 6;
const RUNNERS_PER_REGION = 6;
/** Pause between two attempts, so that the series of attempts takes some seconds, as callers' retries do. */
const PAUSE_MS = 150;

const REQUEST_CASES:
  readonly (readonly [name: string, request: CallerRequest])[] = [
    ["a stream that runs once", { path: "/streamonce/x", method: "POST" }],
    ["a call that runs once", { path: "/once/x", method: "POST" }],
    ["an idempotent call", { path: "/safe/x", method: "POST" }],
    ["a stream that may be resumed", { path: "/stream/x", method: "POST" }],
  ];

const REGION_CASES:
  readonly (readonly [name: string, regions: readonly string[]])[] = [
    ["two regions", ["north", "north", "north", "south", "south", "south"]],
    ["a region with a lead", ["north", "north", "north", "north", "north"]],
  ];

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Opens a lab with a VM in each of `regions`; all VMs know each other. */
async function openRegions(
  t: ExecutionContext,
  regions: readonly string[],
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  for (const region of new Set(regions)) {
    for (let i = 0; i < RUNNERS_PER_REGION; i++) await lab.addRunner(region);
  }
  for (const region of regions) {
    await lab.waitUntilReady(await lab.addVm(region));
  }
  await lab.waitUntilAllKnown();
  return lab;
}

function countCrashes(lab: GatewayLab): number {
  return lab.runners.reduce((sum, { crashCount }) => sum + crashCount, 0);
}

/** Sends a request; the status is 0 if there was no answer. */
async function tryCall(
  lab: GatewayLab,
  vm: LabVm,
  request: CallerRequest,
): Promise<CallerAnswer> {
  try {
    return await lab.call(vm, request);
  } catch {
    return { status: 0, headers: {}, body: "", isComplete: false };
  }
}

describe("gateway", () => {
  describe("a request that crashes every upstream that runs it", () => {
    for (const [regionCase, regions] of REGION_CASES) {
      for (const [requestCase, request] of REQUEST_CASES) {
        // The request is sent again as a new attempt, to each VM in turn.
        it(`crashes no more upstreams than allowed: ${requestCase}, ${regionCase}`, async (t) => {
          const lab = await openRegions(t, regions);
          for (const runner of lab.runners) {
            runner.isFatal = (body) => body === FATAL_BODY;
          }
          for (let i = 0; i < ATTEMPT_COUNT; i++) {
            const vm = lab.vms[i % lab.vms.length];
            await tryCall(lab, vm, { ...request, body: FATAL_BODY });
            await pause(PAUSE_MS);
          }
          t.log(`${countCrashes(lab)} upstreams crashed`);
          t.true(
            countCrashes(lab) <= MAX_CRASHES,
            `${countCrashes(lab)} upstreams crashed`,
          );
        });
      }
    }
  });

  describe("a request that has crashed upstreams", () => {
    const request = { path: "/once/z", method: "POST", body: FATAL_BODY };

    /** Opens a lab in which the request has crashed as many upstreams as it may. */
    async function openRejecting(t: ExecutionContext): Promise<GatewayLab> {
      const lab = await openRegions(t, ["north", "north"]);
      for (const runner of lab.runners) {
        runner.isFatal = (body) => body === FATAL_BODY;
      }
      await waitUntil(async () => {
        const { status } = await tryCall(lab, lab.vms[0], request);
        await pause(PAUSE_MS);
        return status === 503;
      });
      return lab;
    }

    it("is refused at once, and its caller is told when to retry", async (t) => {
      const lab = await openRejecting(t);
      await pause(PAUSE_MS);
      const answer = await tryCall(lab, lab.vms[1], request);
      t.is(answer.status, 503);
      t.is(JSON.parse(answer.body).error.code, 3014);
      t.true(Number(answer.headers["retry-after"]) > 60);
    });

    // All VMs get the request at the same moment. Each knows of three crashes, and none knows of the others' attempts.
    it("is tried once more by one VM only", async (t) => {
      const lab = await openRegions(t, ["north", "north", "south", "south"]);
      for (const runner of lab.runners) {
        runner.isFatal = (body) => body === FATAL_BODY;
      }
      for (let i = 0; i < 3; i++) {
        await tryCall(lab, lab.vms[0], request);
        await pause(3 * PAUSE_MS);
      }
      t.is(countCrashes(lab), 3);
      await Promise.all(lab.vms.map((vm) => tryCall(lab, vm, request)));
      t.is(countCrashes(lab), 4);
    });

    it("does not affect other requests", async (t) => {
      const lab = await openRejecting(t);
      const answer = await tryCall(lab, lab.vms[0], { ...request, body: "b" });
      t.is(answer.status, 200);
    });

    it("is known to a VM that starts later", async (t) => {
      const lab = await openRejecting(t);
      const vm = await lab.addVm();
      await lab.waitUntilReady(vm);
      await pause(PAUSE_MS);
      const before = countCrashes(lab);
      t.is((await tryCall(lab, vm, request)).status, 503);
      t.is(countCrashes(lab), before);
    });

    // The VM that receives the request knows nothing of it yet, and the VM that it hands the request over to rejects
    // it.
    it("is refused for good by the VM that it was handed over to", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure();
      await lab.addRunner("south");
      const north = await lab.addVm("north");
      await lab.waitUntilReady(north);
      const digest = requestDigest({
        host: ROUTE_HOST,
        target: request.path,
        keyDigest: undefined,
        body: Buffer.from(FATAL_BODY),
      });
      lab.store.put(`ibisgap/suspects/${digest}`, ["u1", "u2", "u3", "u4"]);
      const south = await lab.addVm("south");
      await lab.waitUntilReady(south);
      await waitUntil(async () => {
        const answer = await tryCall(lab, north, { ...request, body: "good" });
        return answer.status === 200;
      });
      const answer = await tryCall(lab, north, request);
      t.is(answer.status, 503);
      t.is(JSON.parse(answer.body).error.code, 3014);
      t.true(Number(answer.headers["retry-after"]) > 60);
    });

    it("is still known after all VMs have restarted", async (t) => {
      const lab = await openRejecting(t);
      for (const { gateway } of lab.vms) await gateway.close();
      const vm = await lab.addVm();
      await lab.waitUntilReady(vm);
      await pause(PAUSE_MS);
      const before = countCrashes(lab);
      t.is((await tryCall(lab, vm, request)).status, 503);
      t.is(countCrashes(lab), before);
    });
  });

  describe("an idempotent call that was given up without an answer", () => {
    // The first upstream crashes after the VM has moved on to a second one, which does not answer either.
    it("has all of its crashes counted", async (t) => {
      const lab = await openRegions(t, ["north"]);
      for (const runner of lab.runners) {
        runner.isFatal = (body) => body === FATAL_BODY;
        runner.crashDelayMs = 250;
      }
      const request = { path: "/safe/t", method: "POST", body: FATAL_BODY };
      await tryCall(lab, lab.vms[0], request);
      await waitUntil(() => {
        const { suspects } = lab.vms[0].gateway.dump() as {
          suspects: readonly { ends: object }[];
        };
        return Object.keys(suspects[0]?.ends ?? {}).length === 2;
      });
      t.is(countCrashes(lab), 2);
    });
  });

  describe("an upstream that is back before its crash is noticed", () => {
    // Its address accepts connections again in the same step in which it crashed. Only `born` in its entry shows the
    // crash.
    it("counts against the request that crashed it", async (t) => {
      const lab = await openRegions(t, ["north"]);
      const request = { path: "/once/u", method: "POST", body: FATAL_BODY };
      for (const runner of lab.runners) {
        runner.behavior = "reset";
        runner.onRestart();
      }
      await tryCall(lab, lab.vms[0], request);
      await pause(PAUSE_MS);
      t.deepEqual(lab.vms[0].gateway.dump().suspects, []);
      for (const runner of lab.runners) runner.onRestart();
      await waitUntil(() => {
        const { suspects } = lab.vms[0].gateway.dump() as {
          suspects: readonly { standing: string }[];
        };
        return suspects[0]?.standing === "suspected";
      });
      t.pass();
    });
  });

  describe("a request whose connections are reset", () => {
    // The upstream keeps running, so there is no evidence against the request.
    it("is served however often they were reset", async (t) => {
      const lab = await openRegions(t, ["north"]);
      const request = { path: "/once/w", method: "POST", body: "good" };
      for (const runner of lab.runners) runner.behavior = "reset";
      for (let i = 0; i < 6; i++) {
        t.is((await tryCall(lab, lab.vms[0], request)).status, 502);
      }
      for (const runner of lab.runners) runner.behavior = "well";
      await waitUntil(async () =>
        (await tryCall(lab, lab.vms[0], request)).status === 200
      );
      const { suspects } = lab.vms[0].gateway.dump();
      t.deepEqual(suspects, []);
    });
  });

  describe("a request whose upstreams crashed for other reasons", () => {
    // Three upstreams in a row crash while they run the request, and the fourth does not.
    it("is served after three crashes", async (t) => {
      const lab = await openRegions(t, ["north", "north", "north"]);
      const request = { path: "/once/y", method: "POST", body: "good" };
      for (const runner of lab.runners) runner.answerDelayMs = 60;
      for (let i = 0; i < 3; i++) {
        const before = lab.runners.map(({ arrivals }) => arrivals.length);
        const vm = lab.vms[i % lab.vms.length];
        const answer = tryCall(lab, vm, request);
        const isRunning = (index: number) =>
          lab.runners[index].arrivals.length > before[index];
        await waitUntil(() => lab.runners.some((_, index) => isRunning(index)));
        lab.runners.find((_, index) => isRunning(index))!.crash();
        t.not((await answer).status, 200);
        await pause(2 * PAUSE_MS);
      }
      const answer = await tryCall(lab, lab.vms[0], request);
      t.is(answer.status, 200);
    });

    // The permission for one more run comes from the store. Without the store, no VM knows which other VMs try.
    it("is served after three crashes only when the store is reachable", async (t) => {
      const lab = await openRegions(t, ["north"]);
      const request = { path: "/once/v", method: "POST", body: "good" };
      for (const runner of lab.runners) runner.isFatal = () => true;
      for (let i = 0; i < 3; i++) {
        await tryCall(lab, lab.vms[0], request);
        await pause(2 * PAUSE_MS);
      }
      for (const runner of lab.runners) runner.isFatal = () => false;
      lab.store.faults.set([{ outage: "refuse" }]);
      const refused = await tryCall(lab, lab.vms[0], request);
      t.is(refused.status, 503);
      t.is(JSON.parse(refused.body).error.code, 3015);
      lab.store.faults.set([{ slowMs: 3_000 }]);
      const startMs = performance.now();
      const refusedLate = await tryCall(lab, lab.vms[0], request);
      t.is(JSON.parse(refusedLate.body).error.code, 3015);
      t.true(performance.now() - startMs < 1_400, "before its deadline");
      lab.store.faults.clear();
      t.is((await tryCall(lab, lab.vms[0], request)).status, 200);
    });
  });
});
