import type { ExecutionContext } from "ava";
import { describe, itAlone } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import {
  countWhole,
  NOT_RUN,
  ResumptionLab,
  sleep,
  STREAMS,
} from "./resumption_lab.ts";
import { waitUntilConfigured } from "./version_lab.ts";

/** Long enough for VMs to write down what serves, and who began which stream. */
const RECORD_MS = 1_000;
const MOVED = ["y"];
const SPLIT = ["s", "y"];

const asChains = (ids: readonly string[]) => ids.map((id) => [id]);

function routeTo(services: readonly string[]) {
  return makeRoute({
    path_prefix: "/streamagain/",
    kind: "streaming",
    resumable: true,
    max_attempts: 1,
    timeout_ms: 10_000,
    slo_ms: 5_000,
    split: services.map((service) => ({ service, weight: 1 })),
  });
}

/** Opens VMs, and two services with upstreams of the given versions; the route goes to the first one. */
async function openTwoServices(
  t: ExecutionContext,
  regions: readonly string[],
  otherVersion = "v1",
) {
  const lab = await ResumptionLab.open(t, regions, ["v1", "v1"]);
  await lab.addVersion("north", otherVersion, "y");
  const other = lab.runners.at(-1)!;
  for (const vm of lab.vms) await lab.waitUntilReady(vm);
  lab.configure([routeTo(["s"])]);
  await waitUntilConfigured(lab);
  /** Gives the route to other services. */
  const move = async (services: readonly string[]) => {
    lab.configure([routeTo(services)]);
    await waitUntilConfigured(lab);
  };
  /** Takes streams up, and checks that none reaches the other service. */
  const check = async (vms: ResumptionLab["vms"], ids: readonly string[]) => {
    const result = await lab.takeUp(vms, asChains(ids));
    const refused = result.answers.filter(({ status }) => status === NOT_RUN);
    t.is(other.arrivals.length, 0, `of ${STREAMS} at the other service`);
    t.is(countWhole(result) + refused.length, STREAMS);
    return countWhole(result);
  };
  return { lab, move, check };
}

describe("a stream whose route was given to another service", () => {
  for (const [what, services] of [["", MOVED], [" in part", SPLIT]] as const) {
    itAlone(
      `does not go on there${what} when it is taken up at another VM`,
      async (t) => {
        const { lab, move, check } = await openTwoServices(
          t,
          ["north", "north"],
        );
        const [first, second] = lab.vms;
        const ids = await lab.begin([first]);
        await move(services);
        await check([second], ids);
      },
    );

    itAlone(
      `does not go on there${what} after the VM that began it has ended`,
      async (t) => {
        const { lab, move, check } = await openTwoServices(
          t,
          ["north", "north"],
        );
        const [first] = lab.vms;
        const ids = await lab.begin([first]);
        await lab.closeVm(first);
        lab.dropConnections();
        await move(services);
        await check(lab.vms, ids);
      },
    );

    itAlone(
      `does not go on there${what} after all VMs ended at once`,
      async (t) => {
        const { lab, move, check } = await openTwoServices(t, ["north"]);
        const ids = await lab.begin(lab.vms);
        await sleep(RECORD_MS);
        const start = await lab.endAllVms();
        lab.configure([routeTo(services)]);
        await start();
        await move(services);
        await check(lab.vms, ids);
      },
    );
  }

  itAlone("does not go on there at another version", async (t) => {
    const { lab, move, check } = await openTwoServices(t, ["north"], "v2");
    const ids = await lab.begin(lab.vms);
    await move(MOVED);
    await check(lab.vms, ids);
  });

  itAlone("goes on where it began once the route is given back", async (t) => {
    const { lab, move, check } = await openTwoServices(t, ["north", "north"]);
    const ids = await lab.begin([lab.vms[0]]);
    await move(MOVED);
    await move(["s"]);
    t.is(await check([lab.vms[0]], ids), STREAMS);
  });

  itAlone(
    "goes on where it began if the other targets stay away",
    async (t) => {
      const { lab, move, check } = await openTwoServices(t, ["north", "north"]);
      await move(["s"]);
      const ids = await lab.begin([lab.vms[0]]);
      t.is(await check([lab.vms[1]], ids), STREAMS);
    },
  );
});
