import { createServer } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import { GatewayLab, type LabVm, ROUTES, until } from "./gateway_lab.ts";

const VMS = 6;

interface MembersDump {
  readonly isLead: boolean;
  readonly order: readonly { readonly id: string }[];
  readonly vms: number;
}

function members(vm: LabVm): MembersDump {
  return vm.gateway.dump().members as MembersDump;
}

function firstLead(lab: GatewayLab): LabVm {
  const [first] = members(lab.vms[0]).order;
  return lab.vms.find(({ settings }) => settings.vm.id === first.id)!;
}

/** A region whose VMs know each other and the lead. */
async function openRegion(
  t: { teardown(run: () => Promise<void>): void },
  runners: number,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  for (let i = 0; i < runners; i++) await lab.addRunner();
  for (let i = 0; i < VMS; i++) await lab.ready(await lab.addVm());
  const agree = () =>
    new Set(lab.vms.map((vm) => members(vm).order[0].id)).size === 1 &&
    lab.vms.every((vm) => members(vm).vms === VMS);
  await until(agree);
  return lab;
}

/** How the requests of a VM were placed, by its metrics page. */
async function placed(lab: GatewayLab, vm: LabVm, by: string): Promise<number> {
  const { ip } = vm.settings.vm;
  const page = await lab.get(`${ip}:${vm.settings.listen.metrics}`, "/metrics");
  const match = new RegExp(`placed_total\\{by="${by}"\\} (\\d+)`)
    .exec(page.body);
  return Number(match?.[1] ?? 0);
}

describe("gateway", () => {
  describe("a region of many VMs", () => {
    // Each VM alone would send its request to the same upstream, the one that is idle for all; the lead counts what it
    // has granted, and the four requests run side by side.
    it("places what comes to different VMs together on different upstreams", async (t) => {
      const lab = await openRegion(t, 4);
      const lead = firstLead(lab);
      const others = lab.vms.filter((vm) => vm !== lead).slice(0, 4);
      const answers = await Promise.all(
        others.map((vm) => lab.call(vm, { path: "/safe/" })),
      );
      t.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200]);
      t.deepEqual(
        lab.runners.map(({ arrivals }) => arrivals.length),
        [1, 1, 1, 1],
      );
      t.is(await placed(lab, others[0], "lead"), 1);
    });

    // The lead is gone without a word. Its VMs wait for no answer longer than a moment, and refuse nobody.
    it("serves on when its lead is lost", async (t) => {
      const lab = await openRegion(t, 2);
      const lead = firstLead(lab);
      const vm = lab.vms.find((other) => other !== lead)!;
      await lead.gateway.close();
      for (let i = 0; i < 6; i++) {
        t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      }
      t.true(await placed(lab, vm, "mute") > 0);
      await until(() =>
        lab.vms.every((other) =>
          other === lead || members(other).order[0].id !== lead.settings.vm.id
        )
      );
      const before = await placed(lab, vm, "lead") +
        await placed(lab, vm, "self");
      t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      const after = await placed(lab, vm, "lead") +
        await placed(lab, vm, "self");
      t.is(after, before + 1);
    });

    // Only leads ask the store; a VM that is none must still have a new route, and stop sending to an upstream that leaves.
    it("has the news of the store on every VM", async (t) => {
      const lab = await openRegion(t, 1);
      lab.configure([...ROUTES, { ...ROUTES[0], path_prefix: "/new/" }]);
      for (const vm of lab.vms) {
        await until(async () =>
          (await lab.call(vm, { path: "/new/" })).status === 200
        );
      }
      lab.register(lab.runners[0], "north", { state: "draining" });
      for (const vm of lab.vms) {
        await until(async () =>
          (await lab.call(vm, { path: "/safe/" })).status === 503
        );
      }
      const served = () =>
        lab.vms.filter(({ gateway }) =>
          (gateway.dump().beliefs as { isServed: boolean }).isServed
        );
      await until(() => served().length === 3);
      t.pass();
    });

    // The store turns all leads away and serves the operator and the other VMs.
    it("hears of a new route from a standby when the store turns its leads away", async (t) => {
      const lab = await openRegion(t, 1);
      const leads = members(lab.vms[0]).order.slice(0, 3).map(({ id }) => id);
      lab.server.faults.set([{
        vm: `^(${leads.join("|")})$`,
        outage: "refuse",
      }]);
      lab.configure([...ROUTES, { ...ROUTES[0], path_prefix: "/new/" }]);
      for (const vm of lab.vms) {
        await until(async () =>
          (await lab.call(vm, { path: "/new/" })).status === 200
        );
      }
      t.pass();
    });
  });

  describe("an upstream that goes dark", () => {
    // It holds a request, says nothing more and takes no connection: its power is gone. The caller of a call that may be
    // repeated learns nothing until its deadline, though another upstream is free.
    it("is left by what may be repeated, well before the deadline", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure(
        ROUTES.map((route) => ({
          ...route,
          resumable: route.kind === "streaming",
        })),
      );
      // Takes one connection and is silent; then its listener closes, and the connection stays.
      const dark = createServer(() => {});
      await new Promise<void>((resolve) =>
        dark.listen(0, "127.0.0.1", resolve)
      );
      const { port } = dark.address() as { port: number };
      const vm = await lab.addVm();
      lab.server.put("servers/i-dark", {
        service: "s",
        address: `127.0.0.1:${port}`,
        zone: "north-a",
        slots: 8,
        state: "ready",
        seq: 1,
      });
      await until(() =>
        vm.log.lines.some(({ fields }) =>
          String(fields.upstream).startsWith("i-dark")
        )
      );
      const arrived = new Promise<void>((resolve) =>
        dark.once("connection", () => resolve())
      );
      const answer = lab.call(vm, {
        path: "/stream/",
        method: "POST",
        headers: { "deadline-ms": "10000" },
      });
      await arrived;
      dark.close();
      await lab.addRunner();
      t.is((await answer).status, 200);
      t.true(vm.log.lines.some(({ event }) => event === "upstream dark"));
    });
  });
});
