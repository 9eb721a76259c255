import { describe, it } from "../base/describe.ts";
import { ManualClock } from "../base/mod.ts";
import { VM_PREFIX } from "../platform/mod.ts";
import { MemoryKeyValue, PlatformStore } from "../standins/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import { VmRegistration } from "./vm_registration.ts";

/** Longer than a VM has to lead, and than the pause between two renewals. */
const REGISTERED_MS = 9_000;

/** A lead that has written its entry, and the store as it was before. */
async function openRegistered() {
  const clock = new ManualClock();
  const store = new PlatformStore(() => clock.monoMs());
  const copy = store.copy();
  const registration = new VmRegistration({
    self: {
      id: "vm-1",
      ip: "10.0.0.1",
      region: "north",
      failureDomain: "north-a",
      bornMs: 1,
      cores: 1,
    },
    store: new MemoryKeyValue({ store, clock }),
    leastLeaseMs: 1_000,
    clock,
    log: SILENT_LOG,
    hasSeeds: false,
    isLead: () => true,
    isAlone: () => false,
    onFound: () => {},
  });
  registration.start();
  await clock.advance(REGISTERED_MS);
  return { clock, store, copy, registration };
}

/** Another program takes the number of the lease that the store forgot. */
function takeLease(store: PlatformStore): void {
  const leaseId = store.grant(60_000);
  store.transact([], [{ type: "put", key: "other", value: "", leaseId }]);
}

describe("vm registration", () => {
  describe("after the store came back and gave the number of its lease to another", () => {
    it("writes the VM's entry again", async (t) => {
      const { clock, store, copy } = await openRegistered();
      t.truthy(store.get(`${VM_PREFIX}vm-1`));
      store.restore(copy);
      takeLease(store);
      await clock.advance(REGISTERED_MS);
      t.truthy(store.get(`${VM_PREFIX}vm-1`));
    });

    it("does not end the other lease when it closes", async (t) => {
      const { store, copy, registration } = await openRegistered();
      store.restore(copy);
      takeLease(store);
      // Any answer names the change.
      await registration.close();
      t.truthy(store.get("other"));
    });
  });
});
