import { describe, it } from "../src/base/describe.ts";
import { parseGatewaySettings } from "../src/gateway/mod.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { GatewayLab, openLab, ROUTES, waitUntil } from "./gateway_lab.ts";
import { runIbisgap } from "./run_ibisgap.ts";

describe("gateway", () => {
  describe("an operator who dumps a VM's state", () => {
    it("gets all tasks, or one of them", async (t) => {
      const { vm, lab } = await openLab(t, 1);
      const { peers } = vm.settings.listen;
      const all = await runIbisgap("vm-dump", peers);
      t.is(all.code, 0, all.err);
      const beliefs = await runIbisgap("vm-dump", peers, "beliefs");
      t.regex(beliefs.out, /"configVersion": 3/);
      t.true(beliefs.out.includes(lab.runners[0].id));
      t.deepEqual(
        Object.keys(JSON.parse(all.out)).includes("members"),
        true,
      );
    });

    it("is told what is wrong with the command", async (t) => {
      const { vm } = await openLab(t, 1);
      const { peers } = vm.settings.listen;
      const unknownTask = await runIbisgap("vm-dump", peers, "nothing");
      t.is(unknownTask.code, 2);
      t.regex(unknownTask.err, /there is no task "nothing"; tasks: .*beliefs/);
      t.is((await runIbisgap("vm-dump", "not an address")).code, 2);
      const unreachable = await runIbisgap("vm-dump", "127.0.0.1:1");
      t.is(unreachable.code, 3);
      t.regex(unreachable.err, /cannot reach 127\.0\.0\.1:1: .*ECONNREFUSED/);
    });
  });

  describe("the contents of the store", () => {
    it("put new routes in force soon, and an older version is never applied", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.configure([...ROUTES, makeRoute({ path_prefix: "/new/" })]);
      await waitUntil(async () =>
        (await lab.call(vm, { path: "/new/" })).status === 200
      );
      lab.store.put("op/config", {
        version: 1,
        routes: [],
        services: [],
        limits: {},
      });
      lab.store.put("op/config", "garbage");
      await lab.call(vm, { path: "/safe/" });
      t.is((await lab.call(vm, { path: "/new/" })).status, 200);
    });

    it("keep requests away from draining or evacuated upstreams", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      lab.register(lab.runners[0], "north", { state: "draining" });
      await waitUntil(() =>
        vm.log.lines.some(({ fields }) => fields.state === "draining")
      );
      for (let i = 0; i < 4; i++) await lab.call(vm, { path: "/safe/" });
      t.is(lab.runners[0].arrivals.length, 0);
      lab.store.put("op/evacuate/north-a", {});
      await waitUntil(() =>
        vm.log.lines.some(({ event }) => event === "evacuated")
      );
      t.is((await lab.call(vm, { path: "/safe/" })).status, 503);
      lab.store.remove("op/evacuate/north-a");
      await waitUntil(async () =>
        (await lab.call(vm, { path: "/safe/" })).status === 200
      );
    });

    // All VMs start while the store is unavailable. There is no configuration, and a 404 would tell callers that their
    // route is gone.
    it("are unknown after a start during an outage: requests are refused for now, and the VM is not ready", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure();
      lab.store.faults.set([{ outage: "refuse" }]);
      const vm = await lab.addVm();
      const answer = await lab.call(vm, { path: "/safe/" });
      t.is(answer.status, 503);
      t.true(Number(answer.headers["retry-after"]) > 0);
      t.is((await lab.get(vm.settings.listen.ready, "/api/ready")).status, 503);
      lab.store.faults.clear();
      await lab.addRunner();
      await lab.waitUntilReady(vm);
      t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
    });

    // The store refuses one VM, and serves the others and the operator.
    it("reach a VM that the store refuses, through another VM", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const second = await lab.addVm();
      await lab.waitUntilReady(second);
      lab.store.faults.set([{ vm: "^vm-1$", outage: "refuse" }]);
      lab.configure([...ROUTES, makeRoute({ path_prefix: "/new/" })]);
      await waitUntil(async () =>
        (await lab.call(vm, { path: "/new/" })).status === 200
      );
      lab.register(lab.runners[0], "north", { state: "draining" });
      await waitUntil(async () =>
        (await lab.call(vm, { path: "/safe/" })).status === 503
      );
      t.pass();
    });

    // The fourth VM of a region does not query the store about upstreams, but must still stop sending to a draining
    // one.
    it("reach a VM that does not query the store", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      for (let i = 0; i < 3; i++) await lab.waitUntilReady(await lab.addVm());
      const findServedVms = () =>
        lab.vms.filter(({ gateway }) =>
          (gateway.dump().beliefs as { isServed: boolean }).isServed
        );
      await waitUntil(() => findServedVms().length === 3);
      const servedVms = new Set(findServedVms());
      const unservedVm = lab.vms.find((other) => !servedVms.has(other))!;
      t.is((await lab.call(unservedVm, { path: "/safe/" })).status, 200);
      lab.register(lab.runners[0], "north", { state: "draining" });
      await waitUntil(async () =>
        (await lab.call(unservedVm, { path: "/safe/" })).status === 503
      );
      t.true(
        unservedVm.log.lines.some(({ event, fields }) =>
          event === "learnt from a peer" && fields.matter === "upstreams"
        ),
      );
      t.is((await lab.call(vm, { path: "/safe/" })).status, 503);
    });

    // All entries expire in an outage and are back two seconds after its end. Until then their upstreams keep serving.
    it("drop upstreams that expired in an outage only if they stay away", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.store.faults.set([{ outage: "refuse" }]);
      await waitUntil(() =>
        vm.log.lines.some(({ event }) => event === "store lost")
      );
      lab.store.remove(`servers/${lab.runners[0].id}`);
      lab.store.faults.clear();
      await waitUntil(() =>
        vm.log.lines.filter(({ event }) => event === "store regained").length >=
          2
      );
      t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      await waitUntil(() =>
        vm.log.lines.some(({ event }) => event === "upstream gone")
      );
      t.is((await lab.call(vm, { path: "/safe/" })).status, 503);
    });
  });

  describe("a VM that drains", () => {
    it("is at once not ready and not in the directory, and still serves the requests that arrive", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const second = await lab.addVm();
      await lab.waitUntilReady(second);
      const lookUpAddresses = async () => {
        const answer = await lab.get(
          second.settings.listen.directory,
          "/api/lookup?name=h&region=north&zone=north-a",
        );
        return (JSON.parse(answer.body) as { addresses: string[] }).addresses;
      };
      await waitUntil(async () => (await lookUpAddresses()).length === 2);
      const drained = vm.gateway.drain();
      t.is((await lab.get(vm.settings.listen.ready, "/api/ready")).status, 503);
      await waitUntil(async () => (await lookUpAddresses()).length === 1);
      const lateAnswer = await lab.call(vm, { path: "/safe/" });
      t.is(lateAnswer.status, 200);
      t.is(lateAnswer.headers.connection, "close");
      await drained;
    });
  });

  describe("new settings", () => {
    it("take effect while requests are served; another address needs a restart", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      vm.gateway.reload({
        ...vm.settings,
        bounds: { ...vm.settings.bounds, graceMs: 5_000 },
      });
      t.false(vm.log.lines.at(-1)!.fields.needsRestart);
      vm.gateway.reload({
        ...vm.settings,
        vm: { ...vm.settings.vm, ip: "127.0.0.9" },
      });
      t.true(vm.log.lines.at(-1)!.fields.needsRestart);
      t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
    });

    it("that are invalid are reported field by field", (t) => {
      const result = parseGatewaySettings(
        JSON.stringify({ vm: { id: "" }, listen: { callers: "here" } }),
      );
      const fields = result._unsafeUnwrapErr().map(({ field }) => field);
      for (
        const field of ["vm.id", "vm.ip", "listen.callers", "store", "bounds"]
      ) {
        t.true(fields.includes(field), field);
      }
      t.is(parseGatewaySettings("{").isErr(), true);
    });
  });
});
