import type { ExecutionContext } from "ava";
import { describe, itAlone } from "../src/base/describe.ts";
import type { Runner } from "../src/standins/mod.ts";
import { waitUntil } from "./gateway_lab.ts";
import {
  countJoined,
  countWhole,
  EVENTS,
  ReplacedLab,
  STREAMS,
  type TriedStream,
} from "./replaced_lab.ts";
import { knowsOtherRegion, sleep } from "./resumption_lab.ts";

/** Long enough for the VMs' copies of the store to count as old. */
const STORE_AWAY_MS = 2_500;
/** Streams of a steady load, and the time between two of them. */
const STEADY_STREAMS = 1_000;
const STEADY_GAP_MS = 5;
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

/** Checks that streams that began at the upstream's former version go on, and that the others don't. */
function checkFormerGoOn(
  t: ExecutionContext,
  begun: readonly TriedStream[],
  streams: readonly TriedStream[],
): void {
  const former =
    begun.filter(({ answers: [{ body }] }) => body.includes("piece 1 by v1"))
      .length;
  t.true(former > 0 && former < begun.length, `${former} began at v1`);
  checkStreams(t, streams, former);
}

/** Guards against an origin that is noted by the entry of the process before, so that later tries are joined. */
describe("a stream that begins at an upstream that was replaced under its id", () => {
  for (const vmCount of [1, 2]) {
    itAlone(`is not taken up at VM ${vmCount} of ${vmCount}`, async (t) => {
      const lab = await ReplacedLab.open(t, {
        vmRegions: Array(vmCount).fill("north"),
      });
      await lab.replace(lab.runners[0], "v2");
      const begun = await lab.begin([lab.vms[0]]);
      const streams = await lab.takeUp([lab.vms[vmCount - 1]], begun);
      checkFormerGoOn(t, begun, streams);
    });
  }

  for (const vmCount of [1, 2]) {
    itAlone(
      `is not taken up at VM ${vmCount} of ${vmCount} while it does not say which process it is`,
      async (t) => {
        const lab = await ReplacedLab.open(t, {
          vmRegions: Array(vmCount).fill("north"),
          report: "silent",
        });
        await lab.replace(lab.runners[0], "v2");
        const begun = await lab.begin([lab.vms[0]]);
        lab.runners[1].report = "served";
        const streams = await lab.takeUp([lab.vms[vmCount - 1]], begun);
        checkStreams(t, streams, 0);
      },
    );
  }

  itAlone("is not taken up while the store is away", async (t) => {
    const lab = await ReplacedLab.open(t, { vmRegions: ["north", "north"] });
    const [first, second] = lab.vms;
    lab.store.faults.set([{ outage: "refuse" }]);
    await sleep(STORE_AWAY_MS);
    await lab.replace(lab.runners[0], "v2");
    const begun = await lab.begin([first]);
    checkFormerGoOn(t, begun, await lab.takeUp([second], begun));
  });

  for (const [name, takeUpAt] of [["there", 1], ["elsewhere", 0]] as const) {
    itAlone(`over a relay is not taken up ${name}`, async (t) => {
      const lab = await ReplacedLab.open(t, { vmRegions: ["north", "south"] });
      const [north, south] = lab.vms;
      await waitUntil(() => knowsOtherRegion(north) && knowsOtherRegion(south));
      await lab.replace(lab.runners[0], "v2");
      const begun = await lab.begin([south]);
      const streams = await lab.takeUp([lab.vms[takeUpAt]], begun);
      checkFormerGoOn(t, begun, streams);
    });
  }

  itAlone("after an answer without an event does not go on", async (t) => {
    const lab = await ReplacedLab.open(t);
    const [first, second] = lab.runners;
    await lab.replace(second, "v2");
    lab.serveWhole(SLOW_GAP_MS);
    first.behavior = "halfStream";
    first.streamEvents = 1;
    const running = lab.run(lab.vms);
    await waitUntilBegun([second]);
    t.true(first.arrivals.length > 0);
    const third = await lab.addUpstream();
    third.streamEvents = EVENTS;
    await lab.waitUntilReady(lab.vms[0]);
    second.crash();
    checkStreams(t, await Promise.all(running), 0);
  });

  itAlone("does not go on within its answer", async (t) => {
    const lab = await ReplacedLab.open(t);
    const [first] = lab.runners;
    await lab.replace(first, "v2");
    lab.serveWhole(SLOW_GAP_MS);
    const running = lab.run(lab.vms);
    await waitUntilBegun(lab.runners);
    first.crash();
    const streams = await Promise.all(running);
    checkFormerGoOn(t, streams, streams);
  });
});

describe("a stream that goes on where no upstream was replaced", () => {
  const kinds = {
    "tell their start": {},
    "serve no report": { report: "missing" } as const,
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

  for (const [name, takeUpAt] of [["there", 1], ["elsewhere", 0]] as const) {
    itAlone(`is taken up ${name} after a relay`, async (t) => {
      const lab = await ReplacedLab.open(t, { vmRegions: ["north", "south"] });
      const [north, south] = lab.vms;
      await waitUntil(() => knowsOtherRegion(north) && knowsOtherRegion(south));
      const begun = await lab.begin([south]);
      const streams = await lab.takeUp([lab.vms[takeUpAt]], begun);
      checkStreams(t, streams, STREAMS);
    });
  }

  itAlone("costs few reports while new streams begin", async (t) => {
    const lab = await ReplacedLab.open(t);
    lab.serveWhole();
    const all: Promise<TriedStream>[] = [];
    for (let i = 0; i < STEADY_STREAMS; i++) {
      all.push(...lab.run(lab.vms, 1));
      await sleep(STEADY_GAP_MS);
    }
    checkStreams(t, await Promise.all(all), STEADY_STREAMS);
    const reports = countReports(lab);
    t.log(`reports: ${reports} for ${STEADY_STREAMS} streams`);
    t.true(reports < STEADY_STREAMS / 5, `${reports}`);
  });
});
