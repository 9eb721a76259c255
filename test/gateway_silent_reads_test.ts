import { describe, it } from "../src/base/describe.ts";
import { sleep } from "./cluster.ts";
import { dumpMembers, GatewayLab, openRegion } from "./gateway_lab.ts";
import { configVersions, newestVersions, waitForConfig } from "./lab_config.ts";

/** The users' bound for a configuration to be in force. */
const APPLY_MS = 5_000;
const READER_COUNT = 3;
const SILENT_BEFORE_MS = [50, 2_400];

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
          lab.configure();
          await waitForConfig(lab, lab.vms, APPLY_MS);
          t.deepEqual(configVersions(lab), newestVersions(lab));
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
        lab.configure();
        await waitForConfig(lab, lab.vms, APPLY_MS);
        t.deepEqual(configVersions(lab), newestVersions(lab));
      });
    }
  });
});
