import type { ExecutionContext } from "ava";
import { describe, itAlone } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import {
  countWhole,
  NOT_RUN,
  ResumptionLab,
  STREAMS,
} from "./resumption_lab.ts";
import { waitUntilConfigured } from "./version_lab.ts";

function routeTo(service: string) {
  return makeRoute({
    path_prefix: "/streamagain/",
    kind: "streaming",
    resumable: true,
    max_attempts: 1,
    timeout_ms: 10_000,
    slo_ms: 5_000,
    split: [{ service, weight: 1 }],
  });
}

/** Opens a VM, and two services whose upstreams have versions of one name; the route goes to the first one. */
async function openTwoServices(t: ExecutionContext) {
  const lab = await ResumptionLab.open(t, ["north"], ["v1", "v1"]);
  await lab.addVersion("north", "v1", "y");
  const other = lab.runners.at(-1)!;
  await lab.waitUntilReady(lab.vms[0]);
  lab.configure([routeTo("s")]);
  await waitUntilConfigured(lab);
  return { lab, other };
}

describe("a stream whose route was given to another service", () => {
  /** Guards against a text of two services, whose versions happen to have one name. */
  itAlone("does not go on there when it is taken up", async (t) => {
    const { lab, other } = await openTwoServices(t);
    const ids = await lab.begin(lab.vms);
    lab.configure([routeTo("y")]);
    await waitUntilConfigured(lab);
    const { answers } = await lab.takeUp(lab.vms, ids.map((id) => [id]));
    t.log(answers.map(({ status }) => status).join());
    t.is(other.arrivals.length, 0, `of ${STREAMS} at the other service`);
    t.true(answers.every(({ status }) => status === 200 || status === NOT_RUN));
  });

  itAlone("goes on while its route stays", async (t) => {
    const { lab, other } = await openTwoServices(t);
    const ids = await lab.begin(lab.vms);
    const result = await lab.takeUp(lab.vms, ids.map((id) => [id]));
    t.is(countWhole(result), STREAMS);
    t.is(other.arrivals.length, 0);
  });
});
