import type { ExecutionContext } from "ava";
import { describe, itAlone } from "../src/base/describe.ts";
import { formatStream, makeRoute, type Runner } from "../src/standins/mod.ts";
import { type LabVm, waitUntil } from "./gateway_lab.ts";
import {
  checkAllGoOn,
  countMixed,
  openVersions,
  STREAMS,
  VERSION_ROUTES,
  type Versions,
  waitUntilConfigured,
} from "./version_lab.ts";

const LONG_STREAM_EVENTS = 160;
const LONG_PROMPT_TOKENS = 100_000;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Opens a VM in each of two regions. The second one knows no upstream yet. */
async function openTwoRegions(
  t: ExecutionContext,
): Promise<{ versions: Versions; north: LabVm; south: LabVm }> {
  const versions = await openVersions(t, "one VM");
  const [north] = versions.lab.vms;
  const south = await versions.lab.addVm("south");
  return { versions, north, south };
}

/** Waits until a VM knows how much room there is in the other region. */
async function waitUntilLinked(vm: LabVm): Promise<void> {
  await waitUntil(() => {
    const { regions } = vm.gateway.dump().members as {
      regions: { digest: { room?: Record<string, { queue: number }> } }[];
    };
    return regions.some(({ digest }) => (digest.room?.s?.queue ?? 0) > 0);
  });
}

/** Lets an engine read a long prompt, so that its streams are better off elsewhere. */
function readLongPrompt(versions: Versions, engine: Runner): Promise<unknown> {
  engine.answerDelayMs = 4_000;
  return versions.lab.call(versions.lab.vms[0], {
    path: "/streamon/x",
    method: "POST",
    headers: {
      "token-counts": `${LONG_PROMPT_TOKENS},100`,
      "prompt-prefix": `book:100,own:${LONG_PROMPT_TOKENS - 100}`,
      "deadline-ms": "30000",
    },
  });
}

describe("streams over two regions", () => {
  itAlone(
    "go on in the other region if the rest of their version is there",
    async (t) => {
      const { versions, north } = await openTwoRegions(t);
      const breaking = await versions.add("v1");
      breaking.behavior = "halfStream";
      await versions.add("v1.2");
      for (const version of ["v1", "v1.2"]) {
        await versions.add(
          version,
          "south",
        );
      }
      await versions.waitUntilKnown();
      await waitUntilLinked(north);
      const streams = await versions.run([north]);
      t.true(breaking.arrivals.length > 0);
      checkAllGoOn(t, streams);
    },
  );

  itAlone("end where the other region has another version only", async (t) => {
    const { versions, north } = await openTwoRegions(t);
    const breaking = await versions.add("v1");
    breaking.behavior = "halfStream";
    await versions.add("v1.2", "south");
    await versions.waitUntilKnown();
    await waitUntilLinked(north);
    const streams = await versions.run([north]);
    t.true(streams.some(({ versions }) => versions.has("v1")));
    t.is(countMixed(streams), 0, "hold two versions");
  });

  // The other region's VM chose the upstream; the VM with the caller learns the version from its answer.
  itAlone(
    "that began in the other region go on here at their version",
    async (t) => {
      const { versions, north } = await openTwoRegions(t);
      const here = await versions.add("v1.2", "north", { slots: 1 });
      const there: Runner[] = [];
      for (const version of ["v1", "v1.2"]) {
        const runner = await versions.add(version, "south");
        runner.eventGapMs = 250;
        there.push(runner);
      }
      await versions.waitUntilKnown();
      await waitUntilLinked(north);
      for (const runner of there) runner.behavior = "halfStream";
      here.answerDelayMs = 400;
      const busy = versions.lab.call(north, { path: "/safe/" });
      await waitUntil(() => here.arrivals.length === 1);
      const streams = versions.begin([north], 8);
      await waitUntil(() =>
        there.flatMap((runner) => versions.countRunning(runner))
          .reduce((a, b) => a + b) === 8
      );
      here.answerDelayMs = 0;
      versions.lab.register(here, "north", { slots: 32, version: "v1.2" });
      await busy;
      const ended = await Promise.all(streams);
      t.is(countMixed(ended), 0, "hold two versions");
      const begun = ended.filter(({ versions }) => versions.has("v1.2"));
      t.true(begun.length > 0 && begun.length < ended.length);
      t.true(begun.every(({ isWhole }) => isWhole), "go on");
      t.true(
        ended.every(({ answer }) =>
          Object.keys(answer.headers).every((name) =>
            !name.startsWith("ibisgap-")
          )
        ),
      );
    },
  );
});

/** Engines at whose address another process answers than the one that their entry describes. */
interface ReplacedEngines {
  readonly source?: boolean;
  readonly target?: boolean;
}

/** Plays a stream that is better off at another engine. Returns how often another engine of its version got it. */
async function playMove(t: ExecutionContext, replaced: ReplacedEngines = {}) {
  const versions = await openVersions(t, "one VM");
  const { lab } = versions;
  lab.configure([makeRoute({
    path_prefix: "/streamon/",
    kind: "streaming",
    sticky: true,
    gap_target_ms: 200,
    timeout_ms: 30_000,
  })], {
    engine: { slots: 128, kv_capacity: 300_000, stride: 8, moves: true },
  });
  await waitUntilConfigured(lab);
  const busy = await versions.add("v1");
  busy.streamEvents = LONG_STREAM_EVENTS;
  busy.eventGapMs = 25;
  await versions.waitUntilKnown();
  if (replaced.source) busy.bornMs!++;
  const [stream] = versions.begin(lab.vms, 1, {
    headers: {
      "token-counts": `600,${8 * LONG_STREAM_EVENTS}`,
      "prompt-prefix": "book:100,own:500",
      "deadline-ms": "30000",
    },
  });
  await waitUntil(() => busy.arrivals.length === 1);
  const longAnswer = readLongPrompt(versions, busy);
  await waitUntil(() => busy.arrivals.length === 2);
  const other = await versions.add("v1.2");
  other.streamEvents = LONG_STREAM_EVENTS;
  await versions.waitUntilKnown();
  await sleep(400);
  const same = await versions.add("v1");
  same.streamEvents = LONG_STREAM_EVENTS;
  if (replaced.target) same.bornMs!++;
  const { answer } = await stream;
  busy.streamEvents = 1;
  await longAnswer;
  t.true(answer.isComplete);
  t.is(answer.body, formatStream(0, LONG_STREAM_EVENTS));
  t.is(other.arrivals.length, 0, "moved to another version");
  return same.arrivals.length;
}

describe("the memory of engines", () => {
  itAlone(
    "moves with a stream to an engine of the same version only",
    async (t) => {
      t.is(await playMove(t), 1, "moved to its version");
    },
  );

  /** Guards against a stream that goes on at a process of another version than the entry of its engine says. */
  for (const which of ["source", "target"] as const) {
    itAlone(`does not move where the ${which} was replaced`, async (t) => {
      t.is(await playMove(t, { [which]: true }), 0, "moved");
    });
  }

  itAlone("is copied from engines of the same version only", async (t) => {
    const versions = await openVersions(t, "one VM");
    const { lab } = versions;
    lab.configure(VERSION_ROUTES, {
      engine: { slots: 128, kv_capacity: 300_000 },
    });
    await waitUntilConfigured(lab);
    const engines = [await versions.add("v1"), await versions.add("v1.2")];
    for (const engine of engines) engine.answerDelayMs = 50;
    await versions.waitUntilKnown();
    for (let round = 0; round < 6; round++) {
      await Promise.all(versions.begin(lab.vms, STREAMS, {
        headers: {
          "token-counts": "6100,50",
          "prompt-prefix": `book${round}:6000,own:100`,
        },
      }));
    }
    const arrivals = engines.map(({ arrivals }) => arrivals);
    t.true(arrivals.every(({ length }) => length > 0));
    const copies = arrivals.flat().filter(({ headers }) =>
      headers["kv-fetch"] !== undefined
    );
    t.is(copies.length, 0, "copied from another version");
  });
});
