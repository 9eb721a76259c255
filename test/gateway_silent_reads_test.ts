import { describe, it } from "../src/base/describe.ts";
import {
  dumpMembers,
  GatewayLab,
  type LabVm,
  openRegion,
  waitUntil,
} from "./gateway_lab.ts";

/** The users' bound for a configuration to be in force. */
const APPLY_MS = 5_000;
const READER_COUNT = 3;
const SILENT_BEFORE_MS = [50, 2_400];
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function configVersionOf(vm: LabVm): number | undefined {
  return (vm.gateway.dump().beliefs as { configVersion?: number })
    .configVersion;
}

/** Writes a configuration, and waits until all VMs have it in force or the time is over. */
async function configureInTime(lab: GatewayLab): Promise<void> {
  lab.configure();
  const endMs = performance.now() + APPLY_MS;
  await waitUntil(() =>
    performance.now() > endMs ||
    lab.vms.every((vm) => configVersionOf(vm) === lab.configVersion)
  );
}

describe("gateway", () => {
  describe("a new configuration is in force in time though no reader of the region gets an answer", () => {
    const silences = [["to any call", ""], ["to calls for it alone", "op/"]];
    for (const [what, keyPrefix] of silences) {
      for (const beforeMs of SILENT_BEFORE_MS) {
        it(`${what}, since ${beforeMs} ms before`, async (t) => {
          const lab = await openRegion(t, 1);
          const vms = dumpMembers(lab.vms[0]).order.slice(0, READER_COUNT)
            .map(({ id }) => id);
          lab.store.silence = { vms, keyPrefix };
          await sleep(beforeMs);
          await configureInTime(lab);
          t.deepEqual(
            lab.vms.map(configVersionOf),
            lab.vms.map(() => lab.configVersion),
          );
        });
      }
    }
  });

  describe("a new configuration is in force in time though only another region gets answers", () => {
    for (const beforeMs of SILENT_BEFORE_MS) {
      it(`since ${beforeMs} ms before`, async (t) => {
        const lab = new GatewayLab();
        t.teardown(() => lab.close());
        lab.configure();
        await lab.addRunner();
        for (const region of ["north", "south", "south", "south"]) {
          await lab.waitUntilReady(await lab.addVm(region));
        }
        lab.store.silence = { vms: ["vm-2", "vm-3", "vm-4"], keyPrefix: "" };
        await sleep(beforeMs);
        await configureInTime(lab);
        t.deepEqual(
          lab.vms.map(configVersionOf),
          lab.vms.map(() => lab.configVersion),
        );
      });
    }
  });
});
