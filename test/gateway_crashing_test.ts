import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
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
  });
});
