import { describe, itAlone } from "../src/base/describe.ts";
import { formatStream, type Runner } from "../src/standins/mod.ts";
import { type GatewayLab, waitUntil } from "./gateway_lab.ts";
import {
  checkAllGoOn,
  countMixed,
  EVENTS,
  openVersions,
  STREAMS,
  VERSION_ROUTES,
  waitUntilVersion,
} from "./version_lab.ts";

/** A stream that can't go on ends its connection within this time of its break. */
const AT_ONCE_MS = 500;
const HALF_STREAM = formatStream(0, EVENTS / 2);

/** Counts the log lines that give this reason why a stream did not go on. */
function countNotContinued({ vms }: GatewayLab, why: string): number {
  return vms.flatMap(({ log }) => log.lines)
    .filter(({ event, fields }) =>
      event === "request" && fields.notContinued === why
    ).length;
}

describe("streams that upstreams break off", () => {
  for (const vms of ["one VM", "six VMs"] as const) {
    describe(`at ${vms}`, () => {
      itAlone("go on at the version that began them", async (t) => {
        const versions = await openVersions(t, vms);
        const breaking = await versions.addPairs(["v1", "v1.2"]);
        await versions.waitUntilKnown();
        const streams = await versions.run(versions.lab.vms);
        t.true(breaking.some(({ arrivals }) => arrivals.length > 0));
        checkAllGoOn(t, streams);
      });

      itAlone("end at once if none of their version is left", async (t) => {
        const versions = await openVersions(t, vms);
        const only = await versions.add("v1");
        only.behavior = "halfStream";
        for (let i = 0; i < 3; i++) await versions.add("v1.2");
        await versions.waitUntilKnown();
        const streams = await versions.run(versions.lab.vms);
        const begun = streams.filter(({ versions }) => versions.has("v1"));
        t.true(begun.length > 0);
        t.is(
          countNotContinued(
            versions.lab,
            'no upstream of version "v1" is left',
          ),
          begun.length,
        );
        t.is(countMixed(streams), 0, "hold two versions");
        for (const { answer, id, endMonoMs } of begun) {
          t.is(answer.body, HALF_STREAM);
          t.false(answer.isComplete);
          const { arrivedMonoMs } = only.arrivals.find(({ headers }) =>
            headers["attempt-id"] === id
          )!;
          const runMs = EVENTS / 2 * only.eventGapMs;
          const lateMs = Math.round(endMonoMs - arrivedMonoMs - runMs);
          t.true(lateMs < AT_ONCE_MS, `ended after ${lateMs} ms more`);
        }
        t.true(
          streams.filter(({ versions }) => versions.has("v1.2"))
            .every(({ isWhole }) => isWhole),
        );
      });

      itAlone(
        "go on at the version that began them when it crashes",
        async (t) => {
          const versions = await openVersions(t, vms);
          const runners: Runner[] = [];
          for (const version of ["v1", "v1", "v1.2", "v1.2"]) {
            runners.push(await versions.add(version));
          }
          for (const runner of runners) runner.eventGapMs = 60;
          await versions.waitUntilKnown();
          const streams = versions.begin(versions.lab.vms);
          await waitUntil(() =>
            runners.every(({ arrivals }) => arrivals.length >= 2)
          );
          // Each has brought an event by then.
          await new Promise((resolve) => setTimeout(resolve, 100));
          runners[0].crash();
          runners[2].crash();
          checkAllGoOn(t, await Promise.all(streams));
        },
      );

      itAlone(
        "don't go on at upstreams that came back with another version",
        async (t) => {
          const versions = await openVersions(t, vms);
          const first = await versions.add("v1");
          const second = await versions.add("v1");
          for (const runner of [first, second]) runner.eventGapMs = 200;
          versions.changeAtRestart(first, "v1.2", true);
          first.downMs = 100;
          await versions.waitUntilKnown();
          const streams = versions.begin(versions.lab.vms);
          await waitUntil(() =>
            first.arrivals.length + second.arrivals.length >= STREAMS
          );
          await new Promise((resolve) => setTimeout(resolve, 100));
          first.crash();
          await new Promise((resolve) => setTimeout(resolve, 500));
          second.crash();
          t.is(countMixed(await Promise.all(streams)), 0, "hold two versions");
        },
      );

      itAlone(
        "don't go on from an upstream whose entry changed its version meanwhile",
        async (t) => {
          const versions = await openVersions(t, vms);
          const changing = await versions.add("v1");
          changing.behavior = "halfStream";
          let breakOff = () => {};
          changing.earlyEnd = new Promise((resolve) => breakOff = resolve);
          await versions.waitUntilKnown();
          const streams = versions.begin(versions.lab.vms, 6);
          await waitUntil(() => changing.arrivals.length === 6);
          for (const version of ["v1", "v1.2"]) await versions.add(version);
          versions.lab.register(changing, "north", { version: "v1.2" });
          await waitUntilVersion(versions.lab, changing, "v1.2");
          t.true(changing.arrivals.every(({ isCut }) => !isCut));
          breakOff();
          for (const { answer } of await Promise.all(streams)) {
            t.is(answer.body, HALF_STREAM);
            t.false(answer.isComplete);
          }
          const why = "the entry of its upstream names another version";
          t.is(countNotContinued(versions.lab, why), 6);
        },
      );
    });
  }

  itAlone(
    "go on elsewhere when their upstream drains, at its version",
    async (t) => {
      const versions = await openVersions(t, "one VM");
      const [breaking] = await versions.addPairs(["v1", "v1.2"]);
      breaking.eventGapMs = 100;
      await versions.waitUntilKnown();
      const streams = versions.begin(versions.lab.vms);
      await waitUntil(() => breaking.arrivals.length > 0);
      versions.lab.register(breaking, "north", {
        version: "v1",
        state: "draining",
      });
      checkAllGoOn(t, await Promise.all(streams));
    },
  );

  itAlone(
    "may begin again at any version if they had no event yet",
    async (t) => {
      const versions = await openVersions(t, "one VM");
      const reset = await versions.add("v1");
      reset.behavior = "reset";
      await versions.add("v1.2");
      await versions.waitUntilKnown();
      const streams = await versions.run(versions.lab.vms);
      t.true(reset.arrivals.length > 0);
      checkAllGoOn(t, streams);
    },
  );

  const rests: Record<string, Record<string, unknown>> = {
    "cold": { cold_left_ms: 60_000 },
    "draining": { state: "draining" },
    "full": { slots: 1 },
  };
  for (const [state, fields] of Object.entries(rests)) {
    itAlone(
      `don't change their version when the only other one is ${state}`,
      async (t) => {
        const versions = await openVersions(t, "one VM");
        versions.lab.configure(
          VERSION_ROUTES,
          { cold_s: 60, cold_rate_s: 1 },
        );
        const breaking = await versions.add("v1");
        breaking.behavior = "halfStream";
        await versions.add("v1", "north", fields);
        for (let i = 0; i < 2; i++) await versions.add("v1.2");
        await versions.waitUntilKnown();
        const streams = await versions.run(versions.lab.vms);
        t.true(streams.some(({ versions }) => versions.has("v1")));
        t.is(countMixed(streams), 0, "hold two versions");
      },
    );
  }

  itAlone(
    "don't change their version when the only other one refuses and asks for rest",
    async (t) => {
      const versions = await openVersions(t, "one VM");
      const breaking = await versions.add("v1");
      breaking.behavior = "halfStream";
      const refusing = await versions.add("v1");
      refusing.behavior = "shed";
      refusing.refusalRetryAfter = "3";
      for (let i = 0; i < 2; i++) await versions.add("v1.2");
      await versions.waitUntilKnown();
      const streams = await versions.run(versions.lab.vms);
      t.true(streams.some(({ versions }) => versions.has("v1")));
      t.is(countMixed(streams), 0, "hold two versions");
    },
  );
});

describe("streams of upstreams", () => {
  const entries: Record<string, readonly unknown[]> = {
    "without a version and with one": [undefined, "v1"],
    "with numbers as versions": [1, 1.2],
    "with three versions": ["v1", "v1.1", "v1.2"],
    "with one version (control)": ["v1", "v1"],
    "without a version (control)": [undefined, undefined],
    "with one version as a number and as text (control)": [2, "2"],
  };
  for (const [kind, pairs] of Object.entries(entries)) {
    itAlone(`${kind} go on at the version that began them`, async (t) => {
      const versions = await openVersions(t, "one VM");
      await versions.addPairs(pairs);
      await versions.waitUntilKnown();
      checkAllGoOn(t, await versions.run(versions.lab.vms));
    });
  }
});
