import { describe, itAlone as it } from "../src/base/describe.ts";
import { GatewayLab, waitUntil } from "./gateway_lab.ts";

const REQUEST = { path: "/safe/x", method: "POST" };
/** Longer than a region's capacity takes to be known in the other one. */
const NEWS_MS = 1_500;

describe("gateway", () => {
  describe("a region whose upstreams have all just lost connections", () => {
    it("still gets the requests of a region without upstreams", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure();
      for (let i = 0; i < 2; i++) await lab.addRunner("north");
      const north = await lab.addVm("north");
      const south = await lab.addVm("south");
      for (const vm of lab.vms) await lab.waitUntilReady(vm);
      await waitUntil(async () =>
        (await lab.call(south, REQUEST)).status === 200
      );
      for (const runner of lab.runners) runner.behavior = "reset";
      const endMs = performance.now() + NEWS_MS;
      while (performance.now() < endMs) await lab.call(north, REQUEST);
      for (const runner of lab.runners) runner.behavior = "well";
      t.is((await lab.call(south, REQUEST)).status, 200);
    });
  });
});
