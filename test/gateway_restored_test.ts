import { describe, it } from "../src/base/describe.ts";
import { GatewayLab, type LabVm, ROUTES, waitUntil } from "./gateway_lab.ts";
import { callSteadily } from "./steady_calls.ts";
import {
  configVersionOf,
  configVersions,
  newestVersions,
  waitForConfig,
} from "./lab_config.ts";

/** The users' bounds: for a configuration to be in force, and for a draining upstream's last request. */
const APPLY_MS = 4_000;
const DRAIN_MS = 4_000;
const REWRITTEN_AFTER_MS = 500;
const EXTRA_WRITES = 40;

/** The part of a VM's dump that tells what it holds of the store. */
interface StoreViewDump {
  readonly restoredAgoMs: number;
  readonly copies: {
    readonly operators: { readonly rev: number };
    readonly upstreams: { readonly rev: number };
  };
  readonly fleet: {
    readonly evacuated: readonly string[];
    readonly leaving: readonly string[];
    readonly upstreams: readonly {
      readonly id: string;
      readonly key: string;
      readonly state: string;
    }[];
  };
}

function dumpStoreView(vm: LabVm): StoreViewDump {
  return vm.gateway.dump().beliefs as StoreViewDump;
}

async function openRestorable(
  t: { teardown(run: () => Promise<void>): void },
  vmCount: number,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  for (let i = 0; i < 3; i++) await lab.addRunner();
  for (let i = 0; i < vmCount; i++) await lab.addVm();
  for (const vm of lab.vms) await lab.waitUntilReady(vm);
  return lab;
}

/** Writes more than the store will hold, and brings it back as it was before, after `awayMs`. */
async function restore(lab: GatewayLab, awayMs: number): Promise<void> {
  const copy = lab.store.store.copy();
  lab.configure();
  for (let i = 0; i < EXTRA_WRITES; i++) lab.store.put(`other/${i}`, {});
  const { rev } = lab.store.store;
  await waitUntil(() =>
    lab.vms.every((vm) => {
      const { operators, upstreams } = dumpStoreView(vm).copies;
      return operators.rev >= rev && upstreams.rev >= rev;
    })
  );
  lab.store.faults.set([{ outage: "cut" }]);
  await new Promise((resolve) => setTimeout(resolve, awayMs));
  lab.store.restore(copy);
  lab.store.faults.clear();
}

/** What operators and upstreams wrote is written again. */
async function writeAgain(lab: GatewayLab): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, REWRITTEN_AFTER_MS));
  lab.configure(ROUTES, {}, undefined, lab.configVersion);
  for (const runner of lab.runners) lab.register(runner);
}

describe("gateway", () => {
  describe("a store that comes back as it was some seconds ago", () => {
    for (
      const [vmCount, awayMs] of [[1, 200], [1, 1_500], [5, 200], [5, 1_500]]
    ) {
      const what = `${vmCount} VMs, away for ${awayMs} ms`;
      it(`puts a new configuration in force in time: ${what}`, async (t) => {
        const lab = await openRestorable(t, vmCount);
        await restore(lab, awayMs);
        await writeAgain(lab);
        lab.configure();
        await waitForConfig(lab, lab.vms, APPLY_MS);
        t.deepEqual(configVersions(lab), newestVersions(lab));
      });

      it(`takes a draining upstream away in time: ${what}`, async (t) => {
        const lab = await openRestorable(t, vmCount);
        const [draining] = lab.runners;
        for (const runner of lab.runners) runner.answerDelayMs = 80;
        await restore(lab, awayMs);
        await writeAgain(lab);
        lab.register(draining, "north", { state: "draining" });
        const startMs = performance.now();
        const load = { forMs: 6_000, perS: 60 };
        const answers = await callSteadily(
          lab,
          lab.vms,
          { path: "/safe/" },
          load,
        );
        t.true(answers.every(({ status }) => status === 200));
        const late = draining.arrivals.filter(({ arrivedMonoMs }) =>
          arrivedMonoMs - startMs > DRAIN_MS
        );
        t.is(late.length, 0);
      });
    }

    it("puts a new configuration in force in time if it comes back twice within seconds", async (t) => {
      const lab = await openRestorable(t, 2);
      const copy = lab.store.store.copy();
      await restore(lab, 200);
      lab.configure();
      lab.store.restore(copy);
      await writeAgain(lab);
      lab.configure();
      await waitForConfig(lab, lab.vms, APPLY_MS);
      t.deepEqual(configVersions(lab), newestVersions(lab));
    });

    it("is followed as before if its answers do not say how often it came back", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.store.era = undefined;
      lab.configure();
      await lab.addRunner();
      const vm = await lab.addVm();
      await lab.waitUntilReady(vm);
      lab.configure();
      lab.register(lab.runners[0], "north", { state: "draining" });
      await waitUntil(() =>
        configVersionOf(vm) === lab.configVersion &&
        dumpStoreView(vm).fleet.upstreams[0].state === "draining"
      );
      t.pass();
    });

    for (const region of ["north", "south"]) {
      it(`is known to a VM of ${region} that starts after it`, async (t) => {
        const lab = await openRestorable(t, 2);
        lab.store.restore(lab.store.store.copy());
        await waitUntil(() =>
          lab.vms.every((vm) => dumpStoreView(vm).restoredAgoMs < Infinity)
        );
        const started = await lab.addVm(region);
        await lab.waitUntilReady(started);
        const startMs = performance.now();
        await waitUntil(() =>
          performance.now() - startMs > APPLY_MS ||
          dumpStoreView(started).restoredAgoMs < Infinity
        );
        t.true(dumpStoreView(started).restoredAgoMs < Infinity);
      });
    }

    it("costs few calls until its revisions have caught up", async (t) => {
      const lab = await openRestorable(t, 1);
      await restore(lab, 200);
      const before = lab.store.calls;
      await new Promise((resolve) => setTimeout(resolve, 2_000));
      t.true(lab.store.calls - before < 20, `${lab.store.calls - before}`);
    });

    it("keeps an evacuation and a state of draining in force that it has lost", async (t) => {
      const lab = await openRestorable(t, 1);
      const [vm] = lab.vms;
      const copy = lab.store.store.copy();
      lab.store.put("op/evacuate/south-a", {});
      lab.register(lab.runners[0], "north", { state: "draining" });
      const isKnown = () => {
        const { evacuated, upstreams, leaving } = dumpStoreView(vm).fleet;
        return evacuated.includes("south-a") &&
          upstreams.some(({ key, state }) =>
            state === "draining" || leaving.includes(key)
          );
      };
      await waitUntil(isKnown);
      lab.store.restore(copy);
      const endMs = performance.now() + 2_000;
      while (performance.now() < endMs) {
        t.true(isKnown());
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
    });

    it("keeps an upstream in use that it has lost and that is written again", async (t) => {
      const lab = await openRestorable(t, 1);
      const [vm] = lab.vms;
      const copy = lab.store.store.copy();
      const late = await lab.addRunner();
      await lab.waitUntilReady(vm);
      lab.store.restore(copy);
      const ids = () => dumpStoreView(vm).fleet.upstreams.map(({ id }) => id);
      const endMs = performance.now() + 2_000;
      while (performance.now() < endMs && ids().includes(late.id)) {
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      t.true(ids().includes(late.id));
      await waitUntil(() => !ids().includes(late.id));
    });
  });
});
