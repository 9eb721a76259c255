import type { ExecutionContext } from "ava";
// One lab after the other: twelve at once in one process are slower than the times that they are about.
import { describe, itAlone as it } from "../src/base/describe.ts";
import { requestDigest } from "../src/suspects/mod.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  GatewayLab,
  type LabVm,
  until,
} from "./gateway_lab.ts";

const FATAL = "ends whatever runs it";
const ATTEMPTS = 16;
/** Upstreams that one request may end: three, and three more while the VMs tell each other. */
const MOST_ENDS = 6;
const RUNNERS_PER_REGION = 6;
/** Callers wait for each other, so that the row of attempts takes some seconds, as callers' retries do. */
const PAUSE_MS = 150;

const KINDS: readonly (readonly [name: string, request: CallerRequest])[] = [
  ["a stream that runs once", { path: "/streamonce/x", method: "POST" }],
  ["a call that runs once", { path: "/once/x", method: "POST" }],
  ["an idempotent call", { path: "/safe/x", method: "POST" }],
  ["a stream that may be resumed", { path: "/stream/x", method: "POST" }],
];

const REGIONS: readonly (readonly [name: string, of: readonly string[]])[] = [
  ["two regions", ["north", "north", "north", "south", "south", "south"]],
  ["a region with a lead", ["north", "north", "north", "north", "north"]],
];

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A VM in each of `regions`, all of which know each other. */
async function open(
  t: ExecutionContext,
  regions: readonly string[],
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  for (const region of new Set(regions)) {
    for (let i = 0; i < RUNNERS_PER_REGION; i++) await lab.addRunner(region);
  }
  for (const region of regions) await lab.ready(await lab.addVm(region));
  await until(() =>
    lab.vms.every((vm) => {
      const { vms } = vm.gateway.dump().members as { vms: number };
      return vms === regions.length;
    })
  );
  return lab;
}

function endsOf(lab: GatewayLab): number {
  return lab.runners.reduce((sum, { ends }) => sum + ends, 0);
}

/** Sends a request; one that got no answer has status 0. */
async function attempt(
  lab: GatewayLab,
  vm: LabVm,
  request: CallerRequest,
): Promise<CallerAnswer> {
  try {
    return await lab.call(vm, request);
  } catch {
    return { status: 0, headers: {}, body: "", whole: false };
  }
}

describe("gateway", () => {
  describe("a request that ends every upstream that runs it", () => {
    for (const [where, regions] of REGIONS) {
      for (const [kind, request] of KINDS) {
        // It comes again under new attempts, at each VM in turn.
        it(`ends no more upstreams than allowed: ${kind}, ${where}`, async (t) => {
          const lab = await open(t, regions);
          for (const runner of lab.runners) {
            runner.isFatal = (body) => body === FATAL;
          }
          for (let at = 0; at < ATTEMPTS; at++) {
            const vm = lab.vms[at % lab.vms.length];
            await attempt(lab, vm, { ...request, body: FATAL });
            await pause(PAUSE_MS);
          }
          t.log(`${endsOf(lab)} upstreams ended`);
          t.true(endsOf(lab) <= MOST_ENDS, `${endsOf(lab)} upstreams ended`);
        });
      }
    }
  });

  describe("a request that is not run again", () => {
    const request = { path: "/once/z", method: "POST", body: FATAL };

    /** A lab in which it has ended as many upstreams as it may. */
    async function openRejecting(t: ExecutionContext): Promise<GatewayLab> {
      const lab = await open(t, ["north", "north"]);
      for (const runner of lab.runners) {
        runner.isFatal = (body) => body === FATAL;
      }
      await until(async () => {
        const { status } = await attempt(lab, lab.vms[0], request);
        await pause(PAUSE_MS);
        return status === 503;
      });
      return lab;
    }

    it("tells its caller so at once, and when to come back", async (t) => {
      const lab = await openRejecting(t);
      await pause(PAUSE_MS);
      const answer = await attempt(lab, lab.vms[1], request);
      t.is(answer.status, 503);
      t.is(JSON.parse(answer.body).error.code, 3014);
      t.true(Number(answer.headers["retry-after"]) > 60);
    });

    // All VMs are asked in the same moment; each knows of three ends, and none of the others' tries.
    it("is tried once more by one VM only", async (t) => {
      const lab = await open(t, ["north", "north", "south", "south"]);
      for (const runner of lab.runners) {
        runner.isFatal = (body) => body === FATAL;
      }
      for (let end = 0; end < 3; end++) {
        await attempt(lab, lab.vms[0], request);
        await pause(3 * PAUSE_MS);
      }
      t.is(endsOf(lab), 3);
      await Promise.all(lab.vms.map((vm) => attempt(lab, vm, request)));
      t.is(endsOf(lab), 4);
    });

    it("leaves other requests alone", async (t) => {
      const lab = await openRejecting(t);
      const answer = await attempt(lab, lab.vms[0], { ...request, body: "b" });
      t.is(answer.status, 200);
    });

    it("is known to a VM that starts later", async (t) => {
      const lab = await openRejecting(t);
      const vm = await lab.addVm();
      await lab.ready(vm);
      await pause(PAUSE_MS);
      const before = endsOf(lab);
      t.is((await attempt(lab, vm, request)).status, 503);
      t.is(endsOf(lab), before);
    });

    // The VM that takes it knows nothing yet, and the one that it hands it to rejects it.
    it("is refused for good by the VM that it was handed to", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure();
      await lab.addRunner("south");
      const north = await lab.addVm("north");
      await lab.ready(north);
      const digest = requestDigest({
        host: ROUTE_HOST,
        target: request.path,
        keyDigest: undefined,
        body: Buffer.from(FATAL),
      });
      lab.server.put(`ibisgap/suspects/${digest}`, ["u1", "u2", "u3", "u4"]);
      const south = await lab.addVm("south");
      await lab.ready(south);
      await until(async () => {
        const answer = await attempt(lab, north, { ...request, body: "good" });
        return answer.status === 200;
      });
      const answer = await attempt(lab, north, request);
      t.is(answer.status, 503);
      t.is(JSON.parse(answer.body).error.code, 3014);
      t.true(Number(answer.headers["retry-after"]) > 60);
    });

    it("is known when all VMs were started again", async (t) => {
      const lab = await openRejecting(t);
      for (const { gateway } of lab.vms) await gateway.close();
      const vm = await lab.addVm();
      await lab.ready(vm);
      await pause(PAUSE_MS);
      const before = endsOf(lab);
      t.is((await attempt(lab, vm, request)).status, 503);
      t.is(endsOf(lab), before);
    });
  });

  describe("an idempotent call that was given up for want of an answer", () => {
    // Its first upstream ends under it after the VM has gone on to a second one, which answers nobody either.
    it("has all of its ends counted", async (t) => {
      const lab = await open(t, ["north"]);
      for (const runner of lab.runners) {
        runner.isFatal = (body) => body === FATAL;
        runner.fatalMs = 250;
      }
      const request = { path: "/safe/t", method: "POST", body: FATAL };
      await attempt(lab, lab.vms[0], request);
      await until(() => {
        const { suspects } = lab.vms[0].gateway.dump() as {
          suspects: readonly { ends: object }[];
        };
        return Object.keys(suspects[0]?.ends ?? {}).length === 2;
      });
      t.is(endsOf(lab), 2);
    });
  });

  describe("an upstream that is back before anybody looks", () => {
    // Its address takes connections again in the step in which it ended; only the born of its entry tells of the end.
    it("counts against the request that ended it", async (t) => {
      const lab = await open(t, ["north"]);
      const request = { path: "/once/u", method: "POST", body: FATAL };
      for (const runner of lab.runners) {
        runner.mood = "reset";
        runner.onBack();
      }
      await attempt(lab, lab.vms[0], request);
      await pause(PAUSE_MS);
      t.deepEqual(lab.vms[0].gateway.dump().suspects, []);
      for (const runner of lab.runners) runner.onBack();
      await until(() => {
        const { suspects } = lab.vms[0].gateway.dump() as {
          suspects: readonly { standing: string }[];
        };
        return suspects[0]?.standing === "suspected";
      });
      t.pass();
    });
  });

  describe("a request whose connections are reset", () => {
    // The upstream lives on, so that nothing speaks against the request.
    it("is served however often that was", async (t) => {
      const lab = await open(t, ["north"]);
      const request = { path: "/once/w", method: "POST", body: "good" };
      for (const runner of lab.runners) runner.mood = "reset";
      for (let at = 0; at < 6; at++) {
        t.is((await attempt(lab, lab.vms[0], request)).status, 502);
      }
      for (const runner of lab.runners) runner.mood = "well";
      await until(async () =>
        (await attempt(lab, lab.vms[0], request)).status === 200
      );
      const { suspects } = lab.vms[0].gateway.dump();
      t.deepEqual(suspects, []);
    });
  });

  describe("a request whose upstreams ended for other causes", () => {
    // Three upstreams in a row end while they run it, and the fourth does not.
    it("is served after three ends", async (t) => {
      const lab = await open(t, ["north", "north", "north"]);
      const request = { path: "/once/y", method: "POST", body: "good" };
      for (const runner of lab.runners) runner.workMs = 60;
      for (let end = 0; end < 3; end++) {
        const before = lab.runners.map(({ arrivals }) => arrivals.length);
        const vm = lab.vms[end % lab.vms.length];
        const answer = attempt(lab, vm, request);
        const isRunning = (at: number) =>
          lab.runners[at].arrivals.length > before[at];
        await until(() => lab.runners.some((_, at) => isRunning(at)));
        lab.runners.find((_, at) => isRunning(at))!.end();
        t.not((await answer).status, 200);
        await pause(2 * PAUSE_MS);
      }
      const answer = await attempt(lab, lab.vms[0], request);
      t.is(answer.status, 200);
    });

    // The leave to run once more comes from the store; without it nobody knows who else tries.
    it("waits for the store to be served after three ends", async (t) => {
      const lab = await open(t, ["north"]);
      const request = { path: "/once/v", method: "POST", body: "good" };
      for (const runner of lab.runners) runner.isFatal = () => true;
      for (let end = 0; end < 3; end++) {
        await attempt(lab, lab.vms[0], request);
        await pause(2 * PAUSE_MS);
      }
      for (const runner of lab.runners) runner.isFatal = () => false;
      lab.server.faults.set([{ outage: "refuse" }]);
      const refused = await attempt(lab, lab.vms[0], request);
      t.is(refused.status, 503);
      t.is(JSON.parse(refused.body).error.code, 3015);
      lab.server.faults.set([{ slowMs: 3_000 }]);
      const askedMs = performance.now();
      const late = await attempt(lab, lab.vms[0], request);
      t.is(JSON.parse(late.body).error.code, 3015);
      t.true(performance.now() - askedMs < 1_400, "before its deadline");
      lab.server.faults.clear();
      t.is((await attempt(lab, lab.vms[0], request)).status, 200);
    });
  });
});
