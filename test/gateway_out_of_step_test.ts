import type { ExecutionContext } from "ava";
import { describe, itAlone } from "../src/base/describe.ts";
import { type CutFrom, cutOff } from "./cut_off_lab.ts";
import { type LabVm, waitUntil } from "./gateway_lab.ts";
import {
  countWhole,
  NOT_RUN,
  type Resumption,
  ResumptionLab,
  STREAMS,
} from "./resumption_lab.ts";

const asChains = (ids: readonly string[]) => ids.map((id) => [id]);

/** Checks that no stream holds two versions, and that each is whole or was refused as not run. */
function checkNoneJoined(
  t: ExecutionContext,
  lab: ResumptionLab,
  result: Resumption,
): void {
  const mixed = lab.countMixed(result.tries);
  const refused = result.answers.filter(({ status }) => status === NOT_RUN);
  t.log(`joined: ${mixed}, refused: ${refused.length} of ${STREAMS}`);
  t.is(mixed, 0, "joined from two versions");
  t.is(countWhole(result) + refused.length, result.answers.length);
}

/** Waits until a VM knows all upstreams. */
function waitUntilKnown(lab: ResumptionLab, { gateway }: LabVm): Promise<void> {
  return waitUntil(() => {
    const { fleet } = gateway.dump().beliefs as {
      fleet: { upstreams: unknown[] };
    };
    return fleet.upstreams.length === lab.runners.length;
  });
}

describe("streams that are taken up at a VM that was out of step while a version joined", () => {
  const cuts: readonly CutFrom[] = [
    "other VMs",
    "other VMs, beside a slow store",
    "other VMs and the store",
  ];
  for (const from of cuts) {
    itAlone(
      `are not joined from two versions if it is cut off from ${from}`,
      async (t) => {
        const lab = await ResumptionLab.open(t, ["north", "north"], ["v1"]);
        const [inStep, behind] = lab.vms;
        cutOff(t, lab, behind, from);
        await lab.addVersion("north", "v2");
        await waitUntilKnown(lab, inStep);
        const ids = await lab.begin([inStep]);
        const result = await lab.takeUp([behind], asChains(ids));
        checkNoneJoined(t, lab, result);
      },
    );
  }
});
