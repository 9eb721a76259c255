import fc from "fast-check";
import { describe, it } from "../src/base/describe.ts";
import {
  makeConfig,
  makeRoute,
  PLATFORM_CONFIG_KEY,
} from "../src/standins/mod.ts";
import { sleep } from "./cluster.ts";
import {
  GatewayLab,
  type LabVm,
  openLab,
  ROUTES,
  waitUntil,
} from "./gateway_lab.ts";
import { encodeOdd, ODD_VALUES, spoil } from "./odd_values.ts";

const SEED = 7_7;
const RUNS = 60;
/** Time for a VM to take a change of the store. */
const TAKE_MS = 15;
const VERSION_FIELD = 0;

const SOUND_CONFIG = makeConfig(
  0,
  [
    ...ROUTES,
    makeRoute({
      path_prefix: "/split/",
      service: undefined,
      split: [{ service: "s", weight: 1 }, { service: "t", weight: 2 }],
      gap_target_ms: 10,
      anonymous: true,
    }),
  ],
  { engine: { slots: 8, kv_capacity: 10_000, stride: 2, moves: true } },
);

const SOUND_ENTRIES: Readonly<Record<string, unknown>> = {
  "op/evacuate/north-b": {},
  "ibisgap/vms/vm-9": {
    id: "vm-9",
    ip: "127.0.0.9",
    region: "north",
    failureDomain: "north-a",
    bornMs: 1,
    cores: 1,
  },
  "ibisgap/suspects/0123456789abcdef": ["i-1@0", "i-2@0"],
  "ibisgap/trials/0123456789abcdef": "vm-9",
  "ibisgap/origins/p-9": [["v1", "0123456789abcdef"]],
  "ibisgap/versions": [["s", ["v1", "v2"]]],
};

/** Bytes that are no JSON, besides the odd values. */
const UNREADABLE = ["", "\0", "{", "nul", "\ufffd\ufffd", "[".repeat(200_000)];

const change = fc.record({
  path: fc.array(fc.nat(30), { maxLength: 5 }),
  odd: fc.constantFrom(...ODD_VALUES),
  isRemoved: fc.boolean(),
});

const oddConfigs = change
  .filter(({ path }) => path.length > 0 && path[0] % 4 !== VERSION_FIELD)
  .map(({ path, odd, isRemoved }) =>
    spoil(SOUND_CONFIG, path, odd, isRemoved) as Record<string, unknown>
  );

const oddEntries = fc.record({
  key: fc.constantFrom(...Object.keys(SOUND_ENTRIES)),
  change,
  unreadable: fc.option(fc.constantFrom(...UNREADABLE), { freq: 4 }),
}).map(({ key, change: { path, odd, isRemoved }, unreadable }) => ({
  key,
  text: unreadable ??
    encodeOdd(spoil(SOUND_ENTRIES[key], path, odd, isRemoved)),
}));

function internalErrors({ log }: LabVm): unknown[] {
  return log.lines.filter(({ event }) => event.includes("internal error"));
}

/** Sends a request on each kind of route; returns the statuses, 0 for a connection that ended without an answer. */
function callAll(lab: GatewayLab, vm: LabVm): Promise<number[]> {
  const paths = ["/safe/", "/once/", "/stream/", "/split/"];
  return Promise.all(
    paths.map((path) =>
      lab.call(vm, { path, method: "POST" })
        .then(({ status }) => status, () => 0)
    ),
  );
}

async function serves(lab: GatewayLab, vm: LabVm): Promise<boolean> {
  const { status } = await lab.call(vm, { path: "/once/", method: "POST" });
  return status === 200;
}

/** Guards against an operators' configuration that ends the process which reads it, or its requests without an answer. */
describe("gateway, an odd configuration", () => {
  it("ends no request without an answer, and the next sound one is taken", async (t) => {
    const { lab, vm } = await openLab(t, 1);
    const configs = fc.sample(oddConfigs, { seed: SEED, numRuns: RUNS });
    for (const config of configs) {
      const version = lab.configVersion + 1;
      lab.configure(ROUTES, {}, undefined, version);
      lab.store.put(PLATFORM_CONFIG_KEY, encodeOdd({ ...config, version }));
      await sleep(TAKE_MS);
      const statuses = await callAll(lab, vm);
      t.false(
        statuses.includes(0) || statuses.includes(500),
        encodeOdd(config),
      );
    }
    lab.configure();
    await waitUntil(() => serves(lab, vm));
    t.deepEqual(internalErrors(vm), []);
  });

  it("gives requests time where its timeout is longer than any timer", async (t) => {
    const { lab, vm } = await openLab(t, 1);
    for (const timeout of [3e9, 1e308]) {
      lab.configure([
        makeRoute({
          path_prefix: "/once/",
          kind: "unsafe",
          timeout_ms: timeout,
        }),
      ]);
      const { configVersion } = lab;
      await waitUntil(() =>
        JSON.stringify(vm.gateway.dump().beliefs).includes(`${configVersion}`)
      );
      const headers = { "deadline-ms": "1e300" };
      const answer = await lab.call(vm, {
        path: "/once/",
        method: "POST",
        headers,
      });
      t.is(answer.status, 200);
    }
  });
});

/** Guards against an entry of the store that ends the processes which read it. */
describe("gateway, odd entries of operators and VMs", () => {
  it("end no VM that runs, and the next sound ones are taken", async (t) => {
    const { lab, vm } = await openLab(t, 1);
    const entries = fc.sample(oddEntries, { seed: SEED, numRuns: RUNS });
    for (const { key, text } of entries) {
      lab.store.put(key, text);
      await sleep(TAKE_MS);
      t.true(await serves(lab, vm), `${key} ${text.slice(0, 100)}`);
    }
    t.deepEqual(internalErrors(vm), []);
  });

  it("end no VM that starts", async (t) => {
    const lab = new GatewayLab({ startedAgoMs: 0 });
    t.teardown(() => lab.close());
    lab.configure();
    await lab.addRunner();
    for (
      const [i, { key, text }] of fc.sample(oddEntries, {
        seed: SEED,
        numRuns: RUNS,
      }).entries()
    ) {
      lab.store.put(key.includes("versions") ? key : `${key}${i}`, text);
    }
    const vm = await lab.addVm();
    await lab.waitUntilReady(vm);
    await sleep(4_000);
    t.true(await serves(lab, vm));
    t.deepEqual(internalErrors(vm), []);
  });
});
