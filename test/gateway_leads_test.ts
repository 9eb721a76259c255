import { createServer } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import {
  dumpMembers,
  GatewayLab,
  type LabVm,
  openRegion,
  ROUTES,
  waitUntil,
} from "./gateway_lab.ts";

function findFirstLead(lab: GatewayLab): LabVm {
  const [first] = dumpMembers(lab.vms[0]).order;
  return lab.vms.find(({ settings }) => settings.vm.id === first.id)!;
}

/** Reads from a VM's metrics how many of its requests were placed by `by`. */
async function countPlaced(
  lab: GatewayLab,
  vm: LabVm,
  by: string,
): Promise<number> {
  const { ip } = vm.settings.vm;
  const page = await lab.get(`${ip}:${vm.settings.listen.metrics}`, "/metrics");
  const match = new RegExp(`placed_total\\{by="${by}"\\} (\\d+)`)
    .exec(page.body);
  return Number(match?.[1] ?? 0);
}

describe("gateway", () => {
  describe("a region of many VMs", () => {
    // Each VM alone would send its request to the same upstream, which all of them see as idle. The lead counts what it
    // has granted, so the four requests run side by side.
    it("places what comes to different VMs together on different upstreams", async (t) => {
      const lab = await openRegion(t, 4);
      const lead = findFirstLead(lab);
      const others = lab.vms.filter((vm) => vm !== lead).slice(0, 4);
      const answers = await Promise.all(
        others.map((vm) => lab.call(vm, { path: "/safe/" })),
      );
      t.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200]);
      t.deepEqual(
        lab.runners.map(({ arrivals }) => arrivals.length),
        [1, 1, 1, 1],
      );
      t.is(await countPlaced(lab, others[0], "lead"), 1);
    });

    // The lead is lost without notice. The other VMs wait only a short time for its answers, and refuse no request.
    it("serves on when its lead is lost", async (t) => {
      const lab = await openRegion(t, 2);
      const lead = findFirstLead(lab);
      const vm = lab.vms.find((other) => other !== lead)!;
      await lead.gateway.close();
      for (let i = 0; i < 6; i++) {
        t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      }
      t.true(await countPlaced(lab, vm, "mute") > 0);
      await waitUntil(() =>
        lab.vms.every((other) =>
          other === lead ||
          dumpMembers(other).order[0].id !== lead.settings.vm.id
        )
      );
      const before = await countPlaced(lab, vm, "lead") +
        await countPlaced(lab, vm, "self");
      t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      const after = await countPlaced(lab, vm, "lead") +
        await countPlaced(lab, vm, "self");
      t.is(after, before + 1);
    });

    // Only leads query the store. A VM that is not a lead must still get a new route, and stop sending to a draining
    // upstream.
    it("applies changes in the store on every VM", async (t) => {
      const lab = await openRegion(t, 1);
      lab.configure([...ROUTES, { ...ROUTES[0], path_prefix: "/new/" }]);
      for (const vm of lab.vms) {
        await waitUntil(async () =>
          (await lab.call(vm, { path: "/new/" })).status === 200
        );
      }
      lab.register(lab.runners[0], "north", { state: "draining" });
      for (const vm of lab.vms) {
        await waitUntil(async () =>
          (await lab.call(vm, { path: "/safe/" })).status === 503
        );
      }
      const findServedVms = () =>
        lab.vms.filter(({ gateway }) =>
          (gateway.dump().beliefs as { isServed: boolean }).isServed
        );
      await waitUntil(() => findServedVms().length === 3);
      t.pass();
    });

    // The store refuses all leads, and serves the operator and the other VMs.
    it("learns of a new route from a standby when the store refuses its leads", async (t) => {
      const lab = await openRegion(t, 1);
      const leads = dumpMembers(lab.vms[0]).order.slice(0, 3).map(({ id }) =>
        id
      );
      lab.store.faults.set([{
        vm: `^(${leads.join("|")})$`,
        outage: "refuse",
      }]);
      lab.configure([...ROUTES, { ...ROUTES[0], path_prefix: "/new/" }]);
      for (const vm of lab.vms) {
        await waitUntil(async () =>
          (await lab.call(vm, { path: "/new/" })).status === 200
        );
      }
      t.pass();
    });
  });

  describe("an upstream that loses power", () => {
    // The upstream has a request in flight, sends nothing more and accepts no connection. The caller of a call that may
    // be retried would get no answer until its deadline, though another upstream is free.
    it("has its retryable requests sent to another one well before their deadline", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure(
        ROUTES.map((route) => ({
          ...route,
          resumable: route.kind === "streaming",
        })),
      );
      // The server accepts one connection and sends nothing; then its listener closes, and the connection stays open.
      const silentServer = createServer(() => {});
      await new Promise<void>((resolve) =>
        silentServer.listen(0, "127.0.0.1", resolve)
      );
      const { port } = silentServer.address() as { port: number };
      const vm = await lab.addVm();
      lab.store.put("servers/i-dark", {
        service: "s",
        address: `127.0.0.1:${port}`,
        zone: "north-a",
        slots: 8,
        state: "ready",
        seq: 1,
      });
      await waitUntil(() =>
        vm.log.lines.some(({ fields }) =>
          String(fields.upstream).startsWith("i-dark")
        )
      );
      const connected = new Promise<void>((resolve) =>
        silentServer.once("connection", () => resolve())
      );
      const answer = lab.call(vm, {
        path: "/stream/",
        method: "POST",
        headers: { "deadline-ms": "10000" },
      });
      await connected;
      silentServer.close();
      await lab.addRunner();
      t.is((await answer).status, 200);
      t.true(vm.log.lines.some(({ event }) => event === "upstream dark"));
    });
  });
});
