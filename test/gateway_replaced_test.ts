import type { ExecutionContext } from "ava";
import { describe, itAlone } from "../src/base/describe.ts";
import type { Runner } from "../src/standins/mod.ts";
import { waitUntil } from "./gateway_lab.ts";
import {
  countJoined,
  countWhole,
  ReplacedLab,
  STREAMS,
  type TriedStream,
} from "./replaced_lab.ts";
import { knowsOtherRegion, sleep } from "./resumption_lab.ts";

/** Long enough for the VMs' copies of the store to count as old. */
const STORE_AWAY_MS = 2_500;
/** Slow enough that all streams run when an upstream crashes. */
const SLOW_GAP_MS = 60;

/** Checks that no stream holds two versions, and that at least `leastWhole` go on to their end. */
function checkStreams(
  t: ExecutionContext,
  streams: readonly TriedStream[],
  leastWhole: number,
): void {
  const joined = countJoined(streams);
  const whole = countWhole(streams);
  t.log(`joined: ${joined}, whole: ${whole} of ${streams.length}`);
  t.is(joined, 0, "joined from two versions");
  t.true(whole >= leastWhole, `${whole} went on`);
}

function countReports({ runners }: ReplacedLab): number {
  return runners.reduce((sum, { reportCount }) => sum + reportCount, 0);
}

/** Waits until all streams have their first event. */
async function waitUntilBegun(
  runners: readonly Runner[],
  count = STREAMS,
): Promise<void> {
  await waitUntil(() =>
    runners.flatMap(({ arrivals }) => arrivals).length >= count
  );
  await sleep(2 * SLOW_GAP_MS);
}

/** Guards against streams joined from two versions, as an entry is taken for the process that answers. */
describe("a stream that goes on while an upstream was replaced under its id", () => {
  for (const vmCount of [1, 2]) {
    itAlone(`is taken up at VM ${vmCount} of ${vmCount}`, async (t) => {
      const lab = await ReplacedLab.open(t, {
        vmRegions: Array(vmCount).fill("north"),
      });
      const begun = await lab.begin([lab.vms[0]]);
      await lab.replace(lab.runners[0], "v2");
      const streams = await lab.takeUp([lab.vms[vmCount - 1]], begun);
      checkStreams(t, streams, STREAMS);
    });
  }

  itAlone("is taken up while the store is away", async (t) => {
    const lab = await ReplacedLab.open(t, { vmRegions: ["north", "north"] });
    const begun = await lab.begin([lab.vms[0]]);
    lab.store.faults.set([{ outage: "refuse" }]);
    await sleep(STORE_AWAY_MS);
    await lab.replace(lab.runners[0], "v2");
    checkStreams(t, await lab.takeUp([lab.vms[1]], begun), STREAMS);
  });

  itAlone("is taken up over a relay", async (t) => {
    const lab = await ReplacedLab.open(t, {
      vmRegions: ["north", "south"],
      upstreamRegions: ["north", "north"],
    });
    const [north, south] = lab.vms;
    await waitUntil(() => knowsOtherRegion(north) && knowsOtherRegion(south));
    const begun = await lab.begin([north]);
    await lab.replace(lab.runners[0], "v2");
    checkStreams(t, await lab.takeUp([south], begun), STREAMS);
  });

  itAlone("is refused if no other upstream has its version", async (t) => {
    const lab = await ReplacedLab.open(t, { upstreamRegions: ["north"] });
    const begun = await lab.begin(lab.vms);
    await lab.replace(lab.runners[0], "v2");
    const streams = await lab.takeUp(lab.vms, begun);
    t.is(countJoined(streams), 0, "joined from two versions");
    for (const { answers: [, answer] } of streams) {
      t.is(answer.status, 503);
      t.is(JSON.parse(answer.body).error.ran, "no");
    }
    t.is(lab.runners[0].arrivals.length, begun.length, "none ran");
  });

  itAlone("breaks off and goes on within its answer", async (t) => {
    const lab = await ReplacedLab.open(t, { upstreamRegions: ["north"] });
    lab.serveWhole(SLOW_GAP_MS);
    const [first] = lab.runners;
    const running = lab.run(lab.vms);
    await waitUntilBegun(lab.runners);
    const replaced = await lab.addUpstream();
    lab.serveWhole(SLOW_GAP_MS);
    await lab.waitUntilReady(lab.vms[0]);
    await lab.replace(replaced, "v2");
    first.crash();
    checkStreams(t, await Promise.all(running), 0);
    t.is(replaced.arrivals.length, 0);
  });
});

describe("a stream that goes on where no upstream was replaced", () => {
  const kinds = {
    "tell their start": {},
    "serve no report": { hasReport: false },
    "name no start in their entries": { hasBorn: false },
  };
  for (const [kind, options] of Object.entries(kinds)) {
    itAlone(`is served by upstreams that ${kind}`, async (t) => {
      const lab = await ReplacedLab.open(t, options);
      const begun = await lab.begin(lab.vms);
      const before = countReports(lab);
      checkStreams(t, await lab.takeUp(lab.vms, begun), STREAMS);
      t.log(`reports: ${countReports(lab) - before}`);
    });
  }
});
