import { describe, it } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { sleep } from "./cluster.ts";
import {
  type CallerRequest,
  GatewayLab,
  type LabVm,
  openLab,
  openRegion,
  ROUTES,
  waitUntil,
} from "./gateway_lab.ts";

/** The users' bound for a configuration to be in force. */
const APPLY_MS = 5_000;
const ADDED = { path: "/added/" };
const ROUTES_WITH_ADDED = [...ROUTES, makeRoute({ path_prefix: ADDED.path })];
const CALL_EVERY_MS = 200;
/** Requests beyond the limits of the lab's configuration, which a newer one may raise. */
const LARGE_REQUESTS: Readonly<Record<string, CallerRequest>> = {
  "is refused for now, not for good, if its body is too large here": {
    path: "/safe/",
    method: "POST",
    body: "b".repeat(20_000),
  },
  "is refused for now, not for good, if its headers are too large here": {
    path: "/safe/",
    headers: { "x-long": "h".repeat(5_000) },
  },
};

/** Makes the store answer no call of these VMs from now on. */
function silence(lab: GatewayLab, vms: readonly LabVm[]): void {
  const ids = vms.map(({ settings }) => settings.vm.id);
  lab.store.silence = { vms: ids, keyPrefix: "" };
}

async function statusOfAdded(lab: GatewayLab, vm: LabVm): Promise<number> {
  return (await lab.call(vm, ADDED)).status;
}

describe("gateway", () => {
  describe("a request that the configuration in force here does not allow", () => {
    it("is refused for now, not for good, by a VM that can't know of a newer configuration", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      silence(lab, [vm]);
      lab.configure(ROUTES_WITH_ADDED);
      await sleep(APPLY_MS);
      const answer = await lab.call(vm, ADDED);
      t.is(answer.status, 503);
      t.true(Number(answer.headers["retry-after"]) > 0);
    });

    for (const [what, request] of Object.entries(LARGE_REQUESTS)) {
      it(`${what}, by a VM that can't know of a newer configuration`, async (t) => {
        const { lab, vm } = await openLab(t, 1);
        t.true([413, 431].includes((await lab.call(vm, request)).status));
        silence(lab, [vm]);
        await sleep(APPLY_MS);
        const answer = await lab.call(vm, request);
        t.is(answer.status, 503);
        t.true(Number(answer.headers["retry-after"]) > 0);
      });
    }

    it("is refused for good by a VM alone that the store answers", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      for (let ms = 0; ms < APPLY_MS; ms += CALL_EVERY_MS) {
        t.is(await statusOfAdded(lab, vm), 404);
        await sleep(CALL_EVERY_MS);
      }
    });

    it("is refused for good by a VM that only others answer", async (t) => {
      const lab = await openRegion(t, 1);
      const [vm] = lab.vms;
      silence(lab, [vm]);
      for (let ms = 0; ms < 2 * APPLY_MS; ms += CALL_EVERY_MS) {
        t.is(await statusOfAdded(lab, vm), 404);
        await sleep(CALL_EVERY_MS);
      }
    });

    it("is served once the store answers again", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      silence(lab, [vm]);
      lab.configure(ROUTES_WITH_ADDED);
      await sleep(APPLY_MS);
      silence(lab, []);
      await waitUntil(async () => await statusOfAdded(lab, vm) === 200);
      t.pass();
    });
  });
});
