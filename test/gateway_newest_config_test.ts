import { describe, it } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { sleep } from "./cluster.ts";
import { GatewayLab, ROUTES, waitUntil } from "./gateway_lab.ts";
import {
  configVersionOf,
  configVersions,
  newestVersions,
  waitForConfig,
} from "./lab_config.ts";

/** The users' bound for a configuration to be in force. */
const APPLY_MS = 4_000;
/** Between the return of the store and the start of further VMs. */
const START_DELAY_MS = 1_500;

const ADDED_PATH = "/added/";
const ROUTES_WITH_ADDED = [...ROUTES, makeRoute({ path_prefix: ADDED_PATH })];

const REGIONS = ["north", "south"] as const;

/** Opens VMs in two regions, each with an upstream. */
async function openTwoRegions(
  t: { teardown(run: () => Promise<void>): void },
  vmsPerRegion: number,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  for (const region of REGIONS) await lab.addRunner(region);
  for (let i = 0; i < vmsPerRegion; i++) {
    for (const region of REGIONS) await lab.addVm(region);
  }
  for (const vm of lab.vms) await lab.waitUntilReady(vm);
  return lab;
}

/** Puts a configuration with a further route in force everywhere. */
async function addRoute(lab: GatewayLab): Promise<void> {
  lab.configure(ROUTES_WITH_ADDED);
  await waitUntil(() =>
    lab.vms.every((vm) => configVersionOf(vm) === lab.configVersion)
  );
}

/** Brings the store back as it was before the route was added. */
async function loseRoute(lab: GatewayLab): Promise<void> {
  const copy = lab.store.store.copy();
  await addRoute(lab);
  lab.store.restore(copy);
}

describe("gateway", () => {
  describe("a VM that starts", () => {
    it("puts the configuration of the others in force, though the store came back with an older one", async (t) => {
      const lab = await openTwoRegions(t, 2);
      await loseRoute(lab);
      await sleep(START_DELAY_MS);
      const started = [await lab.addVm("north"), await lab.addVm("south")];
      await waitForConfig(lab, started, APPLY_MS);
      t.deepEqual(configVersions(lab), newestVersions(lab));
      for (const vm of started) {
        await lab.waitUntilReady(vm);
        t.is((await lab.call(vm, { path: ADDED_PATH })).status, 200);
      }
    });

    it("puts the configuration of another region in force, where all VMs of its own are lost", async (t) => {
      const lab = await openTwoRegions(t, 2);
      await loseRoute(lab);
      await sleep(START_DELAY_MS);
      const south = lab.vms.filter(({ settings }) =>
        settings.vm.region === "south"
      );
      for (const vm of south) await lab.closeVm(vm);
      const started = await lab.addVm("south");
      await waitForConfig(lab, [started], APPLY_MS);
      t.is(configVersionOf(started), lab.configVersion);
    });

    it("passes the configuration in force on to those that start after it", async (t) => {
      const lab = await openTwoRegions(t, 1);
      await loseRoute(lab);
      const first = await lab.addVm("north");
      await waitForConfig(lab, [first], APPLY_MS);
      const before = lab.vms.filter((vm) => vm !== first);
      for (const vm of before) await lab.closeVm(vm);
      const second = await lab.addVm("north");
      await waitForConfig(lab, [second], APPLY_MS);
      t.is(configVersionOf(second), lab.configVersion);
    });

    it("puts the configuration of the others in force, though an older write took effect after it", async (t) => {
      const lab = await openTwoRegions(t, 2);
      const older = lab.store.store.get("op/config")!.value;
      await addRoute(lab);
      lab.store.put("op/config", older);
      const started = await lab.addVm("north");
      await waitForConfig(lab, [started], APPLY_MS);
      t.is(configVersionOf(started), lab.configVersion);
    });

    it("puts the configuration of the others in force, though the store's can't be read", async (t) => {
      const lab = await openTwoRegions(t, 2);
      lab.store.put("op/config", "{");
      const started = await lab.addVm("north");
      await waitForConfig(lab, [started], APPLY_MS);
      t.is(configVersionOf(started), lab.configVersion);
    });

    it("prefers a later configuration of the store to the one that others hold", async (t) => {
      const lab = await openTwoRegions(t, 2);
      await loseRoute(lab);
      const started = await lab.addVm("north");
      await waitForConfig(lab, [started], APPLY_MS);
      lab.configure(ROUTES);
      await waitForConfig(lab, lab.vms, APPLY_MS);
      t.deepEqual(configVersions(lab), newestVersions(lab));
      t.is((await lab.call(started, { path: ADDED_PATH })).status, 404);
    });
  });
});
