import { describe, it } from "../src/base/describe.ts";
import { secretDigest } from "../src/base/mod.ts";
import {
  makeConfig,
  makeRoute,
  makeWorkspace,
  PLATFORM_CONFIG_KEY,
} from "../src/standins/mod.ts";
import {
  type CallerRequest,
  GatewayLab,
  type LabVm,
  ROUTES,
  waitUntil,
} from "./gateway_lab.ts";

const KEY = "key-of-the-convoys-1";
const OTHER_KEY = "key-of-the-clinic-2";
const WORKSPACES = [
  makeWorkspace("convoys", [KEY, "key-of-the-convoys-2"]),
  makeWorkspace("clinic", [OTHER_KEY]),
];
const OPEN_ROUTES = [
  ...ROUTES,
  makeRoute({ path_prefix: "/open/", anonymous: true }),
];

function withKey(key: string): Pick<CallerRequest, "headers"> {
  return { headers: { authorization: `Bearer ${key}` } };
}

async function openLabWithKeys(
  t: { teardown(run: () => Promise<void>): void },
  regions: readonly string[] = ["north"],
): Promise<{ readonly lab: GatewayLab; readonly vm: LabVm }> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(OPEN_ROUTES, {}, WORKSPACES);
  for (const region of regions) await lab.addRunner(region);
  for (const region of regions) {
    await lab.waitUntilReady(await lab.addVm(region));
  }
  return { lab, vm: lab.vms[0] };
}

describe("gateway", () => {
  describe("a caller's key", () => {
    it("makes the upstream get its workspace, but neither the key nor a forged workspace name", async (t) => {
      const { lab, vm } = await openLabWithKeys(t);
      const answer = await lab.call(vm, {
        path: "/safe/",
        headers: { authorization: `bearer ${OTHER_KEY}`, tenant: "convoys" },
      });
      t.is(answer.status, 200);
      const { headers } = lab.runners[0].arrivals[0];
      t.is(headers.tenant, "clinic");
      t.is(headers.authorization, undefined);
      t.false(JSON.stringify(headers).includes(secretDigest(OTHER_KEY)));
    });

    const refusedHeaders: Record<string, Record<string, string | string[]>> = {
      "that is missing": {},
      "that nobody holds": { authorization: "Bearer nobody" },
      "in the wrong case": { authorization: `Bearer ${KEY.toUpperCase()}` },
      "of another scheme": { authorization: `Basic ${KEY}` },
      "followed by more text": { authorization: `Bearer ${KEY} ${KEY}` },
      "sent twice": { authorization: [`Bearer ${KEY}`, `Bearer ${KEY}`] },
      "of three kilobytes": { authorization: `Bearer ${"k".repeat(3_000)}` },
      "with a non-ASCII character": { authorization: `Bearer ${KEY}\u00e9` },
      "replaced by a workspace name": { tenant: "convoys" },
      "in the header of another VM's relay": {
        "ibisgap-key-digest": secretDigest(KEY),
      },
    };
    for (const [name, headers] of Object.entries(refusedHeaders)) {
      it(`${name} is refused after the head alone`, async (t) => {
        const { lab, vm } = await openLabWithKeys(t);
        const answer = await lab.call(vm, {
          path: "/once/",
          method: "POST",
          isHeadOnly: true,
          headers: {
            ...headers as Record<string, string>,
            "content-length": "5",
          },
        });
        t.is(answer.status, 401);
        t.is(lab.runners[0].arrivals.length, 0);
      });
    }

    it("is not required on an anonymous route", async (t) => {
      const { lab, vm } = await openLabWithKeys(t);
      const answer = await lab.call(vm, {
        path: "/open/",
        headers: { tenant: "convoys" },
      });
      t.is(answer.status, 200);
      t.is(lab.runners[0].arrivals[0].headers.tenant, undefined);
    });

    it("is passed on to the upstream if there are no workspaces", async (t) => {
      const { lab, vm } = await openLabWithKeys(t);
      lab.configure(OPEN_ROUTES);
      await waitUntil(async () =>
        (await lab.call(vm, { path: "/safe/" })).status === 200
      );
      await lab.call(vm, { path: "/safe/", ...withKey("theirs") });
      t.is(
        lab.runners[0].arrivals.at(-1)?.headers.authorization,
        "Bearer theirs",
      );
    });

    // The other region's VM looks up the workspace itself and trusts nothing that a stranger sends to its port.
    it("is sent to another region as a digest, and a forged relay is refused", async (t) => {
      const { lab, vm } = await openLabWithKeys(t, ["north", "south"]);
      const request = { path: "/south/", method: "POST", ...withKey(KEY) };
      await waitUntil(async () => (await lab.call(vm, request)).status === 200);
      const [, south] = lab.runners;
      const arrival = south.arrivals.at(-1)!;
      t.is(arrival.headers.tenant, "convoys");
      t.false(/ibisgap-|key-of/.test(JSON.stringify(arrival.headers)));
      const before = south.arrivals.length;
      const forged = await lab.get(lab.vms[1].settings.listen.peers, "/safe/");
      t.is(forged.status, 401);
      t.is(south.arrivals.length, before);
    });

    it("never appears in a log, a dump, the metrics or what VMs send each other", async (t) => {
      const { lab, vm } = await openLabWithKeys(t);
      await lab.call(vm, { path: "/safe/", ...withKey(KEY) });
      await lab.call(vm, { path: "/safe/", ...withKey("not-a-key-of-anyone") });
      const { peers } = vm.settings.listen;
      const [host, port] = peers.split(":");
      const news = await fetch(`http://${host}:${port}/ibisgap/rpc`, {
        method: "POST",
        body: JSON.stringify({
          jsonrpc: "2.0",
          id: 1,
          method: "news",
          params: { matter: "operators", sinceRev: 0, heldHashes: {} },
        }),
      }).then((answer) => answer.text());
      t.true(news.includes("convoys"));
      const { ip } = vm.settings.vm;
      const metrics = await lab.get(
        `${ip}:${vm.settings.listen.metrics}`,
        "/metrics",
      );
      const allOutput = [
        news,
        metrics.body,
        JSON.stringify(vm.gateway.dump()),
        JSON.stringify(vm.log.lines),
      ].join();
      for (const key of [KEY, OTHER_KEY, "not-a-key-of-anyone"]) {
        t.false(allOutput.includes(key), key);
      }
    });
  });

  describe("a revoked key", () => {
    const FEWER_KEYS = [
      makeWorkspace("convoys", ["key-of-the-convoys-2"]),
      makeWorkspace("clinic", [OTHER_KEY]),
    ];

    it("is refused soon, and an older configuration does not bring it back", async (t) => {
      const { lab, vm } = await openLabWithKeys(t);
      const request = { path: "/safe/", ...withKey(KEY) };
      t.is((await lab.call(vm, request)).status, 200);
      lab.configure(OPEN_ROUTES, {}, FEWER_KEYS);
      await waitUntil(async () => (await lab.call(vm, request)).status === 401);
      lab.store.put(
        PLATFORM_CONFIG_KEY,
        makeConfig(1, OPEN_ROUTES, {}, WORKSPACES),
      );
      await lab.call(vm, request);
      t.is((await lab.call(vm, request)).status, 401);
      const otherKeyRequest = {
        path: "/safe/",
        ...withKey("key-of-the-convoys-2"),
      };
      t.is((await lab.call(vm, otherKeyRequest)).status, 200);
    });

    // The store refuses one VM just when keys are revoked, so the VM sees no sign of it there. Another VM tells it.
    it("is refused by a VM that the store refuses", async (t) => {
      const { lab, vm } = await openLabWithKeys(t, ["north", "north"]);
      const request = { path: "/safe/", ...withKey(KEY) };
      t.is((await lab.call(vm, request)).status, 200);
      lab.store.faults.set([{ outage: "refuse", vm: vm.settings.vm.id }]);
      lab.configure(OPEN_ROUTES, {}, FEWER_KEYS);
      await waitUntil(async () => (await lab.call(vm, request)).status === 401);
      t.is((await lab.call(lab.vms[1], request)).status, 401);
    });

    it("is refused by a VM that starts at that moment", async (t) => {
      const { lab } = await openLabWithKeys(t);
      lab.configure(OPEN_ROUTES, {}, FEWER_KEYS);
      const newVm = await lab.addVm();
      const request = { path: "/safe/", ...withKey(KEY) };
      await waitUntil(async () =>
        (await lab.call(newVm, request)).status !== 503
      );
      t.is((await lab.call(newVm, request)).status, 401);
    });

    // Operators prefer that callers are refused. The store refuses the only VM, which then can't know whether keys were
    // revoked. A VM that is informed by a lead with access to the store knows it.
    it("that the VM cannot learn of makes it refuse callers, if operators say so", async (t) => {
      const lab = new GatewayLab();
      t.teardown(() => lab.close());
      lab.configure(OPEN_ROUTES, {}, WORKSPACES);
      await lab.addRunner();
      const vm = await lab.addVm("north", { strictRevokeMs: 1_000 });
      await lab.waitUntilReady(vm);
      const request = { path: "/safe/", ...withKey(KEY) };
      const sleep = () => new Promise((resolve) => setTimeout(resolve, 1_500));
      await sleep();
      t.is((await lab.call(vm, request)).status, 200);
      lab.store.faults.set([{ outage: "refuse", vm: vm.settings.vm.id }]);
      await waitUntil(async () => (await lab.call(vm, request)).status === 503);
      t.is((await lab.call(vm, { path: "/open/" })).status, 200);
      await lab.waitUntilReady(
        await lab.addVm("north", { strictRevokeMs: 1_000 }),
      );
      await waitUntil(async () => (await lab.call(vm, request)).status === 200);
      await sleep();
      t.is((await lab.call(vm, request)).status, 200);
    });

    it("does not end a stream that was started with it", async (t) => {
      const { lab, vm } = await openLabWithKeys(t);
      lab.runners[0].eventGapMs = 100;
      const stream = lab.call(vm, { path: "/stream/", ...withKey(KEY) });
      await waitUntil(() => lab.runners[0].arrivals.length > 0);
      lab.configure(OPEN_ROUTES, {}, FEWER_KEYS);
      t.true((await stream).isComplete);
    });
  });

  it("accepts a new key as soon as it refuses a revoked one", async (t) => {
    const { lab, vm } = await openLabWithKeys(t);
    const request = { path: "/safe/", ...withKey("new") };
    t.is((await lab.call(vm, request)).status, 401);
    lab.configure(OPEN_ROUTES, {}, [
      ...WORKSPACES,
      makeWorkspace("new", ["new"]),
    ]);
    await waitUntil(async () => (await lab.call(vm, request)).status === 200);
    t.is(lab.runners[0].arrivals.at(-1)?.headers.tenant, "new");
  });

  // The home regions of the workspace and of the route both apply. If they share none, the caller is told so at once.
  it("serves a workspace only in its home regions", async (t) => {
    const { lab, vm } = await openLabWithKeys(t, ["north", "south"]);
    lab.configure(OPEN_ROUTES, {}, [
      makeWorkspace("convoys", [KEY], { home_regions: ["south"] }),
      makeWorkspace("clinic", [OTHER_KEY], { home_regions: ["north"] }),
    ]);
    const southRequest = { path: "/safe/", ...withKey(KEY) };
    await waitUntil(async () =>
      (await lab.call(vm, southRequest)).body ===
        `served by ${lab.runners[1].id}`
    );
    for (let i = 0; i < 5; i++) {
      t.is(
        (await lab.call(vm, southRequest)).body,
        `served by ${lab.runners[1].id}`,
      );
    }
    const unservableRequest = { path: "/southsafe/", ...withKey(OTHER_KEY) };
    t.is((await lab.call(vm, unservableRequest)).status, 403);
  });
});
