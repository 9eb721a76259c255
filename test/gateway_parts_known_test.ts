import type { ExecutionContext } from "ava";
// The tests run one after the other: each has a lab of 24 processes in one.
import { describe, itAlone as it } from "../src/base/describe.ts";
import type { GatewayLab, LabVm } from "./gateway_lab.ts";
import { runIbisgap } from "./run_ibisgap.ts";
import {
  callWithParts,
  DEADLY_PART,
  openPartLab,
  type PartCall,
  playParts,
  USUAL_TRAFFIC,
} from "./prompt_part_lab.ts";

const PATH = "/streamonce/";
const DEADLY = ["tools", DEADLY_PART];
const SOUND = ["tools", "book"];
const REFUSED_CODE = 3017;
/** Refusals of a request as a suspect. */
const SUSPECT_CODES = [3014, 3015, REFUSED_CODE];
/** Until all VMs have heard of a crash. */
const NEWS_MS = 300;
const MAX_RETRY_AFTER_S = 30;
/** A refusal takes a few ms; the bound leaves room for a busy machine. */
const AT_ONCE_MS = 500;
const MAX_CRASHES = 8;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function countCrashes({ runners }: GatewayLab): number {
  return runners.reduce((sum, { crashCount }) => sum + crashCount, 0);
}

function callDeadly(lab: GatewayLab, vm: LabVm): Promise<PartCall> {
  return callWithParts(lab, vm, PATH, DEADLY);
}

/** Opens a lab in which the part is known to crash upstreams. */
async function openKnowing(
  t: ExecutionContext,
  regions: readonly string[] = USUAL_TRAFFIC.regions.slice(0, 3),
): Promise<GatewayLab> {
  const lab = await openPartLab(t, { ...USUAL_TRAFFIC, regions });
  for (let i = 0; i < MAX_CRASHES; i++) {
    const { code } = await callDeadly(lab, lab.vms[i % lab.vms.length]);
    await pause(NEWS_MS);
    await callWithParts(lab, lab.vms[0], PATH, SOUND);
    if (code === REFUSED_CODE) return lab;
  }
  throw new Error("the part was not refused");
}

async function checkRefused(
  t: ExecutionContext,
  lab: GatewayLab,
  vm: LabVm,
): Promise<void> {
  const before = countCrashes(lab);
  const startMs = performance.now();
  const { status, code, retryAfterS } = await callDeadly(lab, vm);
  t.is(status, 503);
  t.is(code, REFUSED_CODE);
  t.true(retryAfterS! > 0 && retryAfterS! <= MAX_RETRY_AFTER_S);
  t.true(performance.now() - startMs < AT_ONCE_MS);
  t.is(countCrashes(lab), before);
}

describe("gateway", () => {
  describe("a prompt part that is known to crash upstreams", () => {
    it("is refused at once at every VM, with the time of the next trial", async (t) => {
      const lab = await openKnowing(t, ["north", "north", "south", "south"]);
      for (const vm of lab.vms) await checkRefused(t, lab, vm);
    });

    it("is known to a VM that starts later", async (t) => {
      const lab = await openKnowing(t);
      const vm = await lab.addVm();
      await lab.waitUntilReady(vm);
      await pause(NEWS_MS);
      await checkRefused(t, lab, vm);
    });

    it("is known after all VMs were killed at once", async (t) => {
      const lab = await openKnowing(t);
      for (const vm of [...lab.vms]) await lab.closeVm(vm);
      const vm = await lab.addVm();
      await lab.waitUntilReady(vm);
      await pause(NEWS_MS);
      await checkRefused(t, lab, vm);
    });

    it("stays refused while the store is away", async (t) => {
      const lab = await openKnowing(t);
      lab.store.faults.set([{ outage: "refuse" }]);
      for (const vm of lab.vms) await checkRefused(t, lab, vm);
      for (const vm of lab.vms) {
        t.true((await callWithParts(lab, vm, PATH, SOUND)).isServed);
      }
    });

    it("shows in the dump and in the line of the refused request, by hashes only", async (t) => {
      const lab = await openKnowing(t);
      const [vm] = lab.vms;
      await checkRefused(t, lab, vm);
      const line = vm.log.lines.findLast(({ fields }) =>
        fields.outcome === "partEndsUpstreams"
      );
      t.truthy(line);
      const { blamed, ends } = line!.fields;
      t.regex(String(blamed), /^p[0-9a-f]{16}$/);
      t.true(String(ends).split(",").length >= 3);
      const { suspects } = vm.gateway.dump() as {
        suspects: { request: string; standing: string }[];
      };
      t.true(suspects.some(({ request }) => request === blamed));
      t.false(JSON.stringify(vm.log.lines).includes(DEADLY_PART));
    });
  });

  describe("a prompt part whose program was mended", () => {
    it("runs again at every VM once an operator clears it", async (t) => {
      const lab = await openKnowing(t);
      for (const runner of lab.runners) runner.isFatal = () => false;
      const [vm] = lab.vms;
      const { peers } = vm.settings.listen;
      const { suspects } = vm.gateway.dump() as {
        suspects: { request: string; standing: string }[];
      };
      for (const { request } of suspects) {
        const { code, err } = await runIbisgap("vm-clear", peers, request);
        t.true(code === 0 || /no crash counts/.test(err), err);
      }
      await pause(NEWS_MS);
      for (const each of lab.vms) {
        t.true((await callDeadly(lab, each)).isServed);
      }
      t.is((await runIbisgap("vm-clear", peers, "p0")).code, 2);
    });
  });

  describe("a prompt part that ran well and begins to crash upstreams", () => {
    it("is refused like one that never ran", async (t) => {
      const traffic = { ...USUAL_TRAFFIC, forMs: 7_000 };
      const lab = await openPartLab(t, traffic);
      for (const runner of lab.runners) runner.isFatal = () => false;
      for (let i = 0; i < 12; i++) {
        const vm = lab.vms[i % lab.vms.length];
        t.true((await callDeadly(lab, vm)).isServed);
      }
      for (const runner of lab.runners) {
        runner.isFatal = (_, parts) => parts.includes(DEADLY_PART);
      }
      const { crashes, late, servedAfter } = await playParts(lab, traffic);
      t.log(`${crashes} crashes, ${servedAfter.toFixed(2)} served after`);
      t.is(late, 0);
      t.true(crashes <= MAX_CRASHES);
    });
  });

  describe("a new popular part that comes as upstreams die of other causes", () => {
    for (const deaths of [3, 6, 12]) {
      it(`is not refused: ${deaths} die at once`, async (t) => {
        const traffic = {
          ...USUAL_TRAFFIC,
          soundParts: [["tools", "new"], ["tools", "book"]],
          deadlyParts: [["tools", "new"]],
          forMs: 5_000,
        };
        const lab = await openPartLab(t, traffic);
        setTimeout(() => {
          for (const runner of lab.runners.slice(0, deaths)) runner.crash();
        }, 1_500);
        const { calls } = await playParts(lab, traffic);
        const served = calls.filter(({ isServed }) => isServed).length;
        t.log(`${served} of ${calls.length} served`);
        const codes = calls.map(({ code }) => code ?? 0);
        t.deepEqual(codes.filter((code) => SUSPECT_CODES.includes(code)), []);
      });
    }
  });

  describe("a request that crashes upstreams as a whole", () => {
    it("does not have its parts refused in other requests", async (t) => {
      const lab = await openPartLab(t, {
        ...USUAL_TRAFFIC,
        regions: ["north", "north"],
      });
      for (const runner of lab.runners) {
        runner.isFatal = (body) => body === "fatal";
      }
      const headers = { "prompt-prefix": "tools:400,rare:400,own:50" };
      const fatal = { path: PATH, method: "POST", headers, body: "fatal" };
      for (let i = 0; i < 8; i++) {
        await lab.call(lab.vms[i % 2], fatal).catch(() => {});
        await pause(NEWS_MS);
      }
      t.true(countCrashes(lab) <= 4);
      for (const vm of lab.vms) {
        const call = await callWithParts(lab, vm, PATH, ["tools", "rare"]);
        t.true(call.isServed, `${call.status} ${call.code}`);
      }
    });
  });
});
