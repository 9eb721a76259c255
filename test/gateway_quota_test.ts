import { describe, it } from "../src/base/describe.ts";
import { makeWorkspace } from "../src/standins/mod.ts";
import {
  type CallerAnswer,
  GatewayLab,
  type LabVm,
  ROUTES,
  waitUntil,
} from "./gateway_lab.ts";

const KEYS = { convoys: "key-1", clinic: "key-2" } as const;
type Workspace = keyof typeof KEYS;
/** Tokens that each request counts for. */
const REQUEST_UNITS = 500;
/** Equal to `quotaExcess` in the lab's settings. */
const EXCESS_RATIO = 0.1;
const SLACK_UNITS = 1_000;

function limitedWorkspaces(unitsPerS: number) {
  return [
    makeWorkspace("convoys", [KEYS.convoys], {
      rate_per_s: unitsPerS,
      burst: unitsPerS,
    }),
    makeWorkspace("clinic", [KEYS.clinic], {
      rate_per_s: 100_000,
      burst: 100_000,
    }),
  ];
}

function sendRequest(
  lab: GatewayLab,
  vm: LabVm,
  workspace: Workspace = "convoys",
): Promise<CallerAnswer> {
  return lab.call(vm, {
    path: "/safe/",
    headers: {
      authorization: `Bearer ${KEYS[workspace]}`,
      "token-counts": `${REQUEST_UNITS - 100},100`,
    },
  });
}

interface QuotasDump {
  readonly isAuthority: boolean;
  readonly vms: number;
  readonly workspaces: Readonly<Record<string, { readonly level: number }>>;
}

/** Reads what is left of the flooding workspace's limit at each VM that counts it. */
function readLevels(lab: GatewayLab): number[] {
  return lab.vms.flatMap((vm) => {
    const { workspaces } = vm.gateway.dump().quotas as QuotasDump;
    return workspaces.convoys ? [workspaces.convoys.level] : [];
  });
}

/** Opens a lab with two VMs in the north and one in the south; the two regions' leads count the usage. */
async function openLabWithLimits(
  t: { teardown(run: () => Promise<void>): void },
  unitsPerS: number,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(ROUTES, {}, limitedWorkspaces(unitsPerS));
  await lab.addRunner("north", { slots: 64 });
  await lab.addRunner("south");
  for (const region of ["north", "north", "south"]) {
    await lab.waitUntilReady(await lab.addVm(region));
  }
  const dumpQuotas = () =>
    lab.vms.map((vm) => vm.gateway.dump().quotas as QuotasDump);
  await waitUntil(() =>
    dumpQuotas().every(({ vms }) => vms === lab.vms.length) &&
    dumpQuotas().filter(({ isAuthority }) => isAuthority).length === 2
  );
  return lab;
}

/** Sends calls to both northern VMs for `durationMs`; returns what passed and what was refused. */
async function flood(lab: GatewayLab, durationMs: number) {
  const startMs = performance.now();
  const answers: CallerAnswer[] = [];
  while (performance.now() - startMs < durationMs) {
    const [first, second] = lab.vms;
    answers.push(
      ...await Promise.all([
        sendRequest(lab, first),
        sendRequest(lab, second),
        sendRequest(lab, second),
      ]),
    );
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return {
    tookMs: performance.now() - startMs,
    passed: answers.filter(({ status }) => status === 200).length,
    refused: answers.filter(({ status }) => status === 429),
    answers,
  };
}

describe("gateway", () => {
  describe("a workspace over its limit", () => {
    // A flood of requests arrives at both VMs of a region at once. Each VM alone would let the whole limit pass.
    it("is limited over all VMs together, and told when to retry", async (t) => {
      const unitsPerS = 5_000;
      const lab = await openLabWithLimits(t, unitsPerS);
      const { tookMs, passed, refused, answers } = await flood(lab, 2_000);
      t.is(passed + refused.length, answers.length);
      const maxUnits = unitsPerS * (tookMs / 1_000 + 1) * (1 + EXCESS_RATIO) +
        SLACK_UNITS;
      t.true(
        passed * REQUEST_UNITS <= maxUnits,
        `${passed * REQUEST_UNITS} of ${maxUnits}`,
      );
      t.true(refused.length > 0);
      for (const { headers } of refused) {
        t.true(Number(headers["retry-after"]) > 0);
      }
      const waitMs = Number(refused.at(-1)!.headers["retry-after"]) * 1_000;
      await new Promise((resolve) => setTimeout(resolve, waitMs + 20));
      t.is((await sendRequest(lab, lab.vms[0])).status, 200);
      t.is(lab.runners[0].arrivals.length, passed + 1);
    });

    it("does not affect other workspaces", async (t) => {
      const lab = await openLabWithLimits(t, 1_000);
      const [first] = lab.vms;
      const flooding = flood(lab, 600);
      for (let i = 0; i < 10; i++) {
        t.is((await sendRequest(lab, first, "clinic")).status, 200);
      }
      t.true((await flooding).refused.length > 0);
    });

    it("is served again when operators raise the limit", async (t) => {
      const lab = await openLabWithLimits(t, 1_000);
      await flood(lab, 300);
      lab.configure(ROUTES, {}, limitedWorkspaces(1_000_000));
      await waitUntil(() =>
        lab.vms.every(({ log }) =>
          log.lines.some(({ event, fields }) =>
            event === "config in force" && fields.configVersion === 6
          )
        )
      );
      t.is((await flood(lab, 300)).refused.length, 0);
    });
  });

  // The upstream refuses and runs nothing, and the caller is told so. If the limit counted the request, it would refuse
  // it again.
  it("does not count requests that were not run against a workspace's limit", async (t) => {
    const lab = await openLabWithLimits(t, 5_000);
    const [first, second] = lab.vms;
    await waitUntil(async () => (await sendRequest(lab, first)).status === 200);
    await waitUntil(() => readLevels(lab).some((level) => level === 1));
    for (const runner of lab.runners) runner.behavior = "shed";
    // If they were counted, they would use several times what the limit allows in the time that they take.
    for (let i = 0; i < 40; i++) {
      const { status } = await sendRequest(lab, i % 2 === 0 ? first : second);
      t.is(status, 503);
    }
    for (const runner of lab.runners) runner.behavior = "well";
    t.is((await sendRequest(lab, second)).status, 200);
  });
});
