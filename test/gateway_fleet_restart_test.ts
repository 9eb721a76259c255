import type { ExecutionContext } from "ava";
import { describe, itAlone } from "../src/base/describe.ts";
import {
  countWhole,
  NOT_RUN,
  type Resumption,
  ResumptionLab,
  sleep,
  STREAMS,
} from "./resumption_lab.ts";

/** Long enough for VMs to write down which versions serve, and which of them began which stream. */
const RECORD_MS = 1_000;

/** The versions of a service, of which the first one leaves while no VM runs. */
const FIRST_VERSIONS: readonly (readonly [string, readonly string[]])[] = [
  ["one of two versions left", ["v1", "v2"]],
  ["the only version was replaced", ["v1"]],
];

const asChains = (ids: readonly string[]) => ids.map((id) => [id]);

/** The streams that an upstream which still runs began. */
function findServed(lab: ResumptionLab, ids: readonly string[]): string[] {
  const served = new Set(
    lab.runners.flatMap(({ arrivals }) =>
      arrivals.map(({ headers }) => headers["attempt-id"])
    ),
  );
  return ids.filter((id) => served.has(id));
}

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

describe("streams that are taken up again after all VMs ended at once", () => {
  const fleets: Record<string, readonly string[]> = {
    "one VM": ["north"],
    "three VMs": ["north", "north", "north"],
    "two regions": ["north", "north", "south", "south"],
  };
  for (const [name, regions] of Object.entries(fleets)) {
    itAlone(
      `are not joined from two versions if one left meanwhile: ${name}`,
      async (t) => {
        const lab = await ResumptionLab.open(t, regions);
        const ids = await lab.begin(lab.vms);
        await sleep(RECORD_MS);
        const start = await lab.endAllVms();
        await lab.endVersion("v1");
        await start();
        checkNoneJoined(t, lab, await lab.takeUp(lab.vms, asChains(ids)));
      },
    );
  }

  itAlone(
    "are not joined from two versions if one left shortly before",
    async (t) => {
      const lab = await ResumptionLab.open(t, ["north", "north"]);
      const ids = await lab.begin(lab.vms);
      await lab.endVersion("v1");
      await sleep(RECORD_MS);
      await (await lab.endAllVms())();
      checkNoneJoined(t, lab, await lab.takeUp(lab.vms, asChains(ids)));
    },
  );

  itAlone(
    "are not joined from two versions if one left between two such ends",
    async (t) => {
      const lab = await ResumptionLab.open(t, ["north", "north"]);
      const ids = await lab.begin(lab.vms);
      await sleep(RECORD_MS);
      await (await lab.endAllVms())();
      await lab.endVersion("v1");
      await (await lab.endAllVms())();
      checkNoneJoined(t, lab, await lab.takeUp(lab.vms, asChains(ids)));
    },
  );

  itAlone(
    "are not joined from two versions if the only one was replaced meanwhile",
    async (t) => {
      const lab = await ResumptionLab.open(t, ["north", "north"], ["v1"]);
      const ids = await lab.begin(lab.vms);
      await sleep(RECORD_MS);
      const start = await lab.endAllVms();
      await lab.addVersion("north", "v2");
      await lab.endVersion("v1");
      await start();
      const result = await lab.takeUp(lab.vms, asChains(ids));
      t.is(findServed(lab, ids).length, 0);
      checkNoneJoined(t, lab, result);
    },
  );

  /** Guards against a record of the versions in service that lacks one at which streams have begun already. */
  for (const regions of [["north"], ["north", "north"]]) {
    for (const [what, versions] of FIRST_VERSIONS) {
      itAlone(
        `are not joined from two versions if that was right after the very first ones and ${what}: ${regions}`,
        async (t) => {
          const lab = await ResumptionLab.open(t, regions, versions);
          const ids = await lab.begin(lab.vms);
          const start = await lab.endAllVms();
          if (versions.length < 2) await lab.addVersion("north", "v2");
          await lab.endVersion("v1");
          await start();
          checkNoneJoined(t, lab, await lab.takeUp(lab.vms, asChains(ids)));
        },
      );
    }
  }

  itAlone(
    "are not joined from two versions while the store can't tell what served",
    async (t) => {
      const lab = await ResumptionLab.open(t, ["north", "north"]);
      const ids = await lab.begin(lab.vms);
      await sleep(RECORD_MS);
      const start = await lab.endAllVms();
      await lab.endVersion("v1");
      lab.store.silence = { vms: ["vm-1", "vm-2"], keyPrefix: "ibisgap/" };
      await start();
      const result = await lab.takeUp(lab.vms, asChains(ids));
      checkNoneJoined(t, lab, result);
    },
  );

  for (const [name, regions] of Object.entries(fleets)) {
    itAlone(`go on at their versions if both serve on: ${name}`, async (t) => {
      const lab = await ResumptionLab.open(t, regions);
      const ids = await lab.begin(lab.vms);
      await sleep(RECORD_MS);
      await (await lab.endAllVms())();
      const result = await lab.takeUp(lab.vms, asChains(ids));
      checkNoneJoined(t, lab, result);
      t.is(countWhole(result), STREAMS, "go on");
    });
  }

  itAlone(
    "go on where their version serves on, after two such ends",
    async (t) => {
      const lab = await ResumptionLab.open(t, ["north", "north"]);
      const ids = await lab.begin(lab.vms);
      await sleep(RECORD_MS);
      await (await lab.endAllVms())();
      await lab.endVersion("v1");
      await (await lab.endAllVms())();
      const served = findServed(lab, ids);
      t.true(served.length > 0 && served.length < STREAMS);
      const result = await lab.takeUp(lab.vms, asChains(ids));
      checkNoneJoined(t, lab, result);
      t.is(countWhole(result), served.length, "go on");
    },
  );

  itAlone(
    "go on where a VM ended together with those that it told",
    async (t) => {
      const lab = await ResumptionLab.open(t, ["north", "north", "north"]);
      const ids = await lab.begin([lab.vms[0]]);
      await sleep(RECORD_MS);
      await (await lab.endAllVms())();
      await sleep(RECORD_MS);
      const result = await lab.takeUp([lab.vms[2]], asChains(ids));
      t.is(countWhole(result), STREAMS, "go on");
    },
  );

  for (const version of ["v1", undefined]) {
    itAlone(
      `all go on where ${version ?? "no version"} is the only one`,
      async (t) => {
        const lab = await ResumptionLab.open(t, ["north", "north"], [
          version,
          version,
        ]);
        const ids = await lab.begin(lab.vms);
        await (await lab.endAllVms())();
        const result = await lab.takeUp(lab.vms, asChains(ids));
        t.is(countWhole(result), STREAMS);
      },
    );
  }
});
